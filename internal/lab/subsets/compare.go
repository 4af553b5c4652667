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

// Case is a fleet and a group that the ways are compared on.
type Case struct {
	Nodes  int     `json:"nodes"`
	Peers  int     `json:"peers"`
	Copies int     `json:"copies"`
	Spread float64 `json:"spread"` // weights go from 1 to this, evenly on a logarithmic scale; 1: all are alike
}

// Figures are what is to be known of a way, over all nodes that send equally much.
type Figures struct {
	Way         string  `json:"way"`
	Size        float64 `json:"size"`              // peers of a node, in the mean
	Busiest     float64 `json:"busiest_over_mean"` // by weight
	Idlest      float64 `json:"idlest_over_mean"`
	Starved     int     `json:"starved"`
	NodeMoved   float64 `json:"node_moved_over_least"` // pairs of node and peer, for one node more or less
	PeerMoved   float64 `json:"peer_moved_over_least"` // the same, for one peer more
	KeysMoved   float64 `json:"keys_moved"`            // part of the keys that go to another peer at a node, for one peer less
	KeyPeers    float64 `json:"key_peers"`             // peers that serve a key, over all nodes
	ZoneKept    float64 `json:"zone_kept"`             // least part of a node's peers that is left when a zone is lost
	KindMissing int     `json:"kind_missing"`          // nodes that lack some kind of machine
	Loads       []load  `json:"-"`
}

type load struct{ X, H float64 }

// names are nodes' names, in order.
func names(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("n%04d", i+1))
	}
	return all
}

// group is a group of peers in two zones, of three kinds.
func (c Case) group(peers int) (all []subset.Server) {
	for i := range peers {
		w := math.Pow(max(c.Spread, 1), float64(i*7%peers)/float64(max(peers-1, 1)))
		all = append(all, subset.Server{ID: xxhash.Sum64String(fmt.Sprintf("peer %d", i)), Zone: uint8(i % 2), Kind: uint8(i / 2 % 3), Weight: w})
	}
	slices.SortFunc(all, func(a, b subset.Server) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Compare measures every way on a case.
func Compare(c Case) (rows []Figures) {
	for _, w := range Ways() {
		rows = append(rows, measure(w, c))
	}
	return rows
}

func measure(w Way, c Case) Figures {
	nodes, peers := names(c.Nodes), c.group(c.Peers)
	got := w.Assign(nodes, peers, c.Copies)
	f := Figures{Way: w.Name, ZoneKept: 1}
	f.loads(got, peers)
	f.represent(got, peers)
	least := f.Size
	f.NodeMoved = (moved(got, w.Assign(names(c.Nodes+1), peers, c.Copies))/least + moved(got, w.Assign(nodes[:len(nodes)-1], peers, c.Copies))/least) / 2
	each := f.Size * float64(c.Nodes) / float64(c.Peers) // nodes of a peer
	gone := len(peers) / 3
	fewer := w.Assign(nodes, slices.Delete(slices.Clone(peers), gone, gone+1), c.Copies)
	f.PeerMoved = moved(fewer, got) / each
	f.keys(got, fewer, nodes)
	return f
}

// loads sums what comes to each peer.
func (f *Figures) loads(got map[string][]Part, peers []subset.Server) {
	come, weight := map[uint64]float64{}, 0.0
	for _, p := range peers {
		weight += p.Weight
	}
	for _, parts := range got {
		f.Size += float64(len(parts)) / float64(len(got))
		for _, p := range parts {
			come[p.ID] += p.Part
		}
	}
	f.Idlest = math.Inf(1)
	for i, p := range peers {
		r := come[p.ID] / p.Weight / (float64(len(got)) / weight)
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

// represent looks at what each node has of every zone and kind.
func (f *Figures) represent(got map[string][]Part, peers []subset.Server) {
	of, kinds := map[uint64]subset.Server{}, map[uint8]bool{}
	for _, p := range peers {
		of[p.ID] = p
		kinds[p.Kind] = true
	}
	for _, parts := range got {
		zones, has := map[uint8]float64{}, map[uint8]bool{}
		for _, p := range parts {
			zones[of[p.ID].Zone]++
			has[of[p.ID].Kind] = true
		}
		for _, n := range zones {
			f.ZoneKept = min(f.ZoneKept, 1-n/float64(len(parts)))
		}
		if len(has) < len(kinds) {
			f.KindMissing++
		}
	}
}

// moved is how many pairs of node and peer of two assignments differ, of nodes and peers that are in both or have come.
func moved(before, after map[string][]Part) float64 {
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

// keyed is how many keys are looked at.
const keyed = 500

// keys looks at where keys go: at each node to the peer of its own that scores highest with the key.
func (f *Figures) keys(got, fewer map[string][]Part, nodes []string) {
	for k := range uint64(keyed) {
		at := map[uint64]bool{}
		for _, n := range nodes {
			home := best(k, got[n])
			at[home] = true
			if best(k, fewer[n]) != home {
				f.KeysMoved++
			}
		}
		f.KeyPeers += float64(len(at)) / keyed
	}
	f.KeysMoved /= float64(keyed * len(nodes))
}

func best(key uint64, parts []Part) (id uint64) {
	most := uint64(0)
	for _, p := range parts {
		x := (p.ID ^ key*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
		if x = (x ^ x>>29) * 0x94d049bb133111eb; x^x>>32 >= most {
			most, id = x^x>>32, p.ID
		}
	}
	return id
}

// WriteTable writes the figures of a case for people.
func WriteTable(w io.Writer, c Case, rows []Figures) error {
	fmt.Fprintf(w, "%d nodes, %d peers, %d nodes to a peer, weights from 1 to %g\n", c.Nodes, c.Peers, c.Copies, max(c.Spread, 1))
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "way\tpeers of a node\tbusiest\tidlest\tstarved\tnode +-1\tpeer +1\tkeys moved\tpeers of a key\tzone lost leaves\tlack a kind")
	for _, f := range rows {
		fmt.Fprintf(t, "%s\t%.1f\t%.3f\t%.3f\t%d\t%.2f\t%.2f\t%.4f\t%.2f\t%.2f\t%d\n", f.Way, f.Size, f.Busiest, f.Idlest, f.Starved,
			f.NodeMoved, f.PeerMoved, f.KeysMoved, f.KeyPeers, f.ZoneKept, f.KindMissing)
	}
	return t.Flush()
}

// WriteHTML draws for each way how much comes to each peer, the least first.
func WriteHTML(w io.Writer, c Case, rows []Figures) error {
	return picture.Execute(w, map[string]any{"Case": c, "Rows": rows})
}

var picture = template.Must(template.New("picture").Funcs(template.FuncMap{
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
