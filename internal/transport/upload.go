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
	maxUpload = 32 << 20
	// maxStream is the longest answer that a peer may give; one of several GB is no answer.
	maxStream = 64 << 20
	// streamBuffer holds what is on its way of one long message, each way.
	streamBuffer = 32 << 10
	// slowestRate is how fast a body must come in the mean, in bytes a second: half of what clients are known to need.
	slowestRate = 32 << 10
	// streamStall is how long a peer or a client may leave a long message where it stands.
	streamStall = 30 * time.Second
)

// upload is a body that is too long to be kept: it goes on as it comes, to one
// peer, once. The try reads it; its front waits until that has ended.
type upload struct {
	k      *clientConn
	body   io.Reader
	first  []byte // what was read ahead
	length int64  // of all of it; -1: unknown, it goes on in chunks
	client pace   // of the bytes that have come
	peer   pace   // of those that have left

	mu      sync.Mutex
	begun   bool          // a try reads the body
	over    bool          // none may begin any more
	done    chan struct{} // closed when that try has ended
	refused error         // the client's fault: why the body is not whole; set before done is closed
	read    atomic.Bool   // all of it, from the client
	whole   atomic.Bool   // its last byte has left
	halted  atomic.Bool   // the rest is not wanted: that it does not come is not the client's fault
	until   atomic.Int64  // the peer's answer is waited for, in Unix nanoseconds; 0: not yet
}

// begin lets one try read the body.
func (u *upload) begin() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.begun || u.over {
		return false
	}
	u.begun = true
	return true
}

// end keeps tries from the body from now on, and waits for one that reads it.
func (u *upload) end() error {
	u.mu.Lock()
	u.over = true
	begun := u.begun
	u.mu.Unlock()
	if !begun {
		return nil
	}
	u.halt()
	return u.refused
}

// halt ends what is read of the body, unless all of it is, and waits for that. Nothing is ended behind the body, where
// net/http looks for the client's going already: a peer may answer before the write of the last byte returns here.
func (u *upload) halt() {
	if !u.read.Load() {
		u.halted.Store(true)
		u.k.SetReadDeadline(time.Unix(1, 0))
	}
	<-u.done
	if u.read.Load() {
		u.k.SetReadDeadline(time.Time{}) // net/http looks for the client's going
	}
}

// send sends the head and the body to a peer, and notes the client's fault if it ends early.
func (u *upload) send(ctx context.Context, c *peerConn, head []byte, t routing.Attempt) {
	defer close(u.done)
	defer func() { // guards the node: no one else would catch it here
		if p := recover(); p != nil {
			c.life.log.Error("panic", "in", "upload", "value", fmt.Sprint(p), "stack", string(debug.Stack()))
			c.Interrupt()
		}
	}()
	out := bufio.NewWriterSize(c, streamBuffer+64)
	out.Write(head)
	buf := make([]byte, streamBuffer)
	for part, err := u.first, error(nil); ; {
		if u.client.bytes > maxUpload {
			err = errTooLarge
		}
		u.read.Store(err == io.EOF)
		broke := u.write(c, out, part, err == io.EOF)
		if broke != nil || ctx.Err() != nil && err != io.EOF { // who reads the answer finds out
			c.Interrupt()
			return
		}
		if err == io.EOF {
			u.k.SetReadDeadline(time.Time{})
			u.k.requestRead()
			u.whole.Store(true)
			end := time.Now().Add(t.BodyTimeout)
			u.until.Store(end.UnixNano())
			c.SetReadDeadline(end)
			if ctx.Err() != nil { // the deadline must not undo an interruption
				c.Interrupt()
			}
			t.OnBodySent()
			return
		}
		if err != nil {
			if !u.halted.Load() {
				u.refused = err
			}
			c.life.because("called-off")
			c.Interrupt()
			return
		}
		part, err = u.next(buf)
	}
}

// next waits for the client's next bytes, as long as it keeps its pace.
func (u *upload) next(buf []byte) ([]byte, error) {
	begun := time.Now()
	u.k.SetReadDeadline(begun.Add(u.client.patience(bodyAllowance)))
	if u.halted.Load() { // the deadline must not undo that: what is not wanted is not waited for
		u.k.SetReadDeadline(time.Unix(1, 0))
	}
	n, err := u.body.Read(buf)
	u.client.note(n, begun)
	return buf[:n], err
}

// write writes a part of the body, and its end, as long as the peer takes it at its pace: one silent in the middle would
// hold the call for ever.
func (u *upload) write(c *peerConn, out *bufio.Writer, part []byte, last bool) error {
	begun := time.Now()
	c.SetWriteDeadline(begun.Add(u.peer.patience(streamStall)))
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
	u.peer.note(len(part), begun)
	return err
}

// bodyAllowance is what a body may take beyond its bytes at the slowest rate, with the head's time.
const bodyAllowance = 2700 * time.Millisecond

// pace is how one side of a long message keeps up. Only the time counts in which that side is waited for: a client cannot
// send while the node waits for a peer, nor a peer give what no client takes.
type pace struct {
	bytes  int64
	waited time.Duration // for them
}

// patience is how much longer that side may be waited for: as long as its bytes take at the slowest rate, beyond one
// standstill, and for one at most, whatever has come before. So who trickles is found out.
func (p *pace) patience(stall time.Duration) time.Duration {
	return min(stall+time.Duration(p.bytes)*time.Second/slowestRate-p.waited, stall)
}

// note notes n bytes that were waited for since begun.
func (p *pace) note(n int, begun time.Time) {
	p.bytes += int64(n)
	p.waited += time.Since(begun)
}

// pace lets a request's next bytes come, of whose body, which is read without a pause, n have.
func (k *clientConn) pace(n int64) {
	now := time.Now()
	p := pace{n, now.Sub(k.begun())}
	k.SetReadDeadline(now.Add(p.patience(bodyAllowance)))
}

// begun is when the request's first byte was read.
func (k *clientConn) begun() time.Time {
	k.all.mu.Lock()
	defer k.all.mu.Unlock()
	return k.since
}

// paced reads a body at its pace.
type paced struct {
	r io.Reader
	k *clientConn
	n int64
}

func (p *paced) Read(b []byte) (int, error) {
	if p.n > 0 {
		p.k.pace(p.n)
	}
	n, err := p.r.Read(b)
	p.n += int64(n)
	return n, err
}

// carryUpload brings a call to a peer whose body is still coming.
func (k *UpstreamTransport) carryUpload(ctx context.Context, t routing.Attempt, m *message, c *peerConn) routing.AttemptResult {
	u := m.up
	if !u.begin() {
		k.keep(c)
		return routing.AttemptResult{Result: balancer.NotSent}
	}
	c.up = u
	c.SetDeadline(time.Time{})
	watch := watchEnd(ctx, c)
	head, own := m.compose(t.BodyTimeout)
	go func() {
		u.send(ctx, c, head, t)
		m.wrote(own)
	}()
	res := k.receive(ctx, t, c, watch)
	u.halt()
	if res.Reply == nil && !u.whole.Load() && res.Result != balancer.Rejected { // the last byte never left: it never ran
		if u.refused != nil || ctx.Err() != nil {
			return routing.AttemptResult{Result: balancer.NotSent}
		}
		return routing.AttemptResult{Result: balancer.ConnectFailed}
	}
	return res
}

// deadline is when the answer to a try on a connection is given up, which is
// until, but that a long body's counts from its last byte.
func (c *peerConn) deadline(until time.Time) time.Time {
	if c.up == nil {
		return until
	}
	if at := c.up.until.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{} // its pace is the client's, and watched there
}

// takeBody reads a body, or the first part of one that goes on as it comes.
func (f *Frontend) takeBody(r requestBody) (*message, error) {
	switch {
	case r.length > maxUpload:
		return nil, errTooLarge
	case r.length > protocol.MaxBodyBytes:
		return f.uploading(r, nil), nil
	case r.length >= 0:
		m := newMessage(&f.buffers, r.Method, r.target, r.Host, r.Header, r.length)
		if r.length > 0 {
			return m, m.readBody(r.Body, r.k)
		}
		return m, nil
	}
	body, err := io.ReadAll(io.LimitReader(&paced{r: r.Body, k: r.k}, protocol.MaxBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > protocol.MaxBodyBytes {
		return f.uploading(r, body), nil
	}
	m := newMessage(&f.buffers, r.Method, r.target, r.Host, r.Header, int64(len(body)))
	copy(m.body, body)
	return m, nil
}

func (f *Frontend) uploading(r requestBody, first []byte) *message {
	m := newMessage(&f.buffers, r.Method, r.target, r.Host, r.Header, r.length)
	m.up = &upload{k: r.k, body: r.Body, first: first, length: r.length, done: make(chan struct{}),
		client: pace{int64(len(first)), time.Since(r.k.begun())}}
	return m
}
