package experiment

import (
	"fmt"
	"strconv"
	"strings"

	"olivebridge/internal/lab/fault"
)

// faultSummary describes a fault's targets, share and factor for the report, such as "2 peers, zone east, x3".
func faultSummary(f *fault.Fault) string {
	var parts []string
	for _, target := range []struct {
		names     []string
		one, many string
	}{{f.Peers, "peer", "peers"}, {f.Nodes, "node", "nodes"}, {f.Clients, "crowd", "crowds"}} {
		if len(target.names) > 0 {
			parts = append(parts, countNoun(len(target.names), target.one, target.many))
		}
	}
	if f.Zone != "" {
		parts = append(parts, "zone "+f.Zone)
	}
	if f.Class != "" {
		parts = append(parts, f.Class)
	}
	if f.Share > 0 {
		parts = append(parts, strconv.FormatFloat(100*f.Share, 'g', 3, 64)+"%")
	}
	if f.Factor > 0 {
		parts = append(parts, "x"+strconv.FormatFloat(f.Factor, 'g', 3, 64))
	}
	return strings.Join(parts, ", ")
}

// countNoun returns n followed by the noun in the singular or the plural.
func countNoun(n int, one, many string) string {
	if n == 1 {
		return "1 " + one
	}
	return fmt.Sprintf("%d %s", n, many)
}
