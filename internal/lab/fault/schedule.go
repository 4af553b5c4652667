package fault

import (
	"time"

	"olivebridge/internal/lab/loop"
	"olivebridge/internal/lab/world"
)

// Schedule schedules the start of each fault on the loop and heals it when its duration has passed. At the script's
// Length all faults that are still active are healed.
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

// host returns the host of a peer.
func host(p world.Peer) string {
	if p.Host != "" {
		return p.Host
	}
	return p.Name
}

// run is the state of a script that is being played.
type run struct {
	script   *Script
	loop     *loop.Loop
	target   Target
	peers    map[string]*processState
	nodes    map[string]*processState
	heals    []func() // in the order in which the faults started; repeated calls have no effect
	finished bool
}

// processState is the combined effect of the faults on one process. Several faults may hold it down at once; it
// restarts when the last one releases it.
type processState struct {
	host         string // on which the process runs
	holds        int    // number of faults that keep the process down
	vanishCount  int    // number of faults that keep its host unreachable
	outOfService bool   // the process has been replaced, and stays down, or has not been started yet
}

// process is the common interface of peers and nodes.
type process interface {
	Start()
	Kill()
	Down() bool
}

// after runs f when d has passed, or at the script's end if that is earlier.
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

// hold kills a process and restarts it after d, unless another fault still holds it down.
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
