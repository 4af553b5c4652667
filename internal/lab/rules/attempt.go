package rules

import "time"

// attempt is one request from a node to a peer.
type attempt struct {
	conn          *peerConn
	call          *call         // nil for a health check or an attempt that no call allows
	startOffset   int64         // offset of its first byte on the connection
	begunAt       time.Duration // when its first byte was sent
	notifiedStart time.Duration // the peer's last start of which the node had been notified; 0: none
	finished      bool          // the peer has answered, or the connection has ended
	neverRan      bool          // its answer proves that it has not run
	truncated     bool          // the connection ended in the middle of its answer
}

// inFlight reports whether the attempt is unanswered and the node that sent it
// is still the same process.
func (a *attempt) inFlight() bool {
	return !a.finished && a.conn.node.incarnation == a.conn.incarnation
}
