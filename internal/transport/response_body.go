package transport

import (
	"bufio"
	"errors"
	"io"
	"os"
	"time"

	"olivebridge/internal/protocol"
)

const (
	// firstPartWait is the duration for which the first part of a response of unknown length waits for the rest. Most
	// responses are complete within it, and an attempt whose malformed response is found before anything was sent to the
	// client can be retried.
	firstPartWait = 20 * time.Millisecond
	// firstPartMargin is the time before the end of an attempt at which the first part is passed on, whatever the rest.
	firstPartMargin = 2 * time.Millisecond
)

// responseBody is the body of a response, without its framing.
type responseBody interface {
	io.Reader
	// ready reports whether Read returns without waiting. Bytes of the framing alone do not make a body ready.
	ready() bool
	// await waits for a further byte of the body or of its framing. An expired deadline loses no bytes.
	await() error
}

// plainBody is a body without framing, which ends by its length or with the connection.
type plainBody struct{ *bufio.Reader }

// ready implements responseBody.
func (b plainBody) ready() bool { return b.Buffered() > 0 }

// await implements responseBody.
func (b plainBody) await() error {
	_, err := b.Peek(1)
	return err
}

// readFirstPart reads the first part of a body of unknown length: what is short and arrives soon, and has room in
// memory. complete is true if this is the whole body.
func (g *growingBuffer) readFirstPart(conn *upstreamConn, body responseBody,
	deadline time.Time) (complete bool, err error) {
	waitEnd := conn.firstPartEnd(deadline)
	for len(g.bytes) <= protocol.MaxBufferedBody {
		if !conn.awaitBody(body, waitEnd) || !g.grow() {
			return false, nil
		}
		err := g.readFrom(body)
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// firstPartEnd returns the time until which the first part of a response that has begun now is collected.
func (c *upstreamConn) firstPartEnd(deadline time.Time) time.Time {
	waitEnd := time.Now().Add(firstPartWait)
	end := c.responseDeadline(deadline)
	if end.IsZero() || waitEnd.Before(end.Add(-firstPartMargin)) {
		return waitEnd
	}
	return end.Add(-firstPartMargin)
}

// awaitBody waits until waitEnd for a body. It reports whether a read of it returns without waiting: with bytes, the
// end or an error. An attempt that is cancelled meanwhile waits no longer: its first part may still be needed.
func (c *upstreamConn) awaitBody(body responseBody, waitEnd time.Time) bool {
	if body.ready() {
		return true
	}
	_ = c.SetReadDeadline(waitEnd)
	for !body.ready() {
		err := body.await()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.readErr = nil // the expired deadline lost no bytes
			return false
		}
		if err != nil {
			return true
		}
	}
	return true
}

// collect reads the rest of a response of unknown length, as long as it has at most limit bytes and arrives before the
// end of the call's time. What it has read is passed on in any case.
func (p *response) collect(limit int) {
	s := p.stream
	if s == nil || s.length >= 0 || s.deadline.IsZero() {
		return
	}
	g := growingBuffer{pool: &s.transport.buffers, buffer: p.buf, bytes: p.body}
	waitEnd := s.deadline.Add(-firstPartWait)
	for len(g.bytes) <= limit && s.conn.awaitBody(s.body, waitEnd) && g.grow() {
		err := g.readFrom(s.body)
		if errors.Is(err, io.EOF) {
			s.finish(reasonNone)
			p.stream = nil
		}
		if err != nil { // a later read returns it again
			break
		}
	}
	s.remaining -= int64(len(g.bytes) - len(p.body))
	p.buf = g.buffer
	p.body = g.bytes
}
