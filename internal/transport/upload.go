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
	// uploadWriterSize is the size of the buffer that joins the head, or the framing of a chunk, with the bytes of a body.
	uploadWriterSize = 4 << 10
)

// expiredDeadline is a deadline in the past, which ends any read or write at once.
var expiredDeadline = time.Unix(1, 0)

// upload is a request body too long to be buffered. It is streamed as it arrives, to one server and only once. The
// attempt that claims it reads it; upload_watch.go reads ahead of that attempt if the client's time is running out.
type upload struct {
	conn       *clientConn
	body       io.Reader
	firstPart  []byte // bytes that were read before the upload started
	length     int64  // of the whole body; -1: unknown, and the body is sent in chunks
	serverPace transferPace
	drain      *drainState // of the frontend

	mu sync.Mutex
	// claimed is true once an attempt reads the body.
	claimed bool
	// closed is true once no attempt may claim the body any more.
	closed bool
	// completing is true once the last byte is being sent, refused once it may not be sent any more, because the process
	// may be killed before the answer. One excludes the other.
	completing bool
	refused    bool
	// server is the connection to which the body is sent; nil until an attempt claims the body.
	server *upstreamConn
	// ahead contains the parts that were read ahead, in the order of the body.
	ahead []bodyPart

	uploadReading

	// done is closed when sending the body has ended.
	done chan struct{}
	// bodyRead is true once the whole body has been read from the client.
	bodyRead atomic.Bool
	// bodySent is true once the last byte of the body has been written to the server.
	bodySent atomic.Bool
	// stopped is true once the rest of the body is no longer needed. A rest that is missing afterwards does not count as
	// an error of the client.
	stopped atomic.Bool
	// sent is the number of bytes of the body that have been written to the server.
	sent atomic.Int64
	// serverStalled is true if the server took no byte for minConclusiveConnectTime before the upload was interrupted.
	serverStalled atomic.Bool
	// responseDeadline is the deadline of the server's response; nil: the body has not been sent yet.
	responseDeadline atomic.Pointer[time.Time]
}

// newUploadMessage returns the message of a request whose body is too long to be buffered. first is the part of the
// body that has already been read.
func (f *Frontend) newUploadMessage(r requestBody, first []byte) (*requestMessage, error) {
	reserved := uploadMemory + int64(len(first))
	if f.buffers.budget.underPressure() {
		f.clients.evictStalled()
	}
	if !f.buffers.budget.reserve(reserved) {
		return nil, errNoMemory
	}
	m := newMessage(&f.buffers, r.Method, r.target, r.Host, r.Header, r.length)
	m.reserved = reserved
	m.upload = &upload{
		conn:          r.conn,
		body:          r.Body,
		firstPart:     first,
		length:        r.length,
		drain:         &f.drain,
		done:          make(chan struct{}),
		uploadReading: newUploadReading(r, int64(len(first)), &f.readAhead, &f.buffers),
	}
	return m, nil
}

// claim reserves the body for the calling attempt, which sends it on conn, and reports whether the attempt may read it.
func (u *upload) claim(conn *upstreamConn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.claimed || u.closed || u.refused {
		return false
	}
	u.claimed = true
	u.server = conn
	return true
}

// finish prevents further attempts from claiming the body, stops the reading of the body, and returns the client's
// error. It does not wait for the server.
func (u *upload) finish() error {
	u.mu.Lock()
	u.closed = true
	claimed := u.claimed
	u.mu.Unlock()
	if claimed {
		u.stopReading()
	} else {
		u.stopReadingAhead()
	}
	u.reading.acquire()
	defer u.reading.release()
	return u.clientErr
}

// send writes the head and the body to a server, in its own goroutine.
func (u *upload) send(ctx context.Context, conn *upstreamConn, head []byte, attempt routing.Attempt) {
	defer close(u.done)
	defer conn.recoverUploadPanic()
	out := bufio.NewWriterSize(conn, uploadWriterSize)
	_, _ = out.Write(head) // the first flush returns the error
	buf := u.buffers.getUpTo(streamBufferSize)
	defer u.buffers.put(buf)
	part := bodyPart{bytes: u.firstPart}
	var err error
	for {
		last := errors.Is(err, io.EOF)
		if u.completes(part, last) && !u.beginCompleting() {
			u.releasePart(part)
			return
		}
		writeErr := u.writePart(conn, out, part.bytes, last)
		u.releasePart(part)
		switch {
		case writeErr != nil || ctx.Err() != nil && !last: // the goroutine that reads the response reports the failure
			conn.Interrupt()
			return
		case last:
			u.finishSending(ctx, conn, attempt)
			return
		case err != nil:
			conn.log.setReason(reasonCancelled)
			conn.Interrupt()
			return
		}
		part, err = u.nextPart(buf.bytes[:min(len(buf.bytes), streamBufferSize)])
	}
}

// completes reports whether a part contains the last byte of the message that the server waits for.
func (u *upload) completes(part bodyPart, last bool) bool {
	if u.length < 0 {
		return last // the end of the chunks
	}
	sent := u.sent.Load()
	return sent < u.length && sent+int64(len(part.bytes)) >= u.length
}

// admitted reports whether the call could be answered if its last byte were sent now. The frontend has admitted the
// call at its head, but its time counts from its last byte.
func (u *upload) admitted() bool {
	startedAt := time.Now()
	if received := u.receivedAt.Load(); received != nil {
		startedAt = *received
	}
	return u.drain.admits(startedAt, u.timeout)
}

// beginCompleting reports whether the last byte may be sent. If not, it ends the call.
func (u *upload) beginCompleting() bool {
	u.refuseIfLate()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.completing = !u.refused
	return u.completing
}

// refuseIfLate ends the call if its last byte has not been sent and it could not be answered any more, and reports
// whether the call has been ended. The missing byte proves that no server has run it.
func (u *upload) refuseIfLate() (refused bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.refused || u.completing || u.admitted() {
		return u.refused
	}
	u.refused = true
	if u.server != nil {
		u.server.log.setReason(reasonNotSent)
		u.server.Interrupt()
	}
	return true
}

// wasRefused reports whether refuseIfLate has ended the call.
func (u *upload) wasRefused() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.refused
}

// finishSending starts the timeout of the response after the last byte of the body has been written. The timeout counts
// from the last byte of the client, which may have arrived long before.
func (u *upload) finishSending(ctx context.Context, conn *upstreamConn, attempt routing.Attempt) {
	u.bodySent.Store(true)
	deadline := u.deadline(attempt.BodyTimeout)
	u.responseDeadline.Store(&deadline)
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
	u.sent.Store(u.serverPace.bytes)
	u.serverStalled.Store(err != nil && time.Since(started) >= minConclusiveConnectTime)
	return err
}

// exchangeUpload sends a call whose body is still arriving, and waits for the response.
func (t *UpstreamTransport) exchangeUpload(ctx context.Context, attempt routing.Attempt, m *requestMessage,
	conn *upstreamConn) routing.AttemptResult {
	u := m.upload
	if !u.claim(conn) {
		t.putConn(conn)
		return routing.AttemptResult{Result: balancer.NotSent}
	}
	conn.upload = u
	_ = conn.SetDeadline(time.Time{})
	watch := watchCancel(ctx, conn)
	head, ownsRoom := m.compose(u.timeLeft(attempt.BodyTimeout))
	go func() {
		u.send(ctx, conn, head, attempt)
		m.releaseRoom(ownsRoom)
	}()
	res := t.receive(ctx, attempt, conn, watch)
	u.stopReading()
	if !u.bodySent.Load() { // the server has answered already or has failed: it is not waited for
		_ = conn.SetWriteDeadline(expiredDeadline)
	}
	<-u.done
	if res.Reply != nil || u.bodySent.Load() || res.Result == balancer.Rejected {
		return res
	}
	return routing.AttemptResult{Result: u.unsentResult(ctx)}
}

// unsentResult returns the result of an attempt that has not sent the last byte of the body, which proves that the
// server never ran the call.
func (u *upload) unsentResult(ctx context.Context) balancer.Result {
	serverLate := errors.Is(context.Cause(ctx), routing.ErrDeadlineExceeded) && u.serverStalled.Load()
	if u.wasRefused() || ctx.Err() != nil && !serverLate || u.failedByClient() {
		return balancer.NotSent
	}
	return balancer.ConnectFailed
}
