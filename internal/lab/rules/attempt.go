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

	inParts     bool          // the peer sends a complete answer over 64 KiB, in parts
	answerStart int64         // offset of the first byte of that answer
	answerAt    time.Duration // when its head had reached the node; 0: it has not
}

// answerHeadSize is more than the bytes of the head of an answer in parts.
const answerHeadSize = 64

// noteAnswerHead records when the head of an answer in parts has reached the node.
func (a *attempt) noteAnswerHead(arrived int64, now time.Duration) {
	if a.inParts && a.answerAt == 0 && arrived >= a.answerStart+answerHeadSize {
		a.answerAt = now
	}
}

// isAnswering reports whether the answer in parts has been arriving at the node for a duration, and can be passed on.
func (a *attempt) isAnswering(now, duration time.Duration) bool {
	return a.inParts && !a.truncated && a.answerAt > 0 && now-a.answerAt >= duration
}

// inFlight reports whether the attempt is unanswered and the node that sent it
// is still the same process.
func (a *attempt) inFlight() bool {
	return !a.finished && a.conn.node.incarnation == a.conn.incarnation
}
