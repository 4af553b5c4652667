package network

import "bytes"

// ID implements link.Conn.
func (e *end) ID() string { return e.c.id }

// Write implements link.Conn. What finds no room in the window waits.
func (e *end) Write(b []byte) {
	if e.gone || e.over || e.closing || len(b) == 0 {
		return
	}
	e.outbox = append(e.outbox, bytes.Clone(b))
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
	for e.up && !e.gone && len(e.outbox) > 0 {
		e.leaveOutbox()
	}
	e.shut(len(e.waiting) > 0)
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
	if !held && len(e.waiting) > 0 {
		e.c.n.loop.After(0, e.resume)
	}
}

// resume gives out what came while the reading was stopped.
func (e *end) resume() {
	if e.gone || e.paused || len(e.waiting) == 0 {
		return
	}
	b := e.waiting
	e.waiting = nil
	e.handler.Data(e, b)
	e.other().credit(len(b))
	if e.ended && !e.gone {
		e.ended = false
		e.heardEnd()
	}
}

// flush sends what waits, as far as the window has room. A write larger than
// the window goes when that is empty.
func (e *end) flush() {
	if !e.up || e.gone {
		return
	}
	for len(e.outbox) > 0 && (e.used == 0 || e.used+len(e.outbox[0]) <= window) {
		e.leaveOutbox()
	}
	if e.closing && len(e.outbox) == 0 {
		e.endWriting()
	}
}

// leaveOutbox sends the first that waits.
func (e *end) leaveOutbox() {
	b := e.outbox[0]
	e.outbox[0] = nil
	if e.outbox = e.outbox[1:]; len(e.outbox) == 0 {
		e.outbox = nil
	}
	e.used += len(b)
	e.write(b)
}
