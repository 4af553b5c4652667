package fault

import (
	"fmt"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/world"
)

// Takes reports whether a fault of a kind states a key.
func Takes(kind, key string) bool {
	table := kinds()
	k := table[kind]
	return k.takes(key)
}

// Least is the shortest that a fault of a kind may last in a world; 0 where it does not.
func Least(kind string, w *world.Config) figure.Span {
	table := kinds()
	k := table[kind]
	t, ok := k.take("for")
	switch {
	case !ok:
		return 0
	case kind == "node-restart":
		return killAfter(w)
	}
	return figure.Span(figure.Seconds(t.Lo))
}

// Involve adds a fault to a script. Whom it is about, if it does not say, is
// drawn by the script's seed, as scenarios draw it: about part of the peers,
// nodes or crowds there are, one at least; peers that take the places of others
// join the world.
func (s *Script) Involve(f Fault, part float64) error {
	table := kinds()
	k, ok := table[f.Kind]
	if !ok {
		return &Error{Key: "kind", Reason: fmt.Sprintf("no such kind: %q", f.Kind)}
	}
	d := &drawer{s: s}
	g := d.stream(fmt.Sprintf("whom %s at %v", f.Kind, f.At.D()))
	w := &s.World
	if k.takes("zone") && f.Zone == "" {
		f.Zone = w.Zones[g.IntN(len(w.Zones))]
	}
	if k.takes("class") && f.Class == "" {
		f.Class = w.Classes[g.IntN(len(w.Classes))].Name
	}
	if k.takes("peers") && len(f.Peers) == 0 {
		if f.Peers = d.pickPeers(g, &k, part, f.Zone); len(f.Peers) == 0 {
			return &Error{Key: "peers", Reason: "there is no peer that it could be about"}
		}
	}
	if k.takes("nodes") && len(f.Nodes) == 0 {
		f.Nodes = pick(g, part, w.Nodes, func(n world.Node) string { return n.Name })
	}
	if k.takes("clients") && len(f.Clients) == 0 {
		f.Clients = pick(g, part, w.Clients, func(c world.Clients) string { return c.Name })
	}
	if k.takes("heirs") && len(f.Heirs) == 0 {
		for _, name := range f.Peers {
			if s.peer(name) == nil {
				return &Error{Key: "peers", Reason: fmt.Sprintf("no such peer: %q", name)}
			}
			f.Heirs = append(f.Heirs, d.heir(name))
		}
	}
	s.Faults = append(s.Faults, f)
	return nil
}

func (s *Script) peer(name string) *world.Peer {
	for i := range s.World.Peers {
		if s.World.Peers[i].Name == name {
			return &s.World.Peers[i]
		}
	}
	return nil
}
