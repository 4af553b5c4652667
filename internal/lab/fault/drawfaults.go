package fault

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/world"
)

// maxKindDraws is the maximum number of kinds that are tried for one fault when the world cannot hold the drawn kind.
const maxKindDraws = 40

// earliestKillShare is the share of restarts in which nodes that drain are killed as soon as the platform allows.
const earliestKillShare = 0.5

// faults draws the faults of a run: a combination, single kinds, or both. Most of them are active at one common
// instant.
func (d *drawer) faults() {
	plan, g := &d.sc.Faults, d.stream("faults")
	n, lead := plan.Count.draw(g), plan.Lead.draw(g)
	if chance(g, plan.Calm) {
		return
	}
	lead = min(lead, d.s.Length/2)
	overlapTime := lead + figure.Span(figure.Uniform(g, 0.1, 0.6)*float64(d.s.Length-lead))
	var names []string
	if chance(g, plan.Combos) && len(d.sc.Combos) > 0 {
		var weights []float64
		for _, c := range d.sc.Combos {
			weights = append(weights, c.Weight)
		}
		names = append(names, d.sc.Combos[weighted(g, weights)].Kinds...)
	}
	combined := len(names)
	var weights []float64
	for _, k := range d.sc.Kinds {
		weights = append(weights, k.Weight)
	}
	for len(names) < n {
		names = append(names, d.sc.Kinds[weighted(g, weights)].Name)
	}
	table := kinds()
	for i, name := range names {
		g := d.stream(fmt.Sprintf("fault %d", i+1))
		together := i < combined || chance(g, plan.Overlap)
		for range maxKindDraws {
			k := table[name]
			if d.fault(g, &k, i+1, lead, overlapTime, together) {
				break
			}
			name = d.sc.Kinds[weighted(g, weights)].Name
		}
	}
	slices.SortStableFunc(d.s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
}

// fault draws one fault and adds it to the script. It returns false and adds nothing if the world cannot hold a fault
// of this kind.
func (d *drawer) fault(g *rand.Rand, k *Kind, i int, lead, overlapTime figure.Span, together bool) bool {
	w := &d.s.World
	r := d.sc.Kinds[slices.IndexFunc(d.sc.Kinds, func(r KindRanges) bool { return r.Name == k.Name })]
	f := Fault{Kind: k.Name, For: r.For.draw(g), Share: r.Share.draw(g), Factor: r.Factor.draw(g),
		Pause: r.Pause.draw(g), TurnAway: r.TurnAway.draw(g), Back: r.Back.draw(g)}
	if k.Name == "node-restart" {
		f.For = max(f.For, minRestartDuration(w))
		if chance(d.stream(fmt.Sprintf("kill of fault %d", i)), earliestKillShare) {
			f.For = minRestartDuration(w)
		}
	}
	part := r.Part.draw(g)
	if k.Name == "cut" && len(w.Zones) < 2 {
		return false
	}
	if k.hasParameter("zone") {
		f.Zone = w.Zones[g.IntN(len(w.Zones))]
	}
	if k.hasParameter("class") {
		f.Class = w.Classes[g.IntN(len(w.Classes))].Name
	}
	if k.hasParameter("peers") {
		f.Peers = d.pickPeers(g, k, part, f.Zone)
		if len(f.Peers) == 0 {
			return false
		}
	}
	if k.hasParameter("nodes") {
		f.Nodes = pick(g, part, w.Nodes, func(n world.Node) string { return n.Name })
	}
	if k.hasParameter("clients") {
		f.Clients = pick(g, part, w.Clients, func(c world.Clients) string { return c.Name })
	}
	f.At = drawTime(g, f.activeDuration(), lead, overlapTime, d.s.Length, together)
	early := f
	if early.fit(lead, d.s.Length-d.sc.Faults.Tail.draw(g)) {
		f = early
	} else if !f.fit(lead, d.s.Length) {
		return false
	}
	if k.Name == Rogues {
		d.rogues(g, i, f.At, f.For)
		return true
	}
	if k.hasParameter("heirs") {
		for _, name := range f.Peers {
			f.Replacements = append(f.Replacements, d.addReplacement(name))
		}
	}
	d.s.Faults = append(d.s.Faults, f)
	return true
}

// drawTime draws the start of a fault. If together is set, the fault counts as active at overlapTime, the instant that
// the overlapping faults share.
func drawTime(g *rand.Rand, activeDuration, lead, overlapTime, length figure.Span, together bool) figure.Span {
	u := g.Float64()
	if together {
		first := max(lead, overlapTime-max(activeDuration, instantFaultDuration/2))
		return roundSeconds((first + figure.Span(u*float64(overlapTime-first))).D().Seconds())
	}
	return roundSeconds((lead + figure.Span(u*0.85*float64(length-lead))).D().Seconds())
}

// fit adjusts a fault to end within length: it starts the fault earlier, though not before lead, then removes peers,
// then shortens it. It reports whether the fault fits.
func (f *Fault) fit(lead, length figure.Span) bool {
	if over := f.At + f.activeDuration() - length; over > 0 {
		f.At = max(f.At-over, min(f.At, lead))
	}
	for f.At+f.activeDuration() > length && len(f.Peers) > 1 && f.activeDuration() > f.For {
		f.Peers = f.Peers[:len(f.Peers)-1]
		if len(f.Replacements) > len(f.Peers) {
			f.Replacements = f.Replacements[:len(f.Peers)]
		}
	}
	if over := f.At + f.activeDuration() - length; over > 0 {
		f.For = max(f.For-over, 0)
	}
	table := kinds()
	k := table[f.Kind]
	t, lasts := k.parameter("for")
	return f.At >= 0 && f.At < length && f.At+f.activeDuration() <= length && (!lasts || f.For.D() >= figure.Seconds(t.Lo))
}

// pickPeers draws among the peers that run from the start. A peer that an earlier fault replaces is not replaced again,
// and an outage leaves at least one peer running.
func (d *drawer) pickPeers(g *rand.Rand, k *Kind, part float64, zone string) []string {
	gone := map[string]bool{}
	if k.hasParameter("heirs") {
		for _, f := range d.s.Faults {
			if len(f.Replacements) > 0 {
				for _, name := range f.Peers {
					gone[name] = true
				}
			}
		}
	}
	early := 0
	var from []world.Peer
	for _, p := range d.s.World.Peers {
		if p.Late {
			continue
		}
		early++
		if !gone[p.Name] && (zone == "" || p.Zone == zone) {
			from = append(from, p)
		}
	}
	picked := pick(g, part, from, func(p world.Peer) string { return p.Name })
	if k.Name == "outage" && len(picked) == early && early > 0 {
		picked = picked[1:]
	}
	return picked
}

// pick draws the given share of a list, at least one entry unless the list is empty.
func pick[T any](g *rand.Rand, part float64, from []T, name func(T) string) []string {
	if len(from) == 0 {
		return nil
	}
	var names []string
	for _, i := range g.Perm(len(from))[:max(int(part*float64(len(from))), 1)] {
		names = append(names, name(from[i]))
	}
	return names
}

// addReplacement adds a late peer that replaces the named one, on the same machine under a new name, and returns the
// new name.
func (d *drawer) addReplacement(name string) string {
	w := &d.s.World
	i := slices.IndexFunc(w.Peers, func(p world.Peer) bool { return p.Name == name })
	p := w.Peers[i]
	p.Host = host(p)
	p.Name += "r1"
	p.Late = true
	w.Peers = append(w.Peers, p)
	return p.Name
}

func (d *drawer) rogues(g *rand.Rand, fault int, from, long figure.Span) {
	sc, w := &d.sc.Rogues, &d.s.World
	for n := range sc.Crowd.draw(g) {
		name := fmt.Sprintf("rogue-%d-%d", fault, n+1)
		g := d.stream(name)
		w.Malformed = append(w.Malformed, world.MalformedClient{Name: name, Zone: w.Zones[g.IntN(len(w.Zones))],
			Kind: sc.Kinds[g.IntN(len(sc.Kinds))], Rate: sc.Rate.draw(g), From: from, For: long})
	}
}
