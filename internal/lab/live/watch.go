package live

import (
	"time"

	"olivebridge/internal/lab/event"
	"olivebridge/internal/lab/sample"
)

// readingInterval is how often peers and processes are read.
const readingInterval = 250 * time.Millisecond

// reporter tells whoever watches a run how it goes, from the beginning of the
// script's time until the clients have their outcomes. It belongs to the loop.
type reporter struct {
	run         *Run
	to          sample.Sink // nil: nobody watches
	active      bool
	baseCPUTime []time.Duration // processor time of each node at the beginning
	cpuTime     []time.Duration // the most that was read of it: a process that is gone is counted late
}

// begin begins the telling.
func (w *reporter) begin() {
	if w.to == nil {
		return
	}
	w.active = true
	w.cpuTime = make([]time.Duration, len(w.run.nodes))
	for _, n := range w.run.nodes {
		w.baseCPUTime = append(w.baseCPUTime, n.cpuTime+cpuTimeOf(n.pid()))
	}
	w.read()
	w.scheduleReading(w.run.scriptStart + readingInterval)
}

// scheduleReading reads at an instant, and so on.
func (w *reporter) scheduleReading(at time.Duration) {
	w.run.loop.At(at, func() {
		if w.active {
			w.read()
			w.scheduleReading(max(at+readingInterval, w.run.loop.Now()))
		}
	})
}

// end ends it.
func (w *reporter) end() {
	if w.active {
		w.read()
		w.active = false
	}
}

// now is the script's time.
func (w *reporter) now() time.Duration { return w.run.loop.Now() - w.run.scriptStart }

// read tells how peers and nodes stand.
func (w *reporter) read() {
	r := sample.Reading{At: w.now()}
	for _, p := range w.run.peers {
		s := p.Stats()
		r.Peers = append(r.Peers, sample.Peer{Name: p.c.Name, Down: p.Down(), Held: s.Held, Arrived: s.Arrived, Probes: s.Probes, Falls: s.Falls})
	}
	for i, n := range w.run.nodes {
		pid := n.pid()
		w.cpuTime[i] = max(w.cpuTime[i], n.cpuTime+cpuTimeOf(pid)-w.baseCPUTime[i])
		r.Nodes = append(r.Nodes, sample.Node{Name: n.c.Name, CPU: w.cpuTime[i], Resident: residentOf(pid)})
	}
	w.to.Reading(r)
}

// request tells what came of one. Its times are the loop's.
func (w *reporter) request(q sample.Request) {
	if w.active {
		scriptStart := w.run.scriptStart
		q.Due, q.Begun, q.Ended = q.Due-scriptStart, q.Begun-scriptStart, q.Ended-scriptStart
		w.to.Request(q)
	}
}

// report tells of something that happened.
func (w *reporter) report(who, what string) {
	if w.active {
		w.to.Event(sample.Event{At: w.now(), Who: who, What: what})
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
		w.run.reporter.report(peer, "started cold")
	}
}

// PeerStopped implements event.Observer.
func (w worldObserver) PeerStopped(peer string) { w.run.reporter.report(peer, "ended") }

// PeerListed implements event.Observer.
func (w worldObserver) PeerListed(_ int64, peer, _, state string, _ time.Duration) {
	w.run.listed[peer] = state
	w.run.reporter.report(peer, "listed "+state)
}
