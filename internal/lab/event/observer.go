// Package event defines the events of a run that are not visible in the bytes on
// the network, and the observers that are notified of them.
package event

import "time"

// Observer is notified of the events of a run by the modelled services and by the
// code that injects faults. All methods are called on the goroutine of the run's
// loop.Loop and must not block.
type Observer interface {
	// PeerStarted reports that the process of a peer started at its address.
	// cold is false for peers that were warm when the run began.
	PeerStarted(peer, addr string, cold bool)
	// PeerStopped reports that the process of a peer exited or was killed.
	PeerStopped(peer string)
	// PeerAttempt reports that a peer received a complete attempt of a call,
	// whether it accepts or rejects it. work is the cost of the attempt at the
	// peer, in seconds of a core of speed 1. capacity is the peer's current
	// capacity, in seconds of such a core per second.
	PeerAttempt(peer, call string, work, capacity float64)
	// PeerMisframed reports that a peer is about to send, in place of the answer
	// to a call, one whose announced length makes another body of it.
	PeerMisframed(peer, call string)
	// PeerAnswersInParts reports that a peer is about to send the complete answer
	// to a call, which is over 64 KiB, in parts with pauses between them.
	PeerAnswersInParts(peer, call string)
	// PeerListed reports a change of discovery's endpoint list, with its version.
	// state is Ready, Terminating or Gone. started is the time of the peer's last
	// start since the run began; 0 if it started before the run.
	PeerListed(version int64, peer, addr, state string, started time.Duration)
	// DiscoveryReachable reports whether polls of a node to discovery at an
	// address are served from now on. They are not while discovery is down, has
	// moved to its other address, fails polls or is partitioned from the node. An
	// empty node stands for all nodes. Polls count as served until the first
	// report.
	DiscoveryReachable(node, addr string, served bool)
	// MalformedInput reports that the bytes that the client sends on a connection
	// from now on must not be forwarded, for the given reason. The client must
	// receive an error or a close within timeLimit.
	MalformedInput(conn, reason string, timeLimit time.Duration)
	// NodeStarted reports that a node started with the endpoint list of a version.
	NodeStarted(node string, version int64)
	// NodeKilled reports that a node was killed.
	NodeKilled(node string)
	// NodeSignaled reports that a node received a signal: SIGTERM, or SIGHUP with
	// the address of discovery in the reloaded configuration.
	NodeSignaled(node, signal, discovery string)
	// NodeCommanded reports an operator's command to a node. SUSPEND and PAUSE
	// are reported when the node has answered SUCCESS, RESTORE and RESUME when
	// they are sent.
	NodeCommanded(node, command, peer string)
}

// NopObserver is an Observer that ignores all events. It is embedded in observers
// that handle only some events.
type NopObserver struct{}

// PeerStarted implements Observer.
func (NopObserver) PeerStarted(string, string, bool) {}

// PeerStopped implements Observer.
func (NopObserver) PeerStopped(string) {}

// PeerAttempt implements Observer.
func (NopObserver) PeerAttempt(string, string, float64, float64) {}

// PeerMisframed implements Observer.
func (NopObserver) PeerMisframed(string, string) {}

// PeerAnswersInParts implements Observer.
func (NopObserver) PeerAnswersInParts(string, string) {}

// PeerListed implements Observer.
func (NopObserver) PeerListed(int64, string, string, string, time.Duration) {}

// DiscoveryReachable implements Observer.
func (NopObserver) DiscoveryReachable(string, string, bool) {}

// MalformedInput implements Observer.
func (NopObserver) MalformedInput(string, string, time.Duration) {}

// NodeStarted implements Observer.
func (NopObserver) NodeStarted(string, int64) {}

// NodeKilled implements Observer.
func (NopObserver) NodeKilled(string) {}

// NodeSignaled implements Observer.
func (NopObserver) NodeSignaled(string, string, string) {}

// NodeCommanded implements Observer.
func (NopObserver) NodeCommanded(string, string, string) {}
