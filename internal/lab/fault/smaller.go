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

// Clone returns a deep copy of a script.
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
		f.Peers, f.Replacements = slices.Clone(f.Peers), slices.Clone(f.Replacements)
		f.Nodes, f.Clients = slices.Clone(f.Nodes), slices.Clone(f.Clients)
	}
	return &c
}

// Smaller yields reduced copies of a script, those of the largest reductions first. Each copy passes Check and differs
// from s. Entries that a reduction makes invalid, such as a fault of a removed peer, are removed as well. Repeated
// reduction terminates.
func (s *Script) Smaller() iter.Seq[*Script] {
	return func(yield func(*Script) bool) {
		for cut := range s.reductions() {
			c := s.Clone()
			cut(c)
			c.prune()
			if c.Check() == nil && !reflect.DeepEqual(c, s) && !yield(c) {
				return
			}
		}
	}
}

// reductions yields functions that reduce a copy of s; some of them yield an invalid or unchanged script.
func (s *Script) reductions() iter.Seq[func(*Script)] {
	w := &s.World
	return func(yield func(func(*Script)) bool) {
		for _, some := range []iter.Seq[func(*Script)]{
			removals(len(s.Faults), func(c *Script, from, to int) { c.Faults = slices.Delete(c.Faults, from, to) }),
			removals(len(w.Malformed), func(c *Script, from, to int) {
				c.World.Malformed = slices.Delete(c.World.Malformed, from, to)
			}),
			slices.Values([]func(*Script){halfLength, endWithFaults, halveLead, oneZone}),
			removals(len(w.Clients), func(c *Script, from, to int) {
				c.World.Clients = slices.Delete(c.World.Clients, from, to)
			}),
			removals(len(w.Nodes), func(c *Script, from, to int) {
				c.World.Nodes = slices.Delete(c.World.Nodes, from, to)
			}),
			removals(len(w.Peers), func(c *Script, from, to int) {
				c.World.Peers = slices.Delete(c.World.Peers, from, to)
			}),
			s.faultReductions(),
			slices.Values(simplifications()),
		} {
			for cut := range some {
				if !yield(cut) {
					return
				}
			}
		}
	}
}

// removals yields functions that remove from a list of n entries: all of them, each half, each quarter, and so on
// down to each single entry.
func removals(n int, out func(c *Script, from, to int)) iter.Seq[func(*Script)] {
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

func halfLength(c *Script) { c.Length = halveSpan(c.Length, time.Second) }

// endWithFaults ends the script a little after its last fault.
func endWithFaults(c *Script) {
	var last figure.Span
	for _, f := range c.activePeriods() {
		last = max(last, f.to)
	}
	if last += 2 * figure.Span(time.Second); last < c.Length {
		c.Length = last
	}
}

// halveLead removes half of the time before the first fault.
func halveLead(c *Script) {
	first := c.Length
	for _, f := range c.activePeriods() {
		first = min(first, f.from)
	}
	less := halveSpan(first, 100*time.Millisecond)
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

// oneZone moves all nodes, peers, clients and rogues to the first zone.
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

// faultReductions yields functions that remove targets of each fault, halve its duration or share, and halve the
// request rate of each crowd.
func (s *Script) faultReductions() iter.Seq[func(*Script)] {
	return func(yield func(func(*Script)) bool) {
		for i, f := range s.Faults {
			some := []iter.Seq[func(*Script)]{
				removals(len(f.Peers), func(c *Script, from, to int) {
					f := &c.Faults[i]
					f.Peers = slices.Delete(f.Peers, from, to)
					if len(f.Replacements) > 0 {
						f.Replacements = slices.Delete(f.Replacements, from, to)
					}
				}),
				removals(len(f.Nodes), func(c *Script, from, to int) {
					c.Faults[i].Nodes = slices.Delete(c.Faults[i].Nodes, from, to)
				}),
				removals(len(f.Clients), func(c *Script, from, to int) {
					c.Faults[i].Clients = slices.Delete(c.Faults[i].Clients, from, to)
				}),
				slices.Values([]func(*Script){
					func(c *Script) { c.Faults[i].For = halveSpan(c.Faults[i].For, 100*time.Millisecond) },
					func(c *Script) { c.Faults[i].Share = halveFloat(c.Faults[i].Share, 0.01) },
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
			if !yield(func(c *Script) { c.World.Clients[i].Rate = halveFloat(c.World.Clients[i].Rate, 1) }) {
				return
			}
		}
	}
}

// simplifications returns functions that each disable one optional feature of the world for all entities.
func simplifications() []func(*Script) {
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

// halveSpan returns half of a duration, or the duration itself if half of it is below least.
func halveSpan(s figure.Span, least time.Duration) figure.Span {
	if h := roundSeconds(s.D().Seconds() / 2); h.D() >= least {
		return h
	}
	return s
}

func halveFloat(v, least float64) float64 {
	if h := figure.Round(v/2, 3); h >= least {
		return h
	}
	return v
}

// prune removes rogues, faults and late peers that the reduced script no longer uses, and shortens what lasts beyond
// its end.
func (s *Script) prune() {
	w := &s.World
	w.Malformed = slices.DeleteFunc(w.Malformed, func(r world.MalformedClient) bool {
		return s.Length < r.From+figure.Span(minFaultDuration)
	})
	for i := range w.Malformed {
		w.Malformed[i].For = min(w.Malformed[i].For, s.Length-w.Malformed[i].From)
	}
	for { // removing a late peer that no fault starts may make further faults invalid
		zoneByPeer := map[string]string{}
		for _, p := range w.Peers {
			zoneByPeer[p.Name] = p.Zone
		}
		s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool { return !f.prune(s, zoneByPeer) })
		started := map[string]bool{}
		for _, f := range s.Faults {
			for _, name := range f.Replacements {
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

// prune removes unknown names from a fault and reports whether the fault is still valid. zoneByPeer maps the names of
// peers to their zones.
func (f *Fault) prune(s *Script, zoneByPeer map[string]string) bool {
	w := &s.World
	table := kinds()
	k := table[f.Kind]
	var peers, replacements []string
	for i, name := range f.Peers {
		zone, ok := zoneByPeer[name]
		if len(f.Replacements) > 0 {
			_, listed := zoneByPeer[f.Replacements[i]]
			ok = ok && listed
		}
		if !ok || f.Zone != "" && zone != f.Zone {
			continue
		}
		peers = append(peers, name)
		if len(f.Replacements) > 0 {
			replacements = append(replacements, f.Replacements[i])
		}
	}
	f.Peers, f.Replacements = peers, replacements
	f.Nodes = orNil(slices.DeleteFunc(f.Nodes, func(name string) bool {
		return !slices.ContainsFunc(w.Nodes, func(n world.Node) bool { return n.Name == name })
	}))
	f.Clients = orNil(slices.DeleteFunc(f.Clients, func(name string) bool {
		return !slices.ContainsFunc(w.Clients, func(c world.Clients) bool { return c.Name == name })
	}))
	switch {
	case k.hasParameter("peers") && len(f.Peers) == 0, k.hasParameter("nodes") && len(f.Nodes) == 0,
		k.hasParameter("clients") && len(f.Clients) == 0, k.hasParameter("zone") && !slices.Contains(w.Zones, f.Zone),
		f.Kind == "cut" && len(w.Zones) < 2:
		return false
	}
	return f.fit(f.At, s.Length)
}

// orNil returns nil for an empty list, as decoding a file does.
func orNil[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}
