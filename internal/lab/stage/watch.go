package stage

import (
	"strings"
	"time"

	"olivebridge/internal/lab/sample"
)

// readingInterval is the interval at which the peers are sampled.
const readingInterval = 250 * time.Millisecond

// sampler sends samples and events of a run to a sink. It adds no events to the loop, so that a run with a sink is
// equal to one without.
type sampler struct {
	run   *run
	sink  sample.Sink
	next  time.Duration // time of the next sample of the peers
	ended bool
}

// step runs after each event and samples the peers when a sample is due. It may be called on nil.
func (w *sampler) step() {
	if w == nil || w.ended || w.run.loop.Now() < w.next {
		return
	}
	w.read(w.next)
	w.next = w.run.loop.Now().Truncate(readingInterval) + readingInterval
}

// end sends the last sample, when all client requests have ended. Later events are not sent. It may be called on nil.
func (w *sampler) end() {
	if w == nil || w.ended {
		return
	}
	w.ended = true
	w.read(w.run.loop.Now())
}

// read sends the state of the peers.
func (w *sampler) read(at time.Duration) {
	r := sample.Reading{At: at}
	for _, c := range w.run.script.World.Peers {
		p := w.run.peers[c.Name]
		s := p.Stats()
		r.Peers = append(r.Peers, sample.Peer{Name: c.Name, Down: p.Down(), OpenRequests: s.Held, AttemptsReceived: s.Arrived, HealthChecks: s.Probes})
	}
	w.sink.Reading(r)
}

func (w *sampler) emit(who, what string) {
	if !w.ended {
		w.sink.Event(sample.Event{At: w.run.loop.Now(), Name: who, Change: what})
	}
}

// PeerStarted and the methods below implement event.Observer. Peers and nodes that run from the beginning yield no
// events.
func (w *sampler) PeerStarted(peer, _ string, cold bool) {
	if cold {
		w.emit(peer, "started cold")
	}
}

// PeerStopped implements event.Observer.
func (w *sampler) PeerStopped(peer string) { w.emit(peer, "ended") }

// PeerAttempt implements event.Observer.
func (w *sampler) PeerAttempt(string, string, float64, float64) {}

// PeerMisframed implements event.Observer.
func (w *sampler) PeerMisframed(string, string) {}

// PeerAnswersInParts implements event.Observer.
func (w *sampler) PeerAnswersInParts(string, string) {}

// PeerListed implements event.Observer.
func (w *sampler) PeerListed(_ int64, peer, _, state string, _ time.Duration) {
	if w.run.loop.Now() > 0 {
		w.emit(peer, "listed "+state)
	}
}

// DiscoveryReachable implements event.Observer.
func (w *sampler) DiscoveryReachable(string, string, bool) {}

// MalformedInput implements event.Observer.
func (w *sampler) MalformedInput(string, string, time.Duration) {}

// NodeStarted implements event.Observer.
func (w *sampler) NodeStarted(node string, _ int64) {
	if w.run.loop.Now() > 0 {
		w.emit(node, "started")
	}
}

// NodeKilled implements event.Observer.
func (w *sampler) NodeKilled(node string) { w.emit(node, "killed") }

// NodeCommanded implements event.Observer.
func (w *sampler) NodeCommanded(node, call, peer string) {
	w.emit(node, strings.TrimSpace(call+" "+peer))
}

// NodeSignaled implements event.Observer.
func (w *sampler) NodeSignaled(node, signal, _ string) { w.emit(node, "told "+signal) }
