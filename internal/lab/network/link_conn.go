package network

import (
	"bytes"

	"olivebridge/internal/lab/link"
)

// ID implements link.Conn.
func (e *end) ID() string { return e.conn.id }

// Write implements link.Conn. It queues the bytes for which the window has no room. The kernel of a client takes them as
// far as its send buffer has room.
func (e *end) Write(b []byte) {
	if e.closed || e.finSent || e.closing || len(b) == 0 {
		return
	}
	b = bytes.Clone(b)
	for e.hasSendBuffer() && len(b) > sendBufferPart {
		e.sendQueue = append(e.sendQueue, b[:sendBufferPart:sendBufferPart])
		b = b[sendBufferPart:]
	}
	e.sendQueue = append(e.sendQueue, b)
	e.flush()
}

// hasSendBuffer reports whether the kernel of this end takes bytes for which the window has no room.
func (e *end) hasSendBuffer() bool { return e.side == 0 && e.conn.net.config.SendBuffer > 0 }

// takeWrites lets the kernel take queued writes as far as its send buffer has room.
func (e *end) takeWrites() {
	for e.hasSendBuffer() && e.taken < len(e.sendQueue) {
		b := e.sendQueue[e.taken]
		if e.takenBytes+len(b) > e.conn.net.config.SendBuffer {
			return
		}
		e.taken++
		e.takenBytes += len(b)
		e.conn.net.observe(link.Sent, e.conn, e.back(), b, "")
	}
}

// CloseWrite implements link.Conn.
func (e *end) CloseWrite() {
	e.closing = true
	e.flush()
}

// Close implements link.Conn. Queued bytes are sent at once, regardless of the window, since a kernel would still
// send them after a close.
func (e *end) Close() {
	for e.up && !e.closed && len(e.sendQueue) > 0 {
		e.sendFirst()
	}
	e.closeBoth(len(e.unreadData) > 0)
}

// Reset implements link.Conn.
func (e *end) Reset() { e.abort("aborted") }

// PauseReading implements link.Conn. While reading is paused, a FIN is queued behind the unread bytes; a reset is
// reported at once and discards them.
func (e *end) PauseReading(paused bool) {
	if e.paused == paused {
		return
	}
	e.paused = paused
	if !paused && len(e.unreadData) > 0 {
		e.conn.net.loop.After(0, e.resume)
	}
}

// resume passes the bytes that arrived during a pause to the handler.
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

// flush sends queued writes as long as the window has room. A write larger than the window is sent once the window is
// empty.
func (e *end) flush() {
	if !e.up || e.closed {
		return
	}
	for len(e.sendQueue) > 0 && (e.windowUsed == 0 || e.windowUsed+len(e.sendQueue[0]) <= e.conn.net.config.Window) {
		e.sendFirst()
	}
	e.takeWrites()
	if e.closing && len(e.sendQueue) == 0 {
		e.endWriting()
	}
}

// sendFirst sends the first queued write.
func (e *end) sendFirst() {
	b := e.sendQueue[0]
	e.sendQueue[0] = nil
	if e.sendQueue = e.sendQueue[1:]; len(e.sendQueue) == 0 {
		e.sendQueue = nil
	}
	e.windowUsed += len(b)
	if e.taken > 0 {
		e.taken--
		e.takenBytes -= len(b)
		e.transmit(b)
		return
	}
	e.write(b)
}
