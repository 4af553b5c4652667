package network

import "bytes"

// ID implements link.Conn.
func (e *end) ID() string { return e.conn.id }

// Write implements link.Conn. What finds no room in the window waits.
func (e *end) Write(b []byte) {
	if e.closed || e.finSent || e.closing || len(b) == 0 {
		return
	}
	e.sendQueue = append(e.sendQueue, bytes.Clone(b))
	e.flush()
}

// CloseWrite implements link.Conn.
func (e *end) CloseWrite() {
	e.closing = true
	e.flush()
}

// Close implements link.Conn. What waits for room leaves at once: a kernel would
// go on sending it.
func (e *end) Close() {
	for e.up && !e.closed && len(e.sendQueue) > 0 {
		e.sendFirst()
	}
	e.closeBoth(len(e.unreadData) > 0)
}

// Reset implements link.Conn.
func (e *end) Reset() { e.abort("aborted") }

// PauseReading implements link.Conn. While it holds, an end waits behind the bytes that
// wait; a reset is heard at once, and takes them along.
func (e *end) PauseReading(held bool) {
	if e.paused == held {
		return
	}
	e.paused = held
	if !held && len(e.unreadData) > 0 {
		e.conn.net.loop.After(0, e.resume)
	}
}

// resume gives out what came while the reading was stopped.
func (e *end) resume() {
	if e.closed || e.paused || len(e.unreadData) == 0 {
		return
	}
	b := e.unreadData
	e.unreadData = nil
	e.handler.Data(e, b)
	e.other().releaseWindow(len(b))
	if e.finPending && !e.closed {
		e.finPending = false
		e.receiveFin()
	}
}

// flush sends what waits, as far as the window has room. A write larger than
// the window goes when that is empty.
func (e *end) flush() {
	if !e.up || e.closed {
		return
	}
	for len(e.sendQueue) > 0 && (e.windowUsed == 0 || e.windowUsed+len(e.sendQueue[0]) <= windowSize) {
		e.sendFirst()
	}
	if e.closing && len(e.sendQueue) == 0 {
		e.endWriting()
	}
}

// sendFirst sends the first that waits.
func (e *end) sendFirst() {
	b := e.sendQueue[0]
	e.sendQueue[0] = nil
	if e.sendQueue = e.sendQueue[1:]; len(e.sendQueue) == 0 {
		e.sendQueue = nil
	}
	e.windowUsed += len(b)
	e.write(b)
}
