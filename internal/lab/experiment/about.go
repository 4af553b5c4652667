package experiment

import (
	"fmt"
	"strconv"
	"strings"

	"olivebridge/internal/lab/fault"
)

// about says in a few words whom a fault is about, and how much.
func about(f *fault.Fault) string {
	var parts []string
	for _, n := range []struct {
		names     []string
		one, many string
	}{{f.Peers, "peer", "peers"}, {f.Nodes, "node", "nodes"}, {f.Clients, "crowd", "crowds"}} {
		if len(n.names) > 0 {
			parts = append(parts, count(len(n.names), n.one, n.many))
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

func count(n int, one, many string) string {
	if n == 1 {
		return "1 " + one
	}
	return fmt.Sprintf("%d %s", n, many)
}
