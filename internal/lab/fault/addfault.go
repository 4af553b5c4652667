package fault

import (
	"fmt"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/world"
)

// HasParameter reports whether faults of a kind have the parameter key.
func HasParameter(kind, key string) bool {
	table := kinds()
	k := table[kind]
	return k.hasParameter(key)
}

// MinDuration returns the minimum duration of a fault of a kind in a world, or 0 if the kind has no duration.
func MinDuration(kind string, w *world.Config) figure.Span {
	table := kinds()
	k := table[kind]
	t, ok := k.parameter("for")
	switch {
	case !ok:
		return 0
	case kind == "node-restart":
		return minRestartDuration(w)
	}
	return figure.Span(figure.Seconds(t.Lo))
}

// AddFault adds a fault to a script. If the fault names no targets, they are drawn from the script's seed in the same
// way as in scenarios: the share part of the peers, nodes or crowds, at least one. Replacement peers are added to the
// world.
func (s *Script) AddFault(f Fault, part float64) error {
	table := kinds()
	k, ok := table[f.Kind]
	if !ok {
		return &Error{Key: "kind", Reason: fmt.Sprintf("no such kind: %q", f.Kind)}
	}
	d := &drawer{s: s}
	g := d.stream(fmt.Sprintf("whom %s at %v", f.Kind, f.At.D()))
	w := &s.World
	if k.hasParameter("zone") && f.Zone == "" {
		f.Zone = w.Zones[g.IntN(len(w.Zones))]
	}
	if k.hasParameter("class") && f.Class == "" {
		f.Class = w.Classes[g.IntN(len(w.Classes))].Name
	}
	if k.hasParameter("peers") && len(f.Peers) == 0 {
		if f.Peers = d.pickPeers(g, &k, part, f.Zone); len(f.Peers) == 0 {
			return &Error{Key: "peers", Reason: "no peer can be drawn for the fault"}
		}
	}
	if k.hasParameter("nodes") && len(f.Nodes) == 0 {
		f.Nodes = pick(g, part, w.Nodes, func(n world.Node) string { return n.Name })
	}
	if k.hasParameter("clients") && len(f.Clients) == 0 {
		f.Clients = pick(g, part, w.Clients, func(c world.Clients) string { return c.Name })
	}
	if k.hasParameter("heirs") && len(f.Replacements) == 0 {
		for _, name := range f.Peers {
			if s.peer(name) == nil {
				return &Error{Key: "peers", Reason: fmt.Sprintf("no such peer: %q", name)}
			}
			f.Replacements = append(f.Replacements, d.addReplacement(name))
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
