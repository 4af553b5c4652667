package rules

import "time"

// attempt is one request from a node to a peer.
type attempt struct {
	conn        *peerConn
	call        *call // nil: a health check, or a violation
	startOffset int64 // of its first byte on the connection
	begunAt     time.Duration
	knownStart  time.Duration // the peer's last start that the node had been notified of; 0: none
	finished    bool          // the peer has answered, or the connection is over
	neverRan    bool          // its answer proves that it has not run
	truncated   bool          // its answer broke off
}

// inFlight reports whether a peer still has to answer an attempt.
func (a *attempt) inFlight() bool {
	return !a.finished && a.conn.node.incarnation == a.conn.incarnation
}
