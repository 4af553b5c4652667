package fault

import (
	"strings"
	"time"

	"olivebridge/internal/lab/figure"
)

// This file holds what the faults do, one method a kind or family of kinds.

// drainKillDelay is how long a peer may take beyond the end of its drain before it is
// killed, as a platform does.
const drainKillDelay = 3 * time.Second

func (r *run) death(f *Fault) {
	for _, name := range f.Peers {
		r.hold(r.peers[name], r.target.Peer(name), f.For.D())
	}
}

// eachPeer does something to each peer of a fault, for its time.
func (r *run) eachPeer(f *Fault, names []string, do func(Peer) (heal func())) {
	for _, name := range names {
		r.after(f.For.D(), do(r.target.Peer(name)))
	}
}

func (r *run) slow(f *Fault) {
	r.eachPeer(f, f.Peers, func(p Peer) func() { return p.Slow(f.Factor) })
}

func (r *run) fail(f *Fault) {
	r.eachPeer(f, f.Peers, func(p Peer) func() { return p.Fail(f.Share) })
}

func (r *run) costly(f *Fault) {
	var all []string
	for _, p := range r.script.World.Peers {
		all = append(all, p.Name)
	}
	r.eachPeer(f, all, func(p Peer) func() { return p.Costly(f.Class, f.Share, f.Factor) })
}

func (r *run) spoil(f *Fault) {
	r.eachPeer(f, f.Peers, func(p Peer) func() { return p.Spoil(f.Share) })
}

func (r *run) surplus(f *Fault) {
	r.eachPeer(f, f.Peers, func(p Peer) func() { return p.Surplus(f.Share) })
}

func (r *run) silent(f *Fault) {
	r.eachPeer(f, f.Peers, func(p Peer) func() { return p.Silent(f.Share) })
}

func (r *run) turnAway(f *Fault) {
	r.eachPeer(f, f.Peers, func(p Peer) func() { return p.TurnAway(f.Share) })
}

func (r *run) breaks(f *Fault) {
	r.eachPeer(f, f.Peers, func(p Peer) func() { return p.Break(f.Share) })
}

func (r *run) stall(f *Fault) {
	for _, name := range f.Peers {
		r.target.Peer(name).Stall(f.For.D())
	}
}

// drain lets the peers drain one after the other; with heirs, others take
// their places.
func (r *run) drain(f *Fault) {
	for i, name := range f.Peers {
		heir := ""
		if len(f.Replacements) > 0 {
			heir = f.Replacements[i]
		}
		r.loop.After(time.Duration(i)*f.Pause.D(), func() {
			if !r.finished {
				r.drainOne(f, name, heir)
			}
		})
	}
}

func (r *run) drainOne(f *Fault, name, heir string) {
	l, p := r.peers[name], r.target.Peer(name)
	if l.outOfService {
		return
	}
	l.holds++
	if !p.Down() {
		p.Drain(f.TurnAway.D(), f.For.D())
	}
	next := func() {
		if heir != "" {
			r.startReplacement(name, heir)
		} else {
			l.release(p)
		}
	}
	r.loop.After(f.For.D(), func() { r.awaitExit(p, r.loop.Now()+drainKillDelay, f.Back.D(), next) })
}

// awaitExit waits until a peer that drains has ended, and lets next happen a while
// after. A drain that the script's end meets goes on by itself: nobody needs
// the peer any more.
func (r *run) awaitExit(p Peer, patience, back time.Duration, next func()) {
	switch {
	case r.finished && p.Down():
		next()
		return
	case r.finished:
		return
	case !p.Down() && r.loop.Now() < patience:
		r.loop.After(100*time.Millisecond, func() { r.awaitExit(p, patience, back, next) })
		return
	case !p.Down():
		p.Kill()
	}
	r.after(back, next)
}

func (r *run) replace(f *Fault) {
	for i, name := range f.Peers {
		l, p := r.peers[name], r.target.Peer(name)
		if l.outOfService {
			continue
		}
		l.holds++
		if !p.Down() {
			p.Kill()
		}
		r.after(f.For.D(), func() { r.startReplacement(name, f.Replacements[i]) })
	}
}

// startReplacement starts the peer that takes another's place for good.
func (r *run) startReplacement(name, heir string) {
	if r.peers[name].outOfService { // another fault was earlier
		return
	}
	r.peers[name].outOfService = true
	l, p := r.peers[heir], r.target.Peer(heir)
	l.outOfService = false
	if l.holds == 0 && p.Down() {
		p.Start()
	}
}

// hush picks connections by a draw of each one's own, so that it is the same
// one whatever else is open, and whatever else the script holds.
func (r *run) hush(f *Fault) {
	these := r.hosts(f)
	r.silenceConnections(f, func(from, to string) bool { return r.nodes[from] != nil && these(to) })
}

func (r *run) mute(f *Fault) {
	to := map[string]bool{}
	for _, n := range f.Nodes {
		to[n] = true
	}
	r.silenceConnections(f, func(from, host string) bool { return to[host] && r.target.Zone(from) == "" })
}

func (r *run) silenceConnections(f *Fault, among func(from, to string) bool) {
	purpose := f.Kind + " at " + f.At.D().String() + " "
	r.target.Network().Hush(func(conn string) bool {
		from, to, _ := strings.Cut(conn, ">")
		to, _, _ = strings.Cut(to, "#")
		return among(from, to) && chance(figure.Stream(r.script.Seed, purpose+conn), f.Share)
	})
}

// hosts tells the machines of a fault's peers from others.
func (r *run) hosts(f *Fault) func(host string) bool {
	set := map[string]bool{}
	for _, name := range f.Peers {
		set[r.peers[name].host] = true
	}
	return func(host string) bool { return set[host] }
}

func (r *run) hushing(f *Fault) {
	r.after(f.For.D(), r.target.Network().HushNew(f.Share, r.hosts(f)))
}

func (r *run) vanish(f *Fault) {
	net, discovery := r.target.Network(), r.target.Discovery()
	for _, name := range f.Peers {
		l := r.peers[name]
		if l.outOfService {
			continue
		}
		p := r.target.Peer(name)
		if l.vanishCount++; l.vanishCount == 1 {
			net.Vanish(l.host)
			if !p.Down() {
				discovery.Vanished(name)
			}
		}
		r.after(f.For.D(), func() {
			if l.vanishCount--; l.vanishCount > 0 {
				return
			}
			net.Return(l.host)
			if !p.Down() { // one that ended meanwhile is listed when it starts
				discovery.Returned(name)
			}
		})
	}
}

func (r *run) discoveryDown(f *Fault) { r.after(f.For.D(), r.target.Discovery().Down()) }

func (r *run) discoveryBreak(f *Fault) { r.after(f.For.D(), r.target.Discovery().Break(f.Share)) }

func (r *run) discoveryStall(f *Fault) { r.after(f.For.D(), r.target.Discovery().Stall(f.Share)) }

func (r *run) discoveryRefuse(f *Fault) { r.after(f.For.D(), r.target.Discovery().Refuse(f.Share)) }

func (r *run) discoveryLate(f *Fault) { r.after(f.For.D(), r.target.Discovery().Delay(f.Factor)) }

func (r *run) discoveryGarble(f *Fault) { r.after(f.For.D(), r.target.Discovery().Garble(f.Share)) }

func (r *run) discoveryBlind(f *Fault) { r.after(f.For.D(), r.target.Discovery().Blind()) }

// move tells every node in time, the script's end or not: one that is not told
// would go on asking where nobody answers.
func (r *run) move(f *Fault) {
	addr := r.target.Discovery().Move()
	for i, n := range r.script.World.Nodes {
		r.after(time.Duration(i+1)*f.Pause.D(), func() { r.reload(n.Name, addr) })
	}
}

func (r *run) nodeReload(f *Fault) {
	for _, name := range f.Nodes {
		r.reload(name, "")
	}
}

func (r *run) reload(name, discovery string) {
	if n := r.target.Node(name); r.nodes[name].holds == 0 && !n.Down() {
		n.Hup(discovery)
	}
}

// operate makes an operator's call at each of some nodes that run.
func (r *run) operate(nodes []string, call, peer string) {
	for _, name := range nodes {
		if n := r.target.Node(name); r.nodes[name].holds == 0 && !n.Down() {
			n.Operate(call, peer)
		}
	}
}

// maintenance restarts each peer in the middle of its suspension, for half of it.
func (r *run) maintenance(f *Fault) {
	var nodes []string
	for _, n := range r.script.World.Nodes {
		nodes = append(nodes, n.Name)
	}
	for _, name := range f.Peers {
		r.operate(nodes, "SUSPEND", name)
		r.loop.After(f.For.D()/4, func() {
			if !r.finished {
				r.hold(r.peers[name], r.target.Peer(name), f.For.D()/2)
			}
		})
		r.after(f.For.D(), func() { r.operate(nodes, "RESTORE", name) })
	}
}

func (r *run) pause(f *Fault) {
	r.operate(f.Nodes, "PAUSE", "")
	r.after(f.For.D(), func() { r.operate(f.Nodes, "RESUME", "") })
}

func (r *run) nodeKill(f *Fault) {
	for _, name := range f.Nodes {
		r.hold(r.nodes[name], r.target.Node(name), f.For.D())
	}
}

func (r *run) nodeRestart(f *Fault) {
	for _, name := range f.Nodes {
		l, n := r.nodes[name], r.target.Node(name)
		if l.holds++; l.holds == 1 && !n.Down() {
			n.Term()
		}
		r.after(f.For.D(), func() {
			if l.holds == 1 && !n.Down() {
				n.Kill()
			}
			l.release(n)
		})
	}
}

func (r *run) cut(f *Fault) {
	in := func(host string) bool { return r.target.Zone(host) == f.Zone }
	out := func(host string) bool { z := r.target.Zone(host); return z != "" && z != f.Zone }
	r.after(f.For.D(), r.target.Network().Cut(in, out))
}

func (r *run) slowLink(f *Fault) {
	these := r.hosts(f)
	others := func(host string) bool { return !these(host) }
	r.after(f.For.D(), r.target.Network().Slow(f.Factor, these, others))
}

func (r *run) surge(f *Fault) {
	for _, name := range f.Clients {
		r.after(f.For.D(), r.target.Crowd(name).Surge(f.Factor))
	}
}

func (r *run) leave(f *Fault) {
	for _, name := range f.Clients {
		r.after(f.For.D(), r.target.Crowd(name).LeaveMore(f.Share))
	}
}
