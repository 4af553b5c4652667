// Package fact is how the world tells whoever judges a run what no byte on the
// network shows.
package fact

import "time"

// Witness hears facts, on the loop.
type Witness interface {
	// PeerStarted: the process of a peer started at its address; cold is false
	// for those that were warm when the run began.
	PeerStarted(peer, addr string, cold bool)
	// PeerStopped: it ended, or was killed.
	PeerStopped(peer string)
	// PeerWork: an attempt came whole to a peer, turned away or not. work is what
	// it costs there, capacity what the peer can do at this moment; in seconds of
	// a core of speed 1, and in such seconds a second.
	PeerWork(peer, call string, work, capacity float64)
	// Listed: discovery knows of a change from now on, under a version. state is
	// Ready, Terminating or Gone; started is the peer's last start, since the
	// run began, 0 for long ago.
	Listed(version int64, peer, addr, state string, started time.Duration)
	// Reach: calls of a node ("": of any) to discovery at an address are served from
	// now on, or are not: it is down, has gone elsewhere or fails calls, or the way
	// to it is cut. Until something else is told they are.
	Reach(node, addr string, served bool)
	// Bad: what the client sends on a connection from here on must not be served,
	// for the reason; it is owed an error or a close within the time.
	Bad(conn, why string, within time.Duration)
	// NodeStarted, NodeKilled, NodeTold: a node's life. NodeTold says that a
	// signal reached it: SIGTERM, or SIGHUP with where discovery is from then on.
	NodeStarted(node string, version int64)
	NodeKilled(node string)
	NodeTold(node, signal, discovery string)
	// NodeOperated: an operator's call. SUSPEND and PAUSE hold once they were
	// answered with a yes, RESTORE and RESUME as they are made.
	NodeOperated(node, call, peer string)
}

// Nobody is a Witness that cares for nothing, to be embedded by those that care
// for some facts only.
type Nobody struct{}

// PeerStarted implements Witness, as do the methods below.
func (Nobody) PeerStarted(string, string, bool) {}

// PeerStopped implements Witness.
func (Nobody) PeerStopped(string) {}

// PeerWork implements Witness.
func (Nobody) PeerWork(string, string, float64, float64) {}

// Listed implements Witness.
func (Nobody) Listed(int64, string, string, string, time.Duration) {}

// Reach implements Witness.
func (Nobody) Reach(string, string, bool) {}

// Bad implements Witness.
func (Nobody) Bad(string, string, time.Duration) {}

// NodeStarted implements Witness.
func (Nobody) NodeStarted(string, int64) {}

// NodeKilled implements Witness.
func (Nobody) NodeKilled(string) {}

// NodeTold implements Witness.
func (Nobody) NodeTold(string, string, string) {}

// NodeOperated implements Witness.
func (Nobody) NodeOperated(string, string, string) {}
