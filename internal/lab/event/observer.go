// Package event defines the events of a run that cannot be read from the bytes
// on the network, and the observers that are notified of them.
package event

import "time"

// Observer is notified of the events of a run by the modelled services and by
// whoever injects faults. All its methods are called on the goroutine of the
// run's loop.Loop, must not block, and cannot fail.
type Observer interface {
	// PeerStarted reports that the process of a peer started at its address.
	// cold is false for peers that were warm when the run began.
	PeerStarted(peer, addr string, cold bool)
	// PeerStopped reports that the process of a peer ended or was killed.
	PeerStopped(peer string)
	// PeerAttempt reports that a peer received a complete attempt of a call,
	// whether it accepts or rejects it. work is the cost of the attempt there,
	// in seconds of a core of speed 1; capacity is what the peer can do at this
	// moment, in such seconds a second.
	PeerAttempt(peer, call string, work, capacity float64)
	// PeerListed reports a change that discovery knows of from now on, under a
	// version. state is Ready, Terminating or Gone. started is the peer's last
	// start since the run began; 0 if it started before the run.
	PeerListed(version int64, peer, addr, state string, started time.Duration)
	// DiscoveryReachable reports whether the calls of a node to discovery at an
	// address are served from now on. They are not while discovery is down, has
	// moved elsewhere, fails calls or is cut off. An empty node stands for
	// every node. Calls count as served until the first report.
	DiscoveryReachable(node, addr string, served bool)
	// MalformedInput reports that what the client sends on a connection from
	// now on must not be forwarded, for the reason given. The client must
	// receive an error or a close within the time given.
	MalformedInput(conn, why string, within time.Duration)
	// NodeStarted reports that a node started with the endpoint list of a version.
	NodeStarted(node string, version int64)
	// NodeKilled reports that a node was killed.
	NodeKilled(node string)
	// NodeSignaled reports that a signal reached a node: SIGTERM, or SIGHUP with
	// the address of discovery from then on.
	NodeSignaled(node, signal, discovery string)
	// NodeCommanded reports an operator's command to a node. SUSPEND and PAUSE
	// are reported once they were answered with a yes, RESTORE and RESUME when
	// they are sent.
	NodeCommanded(node, call, peer string)
}

// NopObserver is an Observer that ignores every event. Observers of a few
// events embed it.
type NopObserver struct{}

// PeerStarted implements Observer.
func (NopObserver) PeerStarted(string, string, bool) {}

// PeerStopped implements Observer.
func (NopObserver) PeerStopped(string) {}

// PeerAttempt implements Observer.
func (NopObserver) PeerAttempt(string, string, float64, float64) {}

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
