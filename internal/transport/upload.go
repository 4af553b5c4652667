package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

const (
	// maxUpload is the longest body that a client may send.
	maxRequestBody = 32 << 20
	// maxStream is the longest answer that a peer may give; one of several GB is no answer.
	maxResponseBody = 64 << 20
	// streamBuffer holds what is on its way of one long message, each way.
	streamBuffer = 32 << 10
	// slowestRate is how fast a body must come in the mean, in bytes a second: half of what clients are known to need.
	minBodyRate = 32 << 10
	// streamStall is how long a peer or a client may leave a long message where it stands.
	streamStallTimeout = 30 * time.Second
)

// upload is a body that is too long to be kept: it goes on as it comes, to one
// peer, once. The try reads it; its front waits until that has ended.
type upload struct {
	conn         *clientConn
	body         io.Reader
	first        []byte       // what was read ahead
	length       int64        // of all of it; -1: unknown, it goes on in chunks
	clientPace   transferPace // of the bytes that have come
	upstreamPace transferPace // of those that have left

	mu            sync.Mutex
	claimed       bool          // a try reads the body
	closed        bool          // none may begin any more
	done          chan struct{} // closed when that try has ended
	clientErr     error         // the client's fault: why the body is not whole; set before done is closed
	bodyRead      atomic.Bool   // all of it, from the client
	bodySent      atomic.Bool   // its last byte has left
	stopped       atomic.Bool   // the rest is not wanted: that it does not come is not the client's fault
	responseUntil atomic.Int64  // the peer's answer is waited for, in Unix nanoseconds; 0: not yet
}

// begin lets one try read the body.
func (u *upload) claim() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.claimed || u.closed {
		return false
	}
	u.claimed = true
	return true
}

// end keeps tries from the body from now on, and waits for one that reads it.
func (u *upload) finish() error {
	u.mu.Lock()
	u.closed = true
	begun := u.claimed
	u.mu.Unlock()
	if !begun {
		return nil
	}
	u.stopReading()
	return u.clientErr
}

// halt ends what is read of the body, unless all of it is, and waits for that. Nothing is ended behind the body, where
// net/http looks for the client's going already: a peer may answer before the write of the last byte returns here.
func (u *upload) stopReading() {
	if !u.bodyRead.Load() {
		u.stopped.Store(true)
		u.conn.SetReadDeadline(time.Unix(1, 0))
	}
	<-u.done
	if u.bodyRead.Load() {
		u.conn.SetReadDeadline(time.Time{}) // net/http looks for the client's going
	}
}

// send sends the head and the body to a peer, and notes the client's fault if it ends early.
func (u *upload) send(ctx context.Context, c *upstreamConn, head []byte, t routing.Try) {
	defer close(u.done)
	defer func() { // guards the node: no one else would catch it here
		if p := recover(); p != nil {
			c.log.log.Error("panic", "in", "upload", "value", fmt.Sprint(p), "stack", string(debug.Stack()))
			c.Interrupt()
		}
	}()
	out := bufio.NewWriterSize(c, streamBuffer+64)
	out.Write(head)
	buf := make([]byte, streamBuffer)
	for part, err := u.first, error(nil); ; {
		if u.clientPace.bytes > maxRequestBody {
			err = errTooLarge
		}
		u.bodyRead.Store(err == io.EOF)
		broke := u.writePart(c, out, part, err == io.EOF)
		if broke != nil || ctx.Err() != nil && err != io.EOF { // who reads the answer finds out
			c.Interrupt()
			return
		}
		if err == io.EOF {
			u.conn.SetReadDeadline(time.Time{})
			u.conn.completeRequest()
			u.bodySent.Store(true)
			end := time.Now().Add(t.Budget)
			u.responseUntil.Store(end.UnixNano())
			c.SetReadDeadline(end)
			if ctx.Err() != nil { // the deadline must not undo an interruption
				c.Interrupt()
			}
			t.Written()
			return
		}
		if err != nil {
			if !u.stopped.Load() {
				u.clientErr = err
			}
			c.log.setReason("called-off")
			c.Interrupt()
			return
		}
		part, err = u.readNext(buf)
	}
}

// next waits for the client's next bytes, as long as it keeps its pace.
func (u *upload) readNext(buf []byte) ([]byte, error) {
	begun := time.Now()
	u.conn.SetReadDeadline(begun.Add(u.clientPace.timeLeft(bodyStallTimeout)))
	if u.stopped.Load() { // the deadline must not undo that: what is not wanted is not waited for
		u.conn.SetReadDeadline(time.Unix(1, 0))
	}
	n, err := u.body.Read(buf)
	u.clientPace.add(n, begun)
	return buf[:n], err
}

// write writes a part of the body, and its end, as long as the peer takes it at its pace: one silent in the middle would
// hold the call for ever.
func (u *upload) writePart(c *upstreamConn, out *bufio.Writer, part []byte, last bool) error {
	begun := time.Now()
	c.SetWriteDeadline(begun.Add(u.upstreamPace.timeLeft(streamStallTimeout)))
	switch {
	case u.length >= 0:
		out.Write(part)
	case len(part) > 0:
		fmt.Fprintf(out, "%x\r\n", len(part))
		out.Write(part)
		out.WriteString("\r\n")
	}
	if last && u.length < 0 {
		out.WriteString("0\r\n\r\n")
	}
	err := out.Flush()
	u.upstreamPace.add(len(part), begun)
	return err
}

// bodyAllowance is what a body may take beyond its bytes at the slowest rate, with the head's time.
const bodyStallTimeout = 2700 * time.Millisecond

// pace is how one side of a long message keeps up. Only the time counts in which that side is waited for: a client cannot
// send while the node waits for a peer, nor a peer give what no client takes.
type transferPace struct {
	bytes  int64
	waited time.Duration // for them
}

// patience is how much longer that side may be waited for: as long as its bytes take at the slowest rate, beyond one
// standstill, and for one at most, whatever has come before. So who trickles is found out.
func (p *transferPace) timeLeft(stall time.Duration) time.Duration {
	return min(stall+time.Duration(p.bytes)*time.Second/minBodyRate-p.waited, stall)
}

// note notes n bytes that were waited for since begun.
func (p *transferPace) add(n int, begun time.Time) {
	p.bytes += int64(n)
	p.waited += time.Since(begun)
}

// pace lets a request's next bytes come, of whose body, which is read without a pause, n have.
func (k *clientConn) allowNextBytes(n int64) {
	now := time.Now()
	p := transferPace{n, now.Sub(k.requestStarted())}
	k.SetReadDeadline(now.Add(p.timeLeft(bodyStallTimeout)))
}

// begun is when the request's first byte was read.
func (k *clientConn) requestStarted() time.Time {
	k.conns.mu.Lock()
	defer k.conns.mu.Unlock()
	return k.requestStart
}

// paced reads a body at its pace.
type pacedReader struct {
	r         io.Reader
	conn      *clientConn
	bytesRead int64
}

func (p *pacedReader) Read(b []byte) (int, error) {
	if p.bytesRead > 0 {
		p.conn.allowNextBytes(p.bytesRead)
	}
	n, err := p.r.Read(b)
	p.bytesRead += int64(n)
	return n, err
}

// carryUpload brings a call to a peer whose body is still coming.
func (k *UpstreamTransport) exchangeUpload(ctx context.Context, t routing.Try, m *requestMessage, c *upstreamConn) routing.TryResult {
	u := m.upload
	if !u.claim() {
		k.putConn(c)
		return routing.TryResult{Result: balancer.NotSent}
	}
	c.upload = u
	c.SetDeadline(time.Time{})
	watch := watchCancel(ctx, c)
	head, own := m.compose(t.Budget)
	go func() {
		u.send(ctx, c, head, t)
		m.releaseRoom(own)
	}()
	res := k.receive(ctx, t, c, watch)
	u.stopReading()
	if res.Reply == nil && !u.bodySent.Load() && res.Result != balancer.Rejected { // the last byte never left: it never ran
		if u.clientErr != nil || ctx.Err() != nil {
			return routing.TryResult{Result: balancer.NotSent}
		}
		return routing.TryResult{Result: balancer.ConnectFailed}
	}
	return res
}

// deadline is when the answer to a try on a connection is given up, which is
// until, but that a long body's counts from its last byte.
func (c *upstreamConn) responseDeadline(until time.Time) time.Time {
	if c.upload == nil {
		return until
	}
	if at := c.upload.responseUntil.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{} // its pace is the client's, and watched there
}

// takeBody reads a body, or the first part of one that goes on as it comes.
func (f *Frontend) readMessage(r requestBody) (*requestMessage, error) {
	switch {
	case r.length > maxRequestBody:
		return nil, errTooLarge
	case r.length > protocol.MaxBody:
		return f.newUploadMessage(r, nil), nil
	case r.length >= 0:
		m := newMessage(&f.buffers, r.Method, r.target, r.Host, r.Header, r.length)
		if r.length > 0 {
			return m, m.readBody(r.Body, r.conn)
		}
		return m, nil
	}
	body, err := io.ReadAll(io.LimitReader(&pacedReader{r: r.Body, conn: r.conn}, protocol.MaxBody+1))
	if err != nil {
		return nil, err
	}
	if len(body) > protocol.MaxBody {
		return f.newUploadMessage(r, body), nil
	}
	m := newMessage(&f.buffers, r.Method, r.target, r.Host, r.Header, int64(len(body)))
	copy(m.body, body)
	return m, nil
}

func (f *Frontend) newUploadMessage(r requestBody, first []byte) *requestMessage {
	m := newMessage(&f.buffers, r.Method, r.target, r.Host, r.Header, r.length)
	m.upload = &upload{conn: r.conn, body: r.Body, first: first, length: r.length, done: make(chan struct{}),
		clientPace: transferPace{int64(len(first)), time.Since(r.conn.requestStarted())}}
	return m
}
