package fault

import (
	"iter"
	"maps"
	"reflect"
	"slices"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/world"
)

// Clone copies a script so that nothing of it is shared.
func (s *Script) Clone() *Script {
	c := *s
	w := &c.World
	w.Zones = slices.Clone(w.Zones)
	w.Classes = slices.Clone(w.Classes)
	w.Tenants = slices.Clone(w.Tenants)
	w.Nodes = slices.Clone(w.Nodes)
	w.Peers = slices.Clone(w.Peers)
	w.Clients = slices.Clone(w.Clients)
	w.Malformed = slices.Clone(w.Malformed)
	for i := range w.Clients {
		w.Clients[i].Mix = maps.Clone(w.Clients[i].Mix)
	}
	c.Faults = slices.Clone(c.Faults)
	for i := range c.Faults {
		f := &c.Faults[i]
		f.Peers, f.Heirs = slices.Clone(f.Peers), slices.Clone(f.Heirs)
		f.Nodes, f.Clients = slices.Clone(f.Nodes), slices.Clone(f.Clients)
	}
	return &c
}

// Smaller gives scripts with something taken away, the largest cuts first. Each
// passes Check and differs from s; what a cut leaves without a meaning, such as
// a fault of a peer that is gone, goes with it. Following it again and again
// comes to an end.
func (s *Script) Smaller() iter.Seq[*Script] {
	return func(yield func(*Script) bool) {
		for cut := range s.cuts() {
			c := s.Clone()
			cut(c)
			c.prune()
			if c.Check() == nil && !reflect.DeepEqual(c, s) && !yield(c) {
				return
			}
		}
	}
}

// cuts are the ways to make s smaller; some lead nowhere.
func (s *Script) cuts() iter.Seq[func(*Script)] {
	w := &s.World
	return func(yield func(func(*Script)) bool) {
		for _, some := range []iter.Seq[func(*Script)]{
			parts(len(s.Faults), func(c *Script, from, to int) { c.Faults = slices.Delete(c.Faults, from, to) }),
			parts(len(w.Malformed), func(c *Script, from, to int) {
				c.World.Malformed = slices.Delete(c.World.Malformed, from, to)
			}),
			slices.Values([]func(*Script){halfLength, endWithFaults, sooner, oneZone}),
			parts(len(w.Clients), func(c *Script, from, to int) {
				c.World.Clients = slices.Delete(c.World.Clients, from, to)
			}),
			parts(len(w.Nodes), func(c *Script, from, to int) {
				c.World.Nodes = slices.Delete(c.World.Nodes, from, to)
			}),
			parts(len(w.Peers), func(c *Script, from, to int) {
				c.World.Peers = slices.Delete(c.World.Peers, from, to)
			}),
			s.narrower(),
			slices.Values(plainer()),
		} {
			for cut := range some {
				if !yield(cut) {
					return
				}
			}
		}
	}
}

// parts takes out of a list of n: all, each half, each quarter, and so on to
// each one.
func parts(n int, out func(c *Script, from, to int)) iter.Seq[func(*Script)] {
	return func(yield func(func(*Script)) bool) {
		for size := n; size > 0; size /= 2 {
			for from := 0; from < n; from += size {
				if !yield(func(c *Script) { out(c, from, min(from+size, n)) }) {
					return
				}
			}
		}
	}
}

func halfLength(c *Script) { c.Length = half(c.Length, time.Second) }

// endWithFaults ends the script a little after its last fault.
func endWithFaults(c *Script) {
	var last figure.Span
	for _, f := range c.stays() {
		last = max(last, f.to)
	}
	if last += 2 * figure.Span(time.Second); last < c.Length {
		c.Length = last
	}
}

// sooner takes away half of the time before the first fault.
func sooner(c *Script) {
	first := c.Length
	for _, f := range c.stays() {
		first = min(first, f.from)
	}
	less := half(first, 100*time.Millisecond)
	if first == c.Length || less == first {
		return
	}
	less = first - less
	c.Length -= less
	for i := range c.Faults {
		c.Faults[i].At -= less
	}
	for i := range c.World.Malformed {
		c.World.Malformed[i].From -= less
	}
}

// oneZone brings everybody to the first zone.
func oneZone(c *Script) {
	w := &c.World
	w.Zones = w.Zones[:1]
	zone := w.Zones[0]
	for i := range w.Nodes {
		w.Nodes[i].Zone = zone
	}
	for i := range w.Peers {
		w.Peers[i].Zone = zone
	}
	for i := range w.Clients {
		w.Clients[i].Zone = zone
	}
	for i := range w.Malformed {
		w.Malformed[i].Zone = zone
	}
}

// narrower lets each fault be about fewer, and last shorter, and each crowd ask
// less.
func (s *Script) narrower() iter.Seq[func(*Script)] {
	return func(yield func(func(*Script)) bool) {
		for i, f := range s.Faults {
			some := []iter.Seq[func(*Script)]{
				parts(len(f.Peers), func(c *Script, from, to int) {
					f := &c.Faults[i]
					f.Peers = slices.Delete(f.Peers, from, to)
					if len(f.Heirs) > 0 {
						f.Heirs = slices.Delete(f.Heirs, from, to)
					}
				}),
				parts(len(f.Nodes), func(c *Script, from, to int) {
					c.Faults[i].Nodes = slices.Delete(c.Faults[i].Nodes, from, to)
				}),
				parts(len(f.Clients), func(c *Script, from, to int) {
					c.Faults[i].Clients = slices.Delete(c.Faults[i].Clients, from, to)
				}),
				slices.Values([]func(*Script){
					func(c *Script) { c.Faults[i].For = half(c.Faults[i].For, 100*time.Millisecond) },
					func(c *Script) { c.Faults[i].Share = halfOf(c.Faults[i].Share, 0.01) },
				}),
			}
			for _, cuts := range some {
				for cut := range cuts {
					if !yield(cut) {
						return
					}
				}
			}
		}
		for i := range s.World.Clients {
			if !yield(func(c *Script) { c.World.Clients[i].Rate = halfOf(c.World.Clients[i].Rate, 1) }) {
				return
			}
		}
	}
}

// plainer takes away, everywhere at once, one thing that makes a world less plain.
func plainer() []func(*Script) {
	return []func(*Script){
		func(c *Script) { c.World.Net.Pieces = 0 },
		func(c *Script) { c.World.Net.Rate = 0 },
		func(c *Script) { c.World.Net.Jitter = 0 },
		eachClients(func(k *world.Clients) { k.Swing, k.Period = 0, 0 }),
		eachClients(func(k *world.Clients) { k.Keys = 0 }),
		eachClients(func(k *world.Clients) { k.Retries = 0 }),
		eachClients(func(k *world.Clients) { k.Leave = 0 }),
		eachClients(func(k *world.Clients) { k.Fresh = 0 }),
		eachClients(func(k *world.Clients) { k.Keep = 0 }),
		eachClients(func(k *world.Clients) { k.Pipelined = 0 }),
		eachClients(func(k *world.Clients) { k.Unusual = 0 }),
		eachPeer(func(p *world.Peer) { p.PauseEach, p.Pause = 0, 0 }),
		eachPeer(func(p *world.Peer) { p.Errors = 0 }),
		eachPeer(func(p *world.Peer) { p.CacheGain = 0 }),
		eachPeer(func(p *world.Peer) { p.CongestionAt, p.MaxSlowdown = 0, 0 }),
		eachPeer(func(p *world.Peer) { p.ColdBy = 0 }),
		eachPeer(func(p *world.Peer) { p.CrashFactor, p.CrashWindow = 0, 0 }),
		func(c *Script) {
			for i := range c.World.Nodes {
				c.World.Nodes[i].Stale = false
			}
		},
	}
}

func eachClients(do func(*world.Clients)) func(*Script) {
	return func(c *Script) {
		for i := range c.World.Clients {
			do(&c.World.Clients[i])
		}
	}
}

func eachPeer(do func(*world.Peer)) func(*Script) {
	return func(c *Script) {
		for i := range c.World.Peers {
			do(&c.World.Peers[i])
		}
	}
}

// half halves a length of time, but not to less than a least one.
func half(s figure.Span, least time.Duration) figure.Span {
	if h := seconds(s.D().Seconds() / 2); h.D() >= least {
		return h
	}
	return s
}

func halfOf(v, least float64) float64 {
	if h := figure.Round(v/2, 3); h >= least {
		return h
	}
	return v
}

// prune takes away what has lost its meaning.
func (s *Script) prune() {
	w := &s.World
	w.Malformed = slices.DeleteFunc(w.Malformed, func(r world.MalformedClient) bool {
		return s.Length < r.From+figure.Span(shortest)
	})
	for i := range w.Malformed {
		w.Malformed[i].For = min(w.Malformed[i].For, s.Length-w.Malformed[i].From)
	}
	for { // a late peer that nobody starts goes, and with it what is about it
		zones := map[string]string{}
		for _, p := range w.Peers {
			zones[p.Name] = p.Zone
		}
		s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool { return !f.prune(s, zones) })
		started := map[string]bool{}
		for _, f := range s.Faults {
			for _, name := range f.Heirs {
				started[name] = true
			}
		}
		n := len(w.Peers)
		w.Peers = slices.DeleteFunc(w.Peers, func(p world.Peer) bool { return p.Late && !started[p.Name] })
		if len(w.Peers) == n {
			break
		}
	}
	w.Malformed, s.Faults = orNil(w.Malformed), orNil(s.Faults)
}

// prune takes the names out of a fault that mean nobody, and reports whether
// there is still something to it. zones are those of the peers.
func (f *Fault) prune(s *Script, zones map[string]string) bool {
	w := &s.World
	table := kinds()
	k := table[f.Kind]
	var peers, heirs []string
	for i, name := range f.Peers {
		zone, ok := zones[name]
		if len(f.Heirs) > 0 {
			_, too := zones[f.Heirs[i]]
			ok = ok && too
		}
		if !ok || f.Zone != "" && zone != f.Zone {
			continue
		}
		peers = append(peers, name)
		if len(f.Heirs) > 0 {
			heirs = append(heirs, f.Heirs[i])
		}
	}
	f.Peers, f.Heirs = peers, heirs
	f.Nodes = orNil(slices.DeleteFunc(f.Nodes, func(name string) bool {
		return !slices.ContainsFunc(w.Nodes, func(n world.Node) bool { return n.Name == name })
	}))
	f.Clients = orNil(slices.DeleteFunc(f.Clients, func(name string) bool {
		return !slices.ContainsFunc(w.Clients, func(c world.Clients) bool { return c.Name == name })
	}))
	switch {
	case k.takes("peers") && len(f.Peers) == 0, k.takes("nodes") && len(f.Nodes) == 0,
		k.takes("clients") && len(f.Clients) == 0, k.takes("zone") && !slices.Contains(w.Zones, f.Zone),
		f.Kind == "cut" && len(w.Zones) < 2:
		return false
	}
	return f.fit(f.At, s.Length)
}

// orNil is what a file gives for an empty list.
func orNil[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}
