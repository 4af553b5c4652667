package fault

import (
	"strings"
	"time"

	"olivebridge/internal/lab/figure"
)

// This file implements the fault kinds, with one method for each kind or family of kinds.

// drainKillDelay is the duration after the end of a drain after which a peer that still runs is killed, as a
// platform does.
const drainKillDelay = 3 * time.Second

func (r *run) death(f *Fault) {
	for _, name := range f.Peers {
		r.hold(r.peers[name], r.target.Peer(name), f.For.D())
	}
}

// eachPeer applies do to each named peer and heals it after the fault's duration.
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

func (r *run) rejectRequests(f *Fault) {
	r.eachPeer(f, f.Peers, func(p Peer) func() { return p.RejectRequests(f.Share) })
}

func (r *run) breaks(f *Fault) {
	r.eachPeer(f, f.Peers, func(p Peer) func() { return p.Break(f.Share) })
}

func (r *run) stall(f *Fault) {
	for _, name := range f.Peers {
		r.target.Peer(name).Stall(f.For.D())
	}
}

// drain drains the peers one after the other, Pause apart. If the fault lists replacements, each drained peer is
// replaced by the one at its index; otherwise it restarts.
func (r *run) drain(f *Fault) {
	for i, name := range f.Peers {
		replacement := ""
		if len(f.Replacements) > 0 {
			replacement = f.Replacements[i]
		}
		r.loop.After(time.Duration(i)*f.Pause.D(), func() {
			if !r.finished {
				r.drainOne(f, name, replacement)
			}
		})
	}
}

func (r *run) drainOne(f *Fault, name, replacement string) {
	l, p := r.peers[name], r.target.Peer(name)
	if l.outOfService {
		return
	}
	l.holds++
	if !p.Down() {
		p.Drain(f.TurnAway.D(), f.For.D())
	}
	next := func() {
		if replacement != "" {
			r.startReplacement(name, replacement)
		} else {
			l.release(p)
		}
	}
	r.loop.After(f.For.D(), func() { r.awaitExit(p, r.loop.Now()+drainKillDelay, f.Back.D(), next) })
}

// awaitExit polls until a draining peer has exited, or kills it at the time patience, and calls next after the delay
// back. A drain that is in progress at the script's end continues without supervision, since the peer is no longer
// needed.
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

// startReplacement starts the peer that permanently replaces another one.
func (r *run) startReplacement(name, replacement string) {
	if r.peers[name].outOfService { // another fault has replaced the peer already
		return
	}
	r.peers[name].outOfService = true
	l, p := r.peers[replacement], r.target.Peer(replacement)
	l.outOfService = false
	if l.holds == 0 && p.Down() {
		p.Start()
	}
}

// hush selects the connections to silence with a random stream for each connection: the selection depends neither on
// the other open connections nor on the other faults of the script.
func (r *run) hush(f *Fault) {
	isPeerHost := r.hosts(f)
	r.silenceConnections(f, func(from, to string) bool { return r.nodes[from] != nil && isPeerHost(to) })
}

func (r *run) mute(f *Fault) {
	to := map[string]bool{}
	for _, n := range f.Nodes {
		to[n] = true
	}
	r.silenceConnections(f, func(from, host string) bool { return to[host] && r.target.Zone(from) == "" })
}

func (r *run) silenceConnections(f *Fault, matches func(from, to string) bool) {
	purpose := f.Kind + " at " + f.At.D().String() + " "
	r.target.Network().Hush(func(conn string) bool {
		from, to, _ := strings.Cut(conn, ">")
		to, _, _ = strings.Cut(to, "#")
		return matches(from, to) && chance(figure.Stream(r.script.Seed, purpose+conn), f.Share)
	})
}

// hosts returns a predicate that reports whether a host belongs to one of the fault's peers.
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
			if !p.Down() { // a peer that exited in the meantime is listed when it starts
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

// move moves discovery to its other address and reloads every node, also if the script ends first: a node that is not
// reloaded would keep calling an address that does not answer.
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

// operate issues an operator's call to each of the named nodes that runs.
func (r *run) operate(nodes []string, call, peer string) {
	for _, name := range nodes {
		if n := r.target.Node(name); r.nodes[name].holds == 0 && !n.Down() {
			n.Operate(call, peer)
		}
	}
}

// maintenance suspends each peer at every node, and keeps it down for the middle half of its suspension.
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
	isPeerHost := r.hosts(f)
	others := func(host string) bool { return !isPeerHost(host) }
	r.after(f.For.D(), r.target.Network().Slow(f.Factor, isPeerHost, others))
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
