package fault

import (
	"time"

	"olivebridge/internal/lab/loop"
	"olivebridge/internal/lab/world"
)

// Schedule sets off each fault at its instant and undoes it when its time is
// over; at the script's Length whatever is left is undone.
func (s *Script) Schedule(l *loop.Loop, t Target) {
	r := &run{script: s, loop: l, target: t, peers: map[string]*processState{}, nodes: map[string]*processState{}}
	for _, p := range s.World.Peers {
		r.peers[p.Name] = &processState{host: host(p), outOfService: p.Late}
	}
	for _, n := range s.World.Nodes {
		r.nodes[n.Name] = &processState{host: n.Name}
	}
	table := kinds()
	l.At(s.Length.D(), r.finish)
	for i := range s.Faults {
		f := &s.Faults[i]
		set := table[f.Kind].apply
		l.At(f.At.D(), func() {
			if !r.finished && set != nil && (r.fleet() != nil || !isFleetKind(f.Kind)) {
				set(r, f)
			}
		})
	}
}

// host is the machine of a peer.
func host(p world.Peer) string {
	if p.Host != "" {
		return p.Host
	}
	return p.Name
}

// run is a script being played.
type run struct {
	script   *Script
	loop     *loop.Loop
	target   Target
	peers    map[string]*processState
	nodes    map[string]*processState
	heals    []func() // in the order in which they were set off; harmless when done
	finished bool
}

// processState is what the faults together make of one process. Several may hold it
// down at one time; it starts again when the last lets go.
type processState struct {
	host         string // its host
	holds        int    // how many keep it from running
	vanishCount  int    // how many keep its machine silent
	outOfService bool   // it has been replaced, and stays held, or its time has not come
}

// process is what peers and nodes have in common.
type process interface {
	Start()
	Kill()
	Down() bool
}

// after lets f run once d has passed, or at the script's end if that is earlier.
func (r *run) after(d time.Duration, f func()) {
	done := false
	once := func() {
		if !done {
			done = true
			f()
		}
	}
	r.heals = append(r.heals, once)
	r.loop.After(d, once)
}

func (r *run) finish() {
	r.finished = true
	for _, heal := range r.heals {
		heal()
	}
	r.heals = nil
}

// hold kills a process and starts it again after d, if nothing else holds it.
func (r *run) hold(l *processState, p process, d time.Duration) {
	if l.outOfService {
		return
	}
	l.holds++
	if !p.Down() {
		p.Kill()
	}
	r.after(d, func() { l.release(p) })
}

func (l *processState) release(p process) {
	l.holds--
	if l.holds == 0 && p.Down() {
		p.Start()
	}
}
