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
	// maxRequestBody is the maximum size of a request body, in bytes.
	maxRequestBody = 32 << 20
	// streamBufferSize is the size of the buffer of one long message in each direction, in bytes.
	streamBufferSize = 32 << 10
	// chunkOverhead is the room for the framing of one chunk, in bytes.
	chunkOverhead = 64
)

// expiredDeadline is a deadline in the past, which ends any read or write at once.
var expiredDeadline = time.Unix(1, 0)

// upload is a request body too long to be buffered. It is streamed as it arrives, to one server and only once. The
// attempt that claims it reads it, and the frontend waits until that attempt has ended.
type upload struct {
	conn       *clientConn
	body       io.Reader
	firstPart  []byte // bytes that were read before the upload started
	length     int64  // of the whole body; -1: unknown, and the body is sent in chunks
	clientPace transferPace
	serverPace transferPace

	mu sync.Mutex
	// claimed is true once an attempt reads the body.
	claimed bool
	// closed is true once no attempt may claim the body any more.
	closed bool

	// done is closed when sending the body has ended.
	done chan struct{}
	// clientErr is the error that made the body incomplete, if the client caused it; nil: the client did not. It is set
	// before done is closed.
	clientErr error
	// bodyRead is true once the whole body has been read from the client.
	bodyRead atomic.Bool
	// bodySent is true once the last byte of the body has been written to the server.
	bodySent atomic.Bool
	// stopped is true once the rest of the body is no longer needed. A rest that is missing afterwards does not count as
	// an error of the client.
	stopped atomic.Bool
	// responseDeadline is the deadline of the server's response, in Unix nanoseconds; 0: not yet known.
	responseDeadline atomic.Int64
}

// newUploadMessage returns the message of a request whose body is too long to be buffered. first is the part of the
// body that has already been read.
func (f *Frontend) newUploadMessage(r requestBody, first []byte) *requestMessage {
	m := newMessage(&f.buffers, r.Method, r.target, r.Host, r.Header, r.length)
	m.upload = &upload{
		conn:       r.conn,
		body:       r.Body,
		firstPart:  first,
		length:     r.length,
		done:       make(chan struct{}),
		clientPace: transferPace{bytes: int64(len(first)), waited: time.Since(r.conn.requestStartTime())},
	}
	return m
}

// claim reserves the body for the calling attempt, and reports whether that attempt may read it.
func (u *upload) claim() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.claimed || u.closed {
		return false
	}
	u.claimed = true
	return true
}

// finish prevents further attempts from claiming the body, stops an attempt that reads it, waits for its end, and
// returns the client's error.
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

// stopReading stops reading the body, unless the whole body has been read, and waits for the end of send. It does not
// interrupt reads after the end of the body, since net/http reads there to detect a disconnect. This matters because a
// server may answer before the write of the last byte returns.
func (u *upload) stopReading() {
	if !u.bodyRead.Load() {
		u.stopped.Store(true)
		_ = u.conn.SetReadDeadline(expiredDeadline)
	}
	<-u.done
	if u.bodyRead.Load() {
		_ = u.conn.SetReadDeadline(time.Time{}) // net/http reads to detect a disconnect
	}
}

// send writes the head and the body to a server, in its own goroutine, and sets clientErr if the body ends early
// because of the client.
func (u *upload) send(ctx context.Context, conn *upstreamConn, head []byte, attempt routing.Attempt) {
	defer close(u.done)
	defer conn.recoverUploadPanic()
	out := bufio.NewWriterSize(conn, streamBufferSize+chunkOverhead)
	_, _ = out.Write(head) // the first flush returns the error
	buf := make([]byte, streamBufferSize)
	part := u.firstPart
	var err error
	for {
		if u.clientPace.bytes > maxRequestBody {
			err = errBodyTooLarge
		}
		last := errors.Is(err, io.EOF)
		u.bodyRead.Store(last)
		writeErr := u.writePart(conn, out, part, last)
		switch {
		case writeErr != nil || ctx.Err() != nil && !last: // the goroutine that reads the response reports the failure
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

// finishSending starts the timeout of the response after the last byte of the body has been written.
func (u *upload) finishSending(ctx context.Context, conn *upstreamConn, attempt routing.Attempt) {
	_ = u.conn.SetReadDeadline(time.Time{})
	u.conn.completeRequest()
	u.bodySent.Store(true)
	deadline := time.Now().Add(attempt.BodyTimeout)
	u.responseDeadline.Store(deadline.UnixNano())
	_ = conn.SetDeadline(deadline)
	if ctx.Err() != nil { // the new deadline must not undo an interruption
		conn.Interrupt()
	}
	attempt.OnBodySent()
}

// recoverUploadPanic prevents a panic in the goroutine that sends an upload from ending the process.
func (c *upstreamConn) recoverUploadPanic() {
	if p := recover(); p != nil {
		c.log.log.Error("panic", "in", "upload", "value", fmt.Sprint(p), "stack", string(debug.Stack()))
		c.Interrupt()
	}
}

// readNext waits for the client's next bytes, as long as the client keeps the minimum pace.
func (u *upload) readNext(buf []byte) ([]byte, error) {
	started := time.Now()
	_ = u.conn.SetReadDeadline(started.Add(u.clientPace.timeLeft(bodyStallTimeout)))
	if u.stopped.Load() { // the new deadline must not undo stopReading: the rest of the body is not waited for
		_ = u.conn.SetReadDeadline(expiredDeadline)
	}
	n, err := u.body.Read(buf)
	u.clientPace.add(n, started)
	return buf[:n], err
}

// writePart writes a part of the body, and with last also the end of the body, as long as the server keeps the minimum
// pace. Otherwise a server that stops reading in the middle would hold the call forever. The flush returns the error of
// any write.
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

// exchangeUpload sends a call whose body is still arriving, and waits for the response.
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
	// The last byte was never written, which proves that the server never ran the call.
	if u.clientErr != nil || ctx.Err() != nil {
		return routing.AttemptResult{Result: balancer.NotSent}
	}
	return routing.AttemptResult{Result: balancer.ConnectFailed}
}
