package subsets

import (
	"bytes"
	"math"
	"strings"
	"testing"
)

// TestCompare checks the figures of the strategies against their known properties: strategies with even loads have even
// loads, random choice has not, and every strategy assigns the whole load of each node.
func TestCompare(t *testing.T) {
	c := Case{Nodes: 20, Peers: 200, Copies: 8, Spread: 1}
	rows := Compare(c)
	by := map[string]Figures{}
	for _, f := range rows {
		by[f.Way] = f
		sum := 0.0
		for _, l := range f.Loads {
			sum += l.H
		}
		if math.Abs(sum-float64(c.Peers)) > 1e-6 {
			t.Errorf("%s: the loads sum to %.3f times the mean, want %d (one per server)", f.Way, sum, c.Peers)
		}
	}
	for way, ok := range map[string]func(f Figures) bool{
		"all": func(f Figures) bool {
			return f.Busiest < 1.0001 && math.Abs(f.KeyPeers-1) < 1e-6 && f.PeerMoved == 1 && f.SubsetSize == 200
		},
		"random":        func(f Figures) bool { return f.Busiest > 1.5 && f.Idlest < 0.6 },
		"deterministic": func(f Figures) bool { return f.Busiest < 1.3 && f.PeerMoved > 10 },
		"aperture":      func(f Figures) bool { return f.Busiest < 1.0001 && f.NodeMoved > 2 },
		"rendezvous": func(f Figures) bool {
			return f.Busiest < 1.15 && f.Idlest > 0.85 && f.NodeMoved < 2 && f.KindMissing == 0
		},
	} {
		f := by[way]
		if f.Loads = nil; !ok(f) {
			t.Errorf("%s: unexpected figures %+v", way, f)
		}
	}
	var table, page bytes.Buffer
	if err := WriteTable(&table, c, rows); err != nil || strings.Count(table.String(), "\n") != len(rows)+2 {
		t.Errorf("WriteTable: error %v, output\n%s", err, table.String())
	}
	if err := WriteHTML(&page, c, rows); err != nil || strings.Count(page.String(), "<svg") != len(rows) {
		t.Error(err)
	}
}
