package live

import (
	"time"

	"olivebridge/internal/lab/event"
	"olivebridge/internal/lab/sample"
)

// readingInterval is the interval between two readings of peers and processes.
const readingInterval = 250 * time.Millisecond

// reporter reports samples of a run to a sample.Sink, from the start of the script
// until the outcomes of all requests are known. It belongs to the loop.
type reporter struct {
	run         *Run
	to          sample.Sink // nil: nothing is reported
	active      bool
	baseCPUTime []time.Duration // processor time of each node at the start of the script
	cpuTime     []time.Duration // largest reading of each node since then; an exited process is counted late
}

// begin starts the reports.
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

// scheduleReading schedules a reading at an instant, and all that follow it.
func (w *reporter) scheduleReading(at time.Duration) {
	w.run.loop.At(at, func() {
		if w.active {
			w.read()
			w.scheduleReading(max(at+readingInterval, w.run.loop.Now()))
		}
	})
}

// end sends a last reading and stops the reports.
func (w *reporter) end() {
	if w.active {
		w.read()
		w.active = false
	}
}

// now returns the time since the start of the script.
func (w *reporter) now() time.Duration { return w.run.loop.Now() - w.run.scriptStart }

// read reports the state of peers and nodes.
func (w *reporter) read() {
	r := sample.Reading{At: w.now()}
	for _, p := range w.run.peers {
		s := p.Stats()
		r.Peers = append(r.Peers, sample.Peer{
			Name: p.c.Name, Down: p.Down(), OpenRequests: s.Held, AttemptsReceived: s.Arrived, HealthChecks: s.Probes, OverloadCrashes: s.OverloadCrashes,
		})
	}
	for i, n := range w.run.nodes {
		pid := n.pid()
		w.cpuTime[i] = max(w.cpuTime[i], n.cpuTime+cpuTimeOf(pid)-w.baseCPUTime[i])
		r.Nodes = append(r.Nodes, sample.Node{Name: n.c.Name, CPU: w.cpuTime[i], ResidentBytes: residentOf(pid)})
	}
	w.to.Reading(r)
}

// request reports a request after converting its times from the loop's to the script's.
func (w *reporter) request(q sample.Request) {
	if w.active {
		scriptStart := w.run.scriptStart
		q.ScheduledAt, q.SentAt, q.EndedAt = q.ScheduledAt-scriptStart, q.SentAt-scriptStart, q.EndedAt-scriptStart
		w.to.Request(q)
	}
}

// report reports an event of a peer or node.
func (w *reporter) report(who, what string) {
	if w.active {
		w.to.Event(sample.Event{At: w.now(), Name: who, Change: what})
	}
}

// worldObserver passes the events of peers and discovery on to the reporter.
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
