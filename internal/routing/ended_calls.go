package routing

import "time"

const (
	// endedCallRetention is the duration for which the id of an ended call that must not run twice is remembered.
	endedCallRetention = time.Minute
	// minEndedCallRetention is the part of endedCallRetention that applies even if there is no room for newer ids.
	minEndedCallRetention = 10 * time.Second
	// endedCallOverhead is the memory for one id beside its own bytes: its entry and its bucket.
	endedCallOverhead = 128
	// DefaultEndedCallBytes is Config.MaxEndedCallBytes if that is 0.
	DefaultEndedCallBytes = 1 << 20
)

// endedCalls remembers the ids of calls that have ended, may have run and must not run twice: a call with such an id is
// a duplicate. Its memory is bounded, so it can be full. It belongs to the event loop.
type endedCalls struct {
	queue    idQueue // in the order of their ends, which is that of their expiry
	bytes    int64   // memory in use
	maxBytes int64
}

// endedCall is the end of a call.
type endedCall struct {
	clientRequestID string
	endedAt         time.Time
}

// openCall returns the call as it is reported to other processes.
func (c endedCall) openCall() OpenCall {
	return OpenCall{ClientRequestID: c.clientRequestID, ExpiresAt: c.endedAt.Add(endedCallRetention), Ended: true}
}

func newEndedCalls(maxBytes int64) endedCalls {
	return endedCalls{queue: newIDQueue(), maxBytes: maxBytes}
}

// contains reports whether a call with this id has ended and is remembered.
func (e *endedCalls) contains(clientRequestID string, now time.Time) bool {
	e.removeExpired(now)
	return e.queue.contains(clientRequestID)
}

// add remembers a call that ends now.
func (e *endedCalls) add(clientRequestID string, now time.Time) {
	e.removeExpired(now)
	if e.queue.contains(clientRequestID) {
		return
	}
	e.queue.push(endedCall{clientRequestID, now})
	e.bytes += endedCallSize(clientRequestID)
}

// addReported remembers a call that has ended in another process. It may forget the oldest call for that, since the
// other process has more memory while it runs alone.
func (e *endedCalls) addReported(clientRequestID string, now time.Time) {
	if e.bytes >= e.maxBytes && e.queue.count > 0 {
		e.removeOldest()
	}
	e.add(clientRequestID, now)
}

// hasRoom reports whether another call can be remembered at its end. It forgets the oldest calls for that, but none
// before minEndedCallRetention.
func (e *endedCalls) hasRoom(now time.Time) bool {
	e.removeExpired(now)
	for e.bytes >= e.maxBytes {
		endedAt, ok := e.queue.oldestEndedAt()
		if !ok || now.Sub(endedAt) < minEndedCallRetention {
			return false
		}
		e.removeOldest()
	}
	return true
}

// removeExpired forgets the calls whose retention is over.
func (e *endedCalls) removeExpired(now time.Time) {
	for {
		endedAt, ok := e.queue.oldestEndedAt()
		if !ok || now.Sub(endedAt) < endedCallRetention {
			return
		}
		e.removeOldest()
	}
}

// removeOldest forgets the call that ended first.
func (e *endedCalls) removeOldest() {
	oldest := e.queue.pop()
	e.bytes -= endedCallSize(oldest.clientRequestID)
}

// openCalls returns the remembered calls as they are reported to other processes, in the order of their ends.
func (e *endedCalls) openCalls(now time.Time) []OpenCall {
	e.removeExpired(now)
	calls := make([]OpenCall, 0, e.queue.count)
	for call := range e.queue.all {
		calls = append(calls, call.openCall())
	}
	return calls
}

// endedCallSize returns the memory that a remembered call uses.
func endedCallSize(clientRequestID string) int64 {
	return int64(len(clientRequestID)) + endedCallOverhead
}

// SetMaxEndedCallBytes changes Config.MaxEndedCallBytes of a running Router.
func (r *Router) SetMaxEndedCallBytes(limit int64) { r.post(endedCallLimitEvent(limit)) }

// endedCallLimitEvent changes the memory for ids of ended calls.
type endedCallLimitEvent int64

func (e endedCallLimitEvent) handle(r *Router) { r.calls.ended.maxBytes = int64(e) }
