package transport

import (
	"errors"
	"time"
)

// errRequestRejected is the error of a read after which the incomplete request has been answered.
var errRequestRejected = errors.New("incomplete request rejected")

const (
	// rejection is the response to an incomplete request whose connection is evicted. The request was not forwarded, so
	// the client may send it again.
	rejection = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// headRejection is the response to a request whose head has too many fields.
	headRejection = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// minEvictionInterval is the minimum time between two evictions for lack of memory.
	minEvictionInterval = 20 * time.Millisecond
	// budgetEvictionTime limits the time for which evictBeyondBudget closes connections, budgetEvictionBatch of them at a
	// time. They release their memory within budgetEvictionPause, if the process gets a processor.
	budgetEvictionTime  = 300 * time.Millisecond
	budgetEvictionBatch = 16
	budgetEvictionPause = 2 * time.Millisecond
	// rejectionWriteTimeout limits the write of rejection, for which the node does not accept other connections. It ends
	// only if the client does not read earlier responses.
	rejectionWriteTimeout = 5 * time.Millisecond
)

// writeRejection answers the incomplete request of a connection that is evicted, unless a response has begun: a client
// that learns nothing cannot tell whether its request has run. The caller must have set rejected.
func (c *clientConn) writeRejection(answer string) {
	if c.responseWritten.Load() {
		return
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(rejectionWriteTimeout))
	_, _ = c.Conn.Write([]byte(answer)) // a client that has left needs no answer
}

// rejectHead answers a request in the middle of its head, for the reason headFault. It returns the error with which the
// read fails.
func (c *clientConn) rejectHead() error {
	answer := headRejection
	if c.headFault == reasonNoMemory {
		answer = rejection
		c.conns.evictStalled()
	}
	c.log.setReason(c.headFault)
	c.rejected.Store(true)
	c.writeRejection(answer)
	c.responseWritten.Store(true) // the response may need time to arrive: see linger
	return errRequestRejected
}

// checkHead charges the memory of the current head, as far as that has been read, and returns the reason for which the
// request is rejected in the middle of it; reasonNone if it is not. The caller must hold conns.mu.
func (c *clientConn) checkHead() closeReason {
	charged := c.chargeHead()
	switch {
	case c.framing.startedCount != c.responseCount+1 || c.state.request == requestComplete:
		return reasonNone // earlier requests are answered first
	case c.framing.tooManyFields:
		return reasonManyFields
	case !charged && c.framing.inHead:
		return reasonNoMemory
	}
	return reasonNone
}

// chargeHead charges the memory of the current head, and reports whether there is room for it. The caller must hold
// conns.mu.
func (c *clientConn) chargeHead() bool {
	cost := headCost(c.framing.headBytes)
	if cost <= c.headCharge {
		return true
	}
	if !c.conns.memory.reserve(cost - c.headCharge) {
		return false
	}
	c.headCharge = cost
	return true
}

// releaseHead returns the memory of the head. The caller must hold conns.mu.
func (c *clientConn) releaseHead() {
	c.conns.memory.release(c.headCharge)
	c.headCharge = 0
}

// hasTooManyFields reports whether the head of the current request has too many fields.
func (c *clientConn) hasTooManyFields() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.framing.tooManyFields && c.framing.startedCount <= c.responseCount+1
}

// evictStalled closes the connection whose incomplete request has received no bytes for the longest time, if that is
// long enough, so that the memory of the request becomes free. It does so once in minEvictionInterval at most: the
// search looks at every connection.
func (cs *clientConns) evictStalled() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	now := time.Now()
	if now.Sub(cs.lastEviction) < minEvictionInterval {
		return
	}
	cs.lastEviction = now
	if c := cs.longestStalled(now); c != nil {
		cs.closeConns(reasonStalled, c)
	}
}

// evictBeyondBudget closes the connections of stalled requests, as evictStalled does, while messages take more memory
// than the budget allows. The limit has just been lowered, since another process of the node needs the memory.
func (cs *clientConns) evictBeyondBudget() {
	for end := time.Now().Add(budgetEvictionTime); cs.memory.exceeded() && time.Now().Before(end); {
		if !cs.evictLongestStalled(budgetEvictionBatch) {
			return
		}
		time.Sleep(budgetEvictionPause)
	}
}

// evictLongestStalled closes a number of connections, those whose requests have stalled for the longest time. It
// reports whether there is any.
func (cs *clientConns) evictLongestStalled(count int) (evicted bool) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for range count {
		c := cs.longestStalled(time.Now())
		if c == nil {
			break
		}
		cs.closeConns(reasonStalled, c)
		evicted = true
	}
	return evicted
}
