package stage

import (
	"strings"
	"time"

	"olivebridge/internal/lab/sample"
)

// readEach is how often the peers are read.
const readEach = 250 * time.Millisecond

// watch tells whoever watches a run how it goes. It adds no event to the loop,
// so that a run that is watched is the same as one that is not.
type watch struct {
	run  *run
	to   sample.Sink
	next time.Duration // when the peers are read again
	over bool
}

// step follows each event. It may be called on nil.
func (w *watch) step() {
	if w == nil || w.over || w.run.loop.Now() < w.next {
		return
	}
	w.read(w.next)
	w.next = w.run.loop.Now().Truncate(readEach) + readEach
}

// end is the end of what is told: the clients have their outcomes.
func (w *watch) end() {
	if w == nil || w.over {
		return
	}
	w.over = true
	w.read(w.run.loop.Now())
}

// read tells how the peers stand.
func (w *watch) read(at time.Duration) {
	r := sample.Reading{At: at}
	for _, c := range w.run.script.World.Peers {
		p := w.run.peers[c.Name]
		s := p.Stats()
		r.Peers = append(r.Peers, sample.Peer{Name: c.Name, Down: p.Down(), OpenRequests: s.Held,
			AttemptsReceived: s.Arrived, HealthChecks: s.Probes})
	}
	w.to.Reading(r)
}

func (w *watch) tell(who, what string) {
	if !w.over {
		w.to.Event(sample.Event{At: w.run.loop.Now(), Name: who, Change: what})
	}
}

// PeerStarted and the methods below implement event.Observer. Who was there from
// the beginning is no event.
func (w *watch) PeerStarted(peer, _ string, cold bool) {
	if cold {
		w.tell(peer, "started cold")
	}
}

// PeerStopped implements event.Observer.
func (w *watch) PeerStopped(peer string) { w.tell(peer, "ended") }

// PeerAttempt implements event.Observer.
func (w *watch) PeerAttempt(string, string, float64, float64) {}

// PeerListed implements event.Observer.
func (w *watch) PeerListed(_ int64, peer, _, state string, _ time.Duration) {
	if w.run.loop.Now() > 0 {
		w.tell(peer, "listed "+state)
	}
}

// DiscoveryReachable implements event.Observer.
func (w *watch) DiscoveryReachable(string, string, bool) {}

// MalformedInput implements event.Observer.
func (w *watch) MalformedInput(string, string, time.Duration) {}

// NodeStarted implements event.Observer.
func (w *watch) NodeStarted(node string, _ int64) {
	if w.run.loop.Now() > 0 {
		w.tell(node, "started")
	}
}

// NodeKilled implements event.Observer.
func (w *watch) NodeKilled(node string) { w.tell(node, "killed") }

// NodeCommanded implements event.Observer.
func (w *watch) NodeCommanded(node, call, peer string) {
	w.tell(node, strings.TrimSpace(call+" "+peer))
}

// NodeSignaled implements event.Observer.
func (w *watch) NodeSignaled(node, signal, _ string) { w.tell(node, "told "+signal) }
