package transport

import (
	"sync"
	"time"
)

const (
	// localAnswerBurst is the number of requests in a row that the node answers by itself on one connection without a
	// pause: more than clients pipeline that wait for their answers.
	localAnswerBurst = 32
	// localAnswerRate is the number of requests a second that the node answers by itself on one connection in the long
	// run without a pause. The front checks readiness ten times a second.
	localAnswerRate = 50
	// maxPause is the maximum pause of a connection.
	maxPause = time.Second
	// pauseCheckInterval is the interval at which a paused connection checks whether it is being closed.
	pauseCheckInterval = 20 * time.Millisecond
)

// answerAllowance is the number of requests that the node may answer by itself on a connection without a pause. It is
// a token bucket.
type answerAllowance struct {
	tokens    float64
	updatedAt time.Time // zero: the bucket is full
}

// take takes one token and reports whether there was one.
func (a *answerAllowance) take(now time.Time) bool {
	if a.updatedAt.IsZero() {
		a.tokens = localAnswerBurst
	} else {
		a.tokens = min(a.tokens+localAnswerRate*now.Sub(a.updatedAt).Seconds(), localAnswerBurst)
	}
	a.updatedAt = now
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// requestPacer gives connections that have used up their allowance one turn after the other, at a rate that all of them
// share. Such requests are answered without a server, so nothing else limits how fast they come, and a few connections
// that send them could take the whole processor. A connection pauses between an answer and the next request: no answer
// is held back, and a client that waits for each answer before its next request has none pending.
type requestPacer struct {
	mu       sync.Mutex
	interval time.Duration // between two turns; 0: there are no pauses
	nextTurn time.Time
}

// setRate changes the number of turns a second; 0: there are no pauses.
func (p *requestPacer) setRate(perSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.interval = 0
	if perSecond > 0 {
		p.interval = time.Duration(float64(time.Second) / perSecond)
	}
}

// reserveTurn returns the time of the next free turn, and reserves it.
func (p *requestPacer) reserveTurn(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.interval == 0 {
		return now
	}
	if p.nextTurn.Before(now) {
		p.nextTurn = now
	}
	p.nextTurn = p.nextTurn.Add(p.interval)
	if latest := now.Add(maxPause); p.nextTurn.After(latest) {
		p.nextTurn = latest
	}
	return p.nextTurn
}

// pauseIfOverAllowance pauses a connection after an answer, if the node gave it by itself and the connection has used
// up its allowance. The request that comes next counts from its arrival, not from the end of the pause.
func (c *clientConn) pauseIfOverAllowance() {
	if c.forwarded {
		c.forwarded = false
		return
	}
	now := time.Now()
	if c.allowance.take(now) {
		return
	}
	turn := c.conns.pacer.reserveTurn(now)
	if !turn.After(now) {
		return
	}
	c.conns.paused.Add(1)
	for until := time.Until(turn); until > 0 && !c.conns.endsPauses(c); until = time.Until(turn) {
		time.Sleep(min(until, pauseCheckInterval))
	}
	c.noteWaited()
}

// endsPauses reports whether a paused connection must go on at once, because connections are being closed.
func (cs *clientConns) endsPauses(c *clientConn) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.draining || cs.aborted.Load() || c.state.closing()
}

// noteWaited records that the bytes of the next request may have waited unread.
func (c *clientConn) noteWaited() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	_, isTCP := c.Conn.(*tcpConn)
	c.waited = isTCP && c.state.idle()
}
