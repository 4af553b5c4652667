package subsets

import (
	"cmp"
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"github.com/cespare/xxhash/v2"

	"olivebridge/internal/fleet/subset"
)

// Case describes a fleet of nodes and a group of servers on which the strategies are compared.
type Case struct {
	Nodes  int     `json:"nodes"`
	Peers  int     `json:"peers"`  // servers of the group
	Copies int     `json:"copies"` // nodes to which each server is assigned
	Spread float64 `json:"spread"` // largest weight: weights range from 1 to Spread, evenly on a logarithmic scale
}

// Figures are the measurements of a strategy over all nodes. Every node sends the same load.
type Figures struct {
	Way         string  `json:"way"`
	SubsetSize  float64 `json:"size"`                  // mean number of servers per node
	Busiest     float64 `json:"busiest_over_mean"`     // highest load of a server divided by the mean, both per weight
	Idlest      float64 `json:"idlest_over_mean"`      // lowest load of a server divided by the mean, both per weight
	Starved     int     `json:"starved"`               // servers without load
	NodeMoved   float64 `json:"node_moved_over_least"` // new pairs after adding or removing a node, over the minimum
	PeerMoved   float64 `json:"peer_moved_over_least"` // the same after adding a server
	KeysMoved   float64 `json:"keys_moved"`            // share of keys that change server after a server is removed
	KeyPeers    float64 `json:"key_peers"`             // mean number of servers that receive a key from any node
	ZoneKept    float64 `json:"zone_kept"`             // smallest share of a node's servers left after a zone is lost
	KindMissing int     `json:"kind_missing"`          // nodes without a server of some machine kind
	Loads       []load  `json:"-"`
}

// load is the load of one server as a point of the chart: X is its rank from 0 to 1, H its load divided by the mean.
type load struct{ X, H float64 }

// nodeNames returns the names of n nodes in order.
func nodeNames(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("n%04d", i+1))
	}
	return all
}

// servers returns a group of servers in two zones and of three machine kinds, ordered by id.
func (c Case) servers(peers int) (all []subset.Server) {
	for i := range peers {
		w := math.Pow(max(c.Spread, 1), float64(i*7%peers)/float64(max(peers-1, 1)))
		all = append(all, subset.Server{ID: xxhash.Sum64String(fmt.Sprintf("peer %d", i)),
			Zone: uint8(i % 2), Kind: uint8(i / 2 % 3), Weight: w})
	}
	slices.SortFunc(all, func(a, b subset.Server) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Compare measures every strategy on a case.
func Compare(c Case) (rows []Figures) {
	for _, w := range Strategies() {
		rows = append(rows, measure(w, c))
	}
	return rows
}

func measure(strategy Strategy, c Case) Figures {
	nodes, peers := nodeNames(c.Nodes), c.servers(c.Peers)
	assignment := strategy.Assign(nodes, peers, c.Copies)
	f := Figures{Way: strategy.Name, ZoneKept: 1}
	f.measureLoads(assignment, peers)
	f.measureZonesAndKinds(assignment, peers)
	nodeLeast := f.SubsetSize
	f.NodeMoved = (countAddedPairs(assignment, strategy.Assign(nodeNames(c.Nodes+1), peers, c.Copies))/nodeLeast +
		countAddedPairs(assignment, strategy.Assign(nodes[:len(nodes)-1], peers, c.Copies))/nodeLeast) / 2
	nodesPerServer := f.SubsetSize * float64(c.Nodes) / float64(c.Peers) // mean number of nodes per server
	removed := len(peers) / 3
	withoutOne := strategy.Assign(nodes, slices.Delete(slices.Clone(peers), removed, removed+1), c.Copies)
	f.PeerMoved = countAddedPairs(withoutOne, assignment) / nodesPerServer
	f.measureKeys(assignment, withoutOne, nodes)
	return f
}

// measureLoads sums the load that each server receives, in a group in which every node sends a load of 1.
func (f *Figures) measureLoads(assignment map[string][]ServerShare, peers []subset.Server) {
	loadByServer, weight := map[uint64]float64{}, 0.0
	for _, p := range peers {
		weight += p.Weight
	}
	for _, parts := range assignment {
		f.SubsetSize += float64(len(parts)) / float64(len(assignment))
		for _, p := range parts {
			loadByServer[p.ID] += p.Share
		}
	}
	f.Idlest = math.Inf(1)
	for i, p := range peers {
		r := loadByServer[p.ID] / p.Weight / (float64(len(assignment)) / weight)
		f.Busiest, f.Idlest = max(f.Busiest, r), min(f.Idlest, r)
		if r == 0 {
			f.Starved++
		}
		f.Loads = append(f.Loads, load{float64(i) / float64(len(peers)), r})
	}
	slices.SortFunc(f.Loads, func(a, b load) int { return cmp.Compare(a.H, b.H) })
	for i := range f.Loads {
		f.Loads[i].X = float64(i) / float64(len(peers))
	}
}

// measureZonesAndKinds measures which share of each node's servers is in one zone, and which machine kinds each
// node lacks.
func (f *Figures) measureZonesAndKinds(assignment map[string][]ServerShare, peers []subset.Server) {
	serverByID, kinds := map[uint64]subset.Server{}, map[uint8]bool{}
	for _, p := range peers {
		serverByID[p.ID] = p
		kinds[p.Kind] = true
	}
	for _, parts := range assignment {
		zones, has := map[uint8]float64{}, map[uint8]bool{}
		for _, p := range parts {
			zones[serverByID[p.ID].Zone]++
			has[serverByID[p.ID].Kind] = true
		}
		for _, n := range zones {
			f.ZoneKept = min(f.ZoneKept, 1-n/float64(len(parts)))
		}
		if len(has) < len(kinds) {
			f.KindMissing++
		}
	}
}

// countAddedPairs returns the number of pairs of node and server that are in the assignment after but not in before.
func countAddedPairs(before, after map[string][]ServerShare) float64 {
	n := 0
	for node, parts := range after {
		had := map[uint64]bool{}
		for _, p := range before[node] {
			had[p.ID] = true
		}
		for _, p := range parts {
			if !had[p.ID] {
				n++
			}
		}
	}
	return float64(n)
}

// sampledKeys is the number of keys for which servers are chosen.
const sampledKeys = 500

// measureKeys measures to which servers keys are sent: each node sends a key to the one of its servers with the highest
// score for the key. withoutOne is the assignment after one server was removed.
func (f *Figures) measureKeys(assignment, withoutOne map[string][]ServerShare, nodes []string) {
	for k := range uint64(sampledKeys) {
		serversOfKey := map[uint64]bool{}
		for _, n := range nodes {
			server := highestScore(k, assignment[n])
			serversOfKey[server] = true
			if highestScore(k, withoutOne[n]) != server {
				f.KeysMoved++
			}
		}
		f.KeyPeers += float64(len(serversOfKey)) / sampledKeys
	}
	f.KeysMoved /= float64(sampledKeys * len(nodes))
}

// highestScore returns the id of the server with the highest hash score for the key.
func highestScore(key uint64, parts []ServerShare) (id uint64) {
	highest := uint64(0)
	for _, p := range parts {
		x := (p.ID ^ key*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
		if x = (x ^ x>>29) * 0x94d049bb133111eb; x^x>>32 >= highest {
			highest, id = x^x>>32, p.ID
		}
	}
	return id
}

// WriteTable writes the figures of a case as an aligned text table.
func WriteTable(w io.Writer, c Case, rows []Figures) error {
	fmt.Fprintf(w, "%d nodes, %d peers, %d nodes to a peer, weights from 1 to %g\n", c.Nodes, c.Peers, c.Copies, max(c.Spread, 1))
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "way\tpeers of a node\tbusiest\tidlest\tstarved\tnode +-1\tpeer +1\tkeys moved\tpeers of a key\tzone lost leaves\tlack a kind")
	for _, f := range rows {
		fmt.Fprintf(t, "%s\t%.1f\t%.3f\t%.3f\t%d\t%.2f\t%.2f\t%.4f\t%.2f\t%.2f\t%d\n", f.Way, f.SubsetSize, f.Busiest, f.Idlest, f.Starved,
			f.NodeMoved, f.PeerMoved, f.KeysMoved, f.KeyPeers, f.ZoneKept, f.KindMissing)
	}
	return t.Flush()
}

// WriteHTML writes an HTML page with one chart per strategy: the load of each server in ascending order.
func WriteHTML(w io.Writer, c Case, rows []Figures) error {
	return pageTemplate.Execute(w, map[string]any{"Case": c, "Rows": rows})
}

var pageTemplate = template.Must(template.New("picture").Funcs(template.FuncMap{
	"x": func(v float64) float64 { return 10 + 560*v },
	"y": func(v float64) float64 { return 110 - 50*min(v, 2) },
}).Parse(`<!doctype html><meta charset="utf-8"><title>Ways to choose peers</title>
<style>body{font:14px sans-serif;max-width:620px;margin:2em auto}svg{background:#f6f6f2}td,th{padding:2px 8px;text-align:right}</style>
<h1>{{.Case.Nodes}} nodes, {{.Case.Peers}} peers, {{.Case.Copies}} nodes to a peer</h1>
<p>What comes to each peer, the least first, by its weight. The line is the mean; the top is twice that.</p>
{{range .Rows}}<h2>{{.Way}}</h2>
<svg width="580" height="120"><line x1="10" x2="570" y1="60" y2="60" stroke="#c66"/>
{{range .Loads}}<rect x="{{x .X}}" y="{{y .H}}" width="2" height="2"/>{{end}}</svg>
<p>busiest {{printf "%.3f" .Busiest}}, idlest {{printf "%.3f" .Idlest}} of the mean; for a node more or less
{{printf "%.2f" .NodeMoved}} of the least moves, for a peer more {{printf "%.2f" .PeerMoved}}; a key is at {{printf "%.1f" .KeyPeers}} peers</p>
{{end}}`))
