package live

import (
	"time"

	"olivebridge/internal/lab/event"
	"olivebridge/internal/lab/sample"
)

// readEach is how often peers and processes are read.
const readEach = 250 * time.Millisecond

// watch tells whoever watches a run how it goes, from the beginning of the
// script's time until the clients have their outcomes. It belongs to the loop.
type watch struct {
	run  *Run
	to   sample.Sink // nil: nobody watches
	on   bool
	base []time.Duration // processor time of each node at the beginning
	used []time.Duration // the most that was read of it: a process that is gone is counted late
}

// begin begins the telling.
func (w *watch) begin() {
	if w.to == nil {
		return
	}
	w.on = true
	w.used = make([]time.Duration, len(w.run.nodes))
	for _, n := range w.run.nodes {
		w.base = append(w.base, n.used+usedBy(n.pid()))
	}
	w.read()
	w.next(w.run.zero + readEach)
}

// next reads at an instant, and so on.
func (w *watch) next(at time.Duration) {
	w.run.loop.At(at, func() {
		if w.on {
			w.read()
			w.next(max(at+readEach, w.run.loop.Now()))
		}
	})
}

// end ends it.
func (w *watch) end() {
	if w.on {
		w.read()
		w.on = false
	}
}

// now is the script's time.
func (w *watch) now() time.Duration { return w.run.loop.Now() - w.run.zero }

// read tells how peers and nodes stand.
func (w *watch) read() {
	r := sample.Reading{At: w.now()}
	for _, p := range w.run.peers {
		s := p.Stats()
		r.Peers = append(r.Peers, sample.Peer{Name: p.c.Name, Down: p.Down(), OpenRequests: s.Held,
			AttemptsReceived: s.Arrived, HealthChecks: s.Probes, OverloadCrashes: s.OverloadCrashes})
	}
	for i, n := range w.run.nodes {
		pid := n.pid()
		w.used[i] = max(w.used[i], n.used+usedBy(pid)-w.base[i])
		r.Nodes = append(r.Nodes, sample.Node{Name: n.c.Name, CPU: w.used[i], ResidentBytes: residentOf(pid)})
	}
	w.to.Reading(r)
}

// request tells what came of one. Its times are the loop's.
func (w *watch) request(q sample.Request) {
	if w.on {
		zero := w.run.zero
		q.ScheduledAt, q.SentAt, q.EndedAt = q.ScheduledAt-zero, q.SentAt-zero, q.EndedAt-zero
		w.to.Request(q)
	}
}

// tell tells of something that happened.
func (w *watch) tell(who, what string) {
	if w.on {
		w.to.Event(sample.Event{At: w.now(), Name: who, Change: what})
	}
}

// worldObserver passes the events of peers and discovery on to the watch.
type worldObserver struct {
	event.NopObserver
	run *Run
}

// PeerStarted implements event.Observer, as do the methods below.
func (w worldObserver) PeerStarted(peer, _ string, cold bool) {
	if cold {
		w.run.watch.tell(peer, "started cold")
	}
}

// PeerStopped implements event.Observer.
func (w worldObserver) PeerStopped(peer string) { w.run.watch.tell(peer, "ended") }

// PeerListed implements event.Observer.
func (w worldObserver) PeerListed(_ int64, peer, _, state string, _ time.Duration) {
	w.run.listed[peer] = state
	w.run.watch.tell(peer, "listed "+state)
}
