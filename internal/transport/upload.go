package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/routing"
)

const (
	// maxRequestBody is the longest body that a client may send, in bytes.
	maxRequestBody = 32 << 20
	// streamBufferSize holds what is on its way of one long message, each way, in bytes.
	streamBufferSize = 32 << 10
	// chunkOverhead is room for the framing of one chunk.
	chunkOverhead = 64
)

// expiredDeadline is a deadline that ends any read or write at once.
var expiredDeadline = time.Unix(1, 0)

// upload is a body too long to be buffered: it is streamed as it comes, to one server, once. The attempt that
// claims it reads it; the frontend waits until that has ended.
type upload struct {
	conn       *clientConn
	body       io.Reader
	first      []byte // what was read ahead
	length     int64  // of the whole body; -1: unknown, it is sent in chunks
	clientPace transferPace
	serverPace transferPace

	mu sync.Mutex
	// claimed: an attempt reads the body.
	claimed bool
	// closed: no attempt may claim it any more.
	closed bool

	// done is closed when that attempt has ended.
	done chan struct{}
	// clientErr is why the body is incomplete by the client's fault; nil: it is not. It is set before done is closed.
	clientErr error
	// bodyRead: all of it has been read from the client.
	bodyRead atomic.Bool
	// bodySent: its last byte has been written.
	bodySent atomic.Bool
	// stopped: the rest is not wanted. That it does not come is not the client's fault.
	stopped atomic.Bool
	// responseUntil is when the server's response is given up, in Unix nanoseconds; 0: not yet known.
	responseUntil atomic.Int64
}

// newUploadMessage makes the message of a request whose body is too long to be buffered, and of which the first
// part may have been read.
func (f *Frontend) newUploadMessage(r requestBody, first []byte) *requestMessage {
	m := newMessage(&f.buffers, r.Method, r.target, r.Host, r.Header, r.length)
	m.upload = &upload{
		conn:       r.conn,
		body:       r.Body,
		first:      first,
		length:     r.length,
		done:       make(chan struct{}),
		clientPace: transferPace{bytes: int64(len(first)), waited: time.Since(r.conn.requestStartTime())},
	}
	return m
}

// claim lets one attempt read the body, and reports whether it is this one.
func (u *upload) claim() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.claimed || u.closed {
		return false
	}
	u.claimed = true
	return true
}

// finish keeps attempts from claiming the body from now on, waits for one that reads it, and returns the client's
// error.
func (u *upload) finish() error {
	u.mu.Lock()
	u.closed = true
	claimed := u.claimed
	u.mu.Unlock()
	if !claimed {
		return nil
	}
	u.stopReading()
	return u.clientErr
}

// stopReading ends the reading of the body, unless all of it has been read, and waits for that. Behind the body no
// read is ended, since net/http watches for a disconnect there: a server may answer before the write of the last
// byte returns here.
func (u *upload) stopReading() {
	if !u.bodyRead.Load() {
		u.stopped.Store(true)
		_ = u.conn.SetReadDeadline(expiredDeadline)
	}
	<-u.done
	if u.bodyRead.Load() {
		_ = u.conn.SetReadDeadline(time.Time{}) // net/http watches for a disconnect
	}
}

// send writes the head and the body to a server, from a goroutine of its own, and notes the client's error if the
// body ends early.
func (u *upload) send(ctx context.Context, conn *upstreamConn, head []byte, attempt routing.Attempt) {
	defer close(u.done)
	defer conn.recoverUploadPanic()
	out := bufio.NewWriterSize(conn, streamBufferSize+chunkOverhead)
	_, _ = out.Write(head) // the first flush returns the error
	buf := make([]byte, streamBufferSize)
	part := u.first
	var err error
	for {
		if u.clientPace.bytes > maxRequestBody {
			err = errBodyTooLarge
		}
		last := errors.Is(err, io.EOF)
		u.bodyRead.Store(last)
		writeErr := u.writePart(conn, out, part, last)
		switch {
		case writeErr != nil || ctx.Err() != nil && !last: // who reads the response finds out
			conn.Interrupt()
			return
		case last:
			u.finishSending(ctx, conn, attempt)
			return
		case err != nil:
			if !u.stopped.Load() {
				u.clientErr = err
			}
			conn.log.setReason(reasonCancelled)
			conn.Interrupt()
			return
		}
		part, err = u.readNext(buf)
	}
}

// finishSending starts the wait for the response, once the last byte of the body has been written.
func (u *upload) finishSending(ctx context.Context, conn *upstreamConn, attempt routing.Attempt) {
	_ = u.conn.SetReadDeadline(time.Time{})
	u.conn.completeRequest()
	u.bodySent.Store(true)
	until := time.Now().Add(attempt.BodyTimeout)
	u.responseUntil.Store(until.UnixNano())
	_ = conn.SetDeadline(until)
	if ctx.Err() != nil { // the deadline must not undo an interruption
		conn.Interrupt()
	}
	attempt.OnBodySent()
}

// recoverUploadPanic keeps a panic in the goroutine that sends an upload from ending the node.
func (c *upstreamConn) recoverUploadPanic() {
	if p := recover(); p != nil {
		c.log.log.Error("panic", "in", "upload", "value", fmt.Sprint(p), "stack", string(debug.Stack()))
		c.Interrupt()
	}
}

// readNext waits for the client's next bytes, as long as it keeps its pace.
func (u *upload) readNext(buf []byte) ([]byte, error) {
	started := time.Now()
	_ = u.conn.SetReadDeadline(started.Add(u.clientPace.timeLeft(bodyStallTimeout)))
	if u.stopped.Load() { // the deadline must not undo that: what is not wanted is not waited for
		_ = u.conn.SetReadDeadline(expiredDeadline)
	}
	n, err := u.body.Read(buf)
	u.clientPace.add(n, started)
	return buf[:n], err
}

// writePart writes a part of the body, and its end, as long as the server takes it at its pace: one that is silent
// in the middle would hold the call for ever. The flush returns the error of any write.
func (u *upload) writePart(conn *upstreamConn, out *bufio.Writer, part []byte, last bool) error {
	started := time.Now()
	_ = conn.SetWriteDeadline(started.Add(u.serverPace.timeLeft(streamStallTimeout)))
	switch {
	case u.length >= 0:
		_, _ = out.Write(part)
	case len(part) > 0:
		_, _ = fmt.Fprintf(out, "%x\r\n", len(part))
		_, _ = out.Write(part)
		_, _ = out.WriteString("\r\n")
	}
	if last && u.length < 0 {
		_, _ = out.WriteString("0\r\n\r\n")
	}
	err := out.Flush()
	u.serverPace.add(len(part), started)
	return err
}

// exchangeUpload sends a call to a server whose body is still coming, and waits for the response.
func (t *UpstreamTransport) exchangeUpload(ctx context.Context, attempt routing.Attempt, m *requestMessage,
	conn *upstreamConn) routing.AttemptResult {
	u := m.upload
	if !u.claim() {
		t.putConn(conn)
		return routing.AttemptResult{Result: balancer.NotSent}
	}
	conn.upload = u
	_ = conn.SetDeadline(time.Time{})
	watch := watchCancel(ctx, conn)
	head, ownsRoom := m.compose(attempt.BodyTimeout)
	go func() {
		u.send(ctx, conn, head, attempt)
		m.releaseRoom(ownsRoom)
	}()
	res := t.receive(ctx, attempt, conn, watch)
	u.stopReading()
	if res.Reply != nil || u.bodySent.Load() || res.Result == balancer.Rejected {
		return res
	}
	// The last byte was never written, which proves that the server never ran it.
	if u.clientErr != nil || ctx.Err() != nil {
		return routing.AttemptResult{Result: balancer.NotSent}
	}
	return routing.AttemptResult{Result: balancer.ConnectFailed}
}
