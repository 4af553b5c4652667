package transport

import (
	"bufio"
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

const (
	// minFairConnectTime is the time after which a connection that is not up counts against its server, though it may take
	// longer by the settings: some round trips over the widest network.
	minFairConnectTime = 100 * time.Millisecond
	// healthCheckConnectTimeouts is how long a health check may take, in connect timeouts.
	healthCheckConnectTimeouts = 4
	// idleTimeoutTenths is the part of the servers' idle timeout after which an idle connection is closed, in tenths: a
	// request that crosses the server's close is reset.
	idleTimeoutTenths = 7
)

// UpstreamConfig is what an UpstreamTransport is made from.
type UpstreamConfig struct {
	// ConnectTimeout is how long a connection may take to come up; 0: none ever does.
	ConnectTimeout time.Duration
	// ServerIdleTimeout is the time after which servers close an idle connection; 0: none is used again.
	ServerIdleTimeout time.Duration
	// DrainGrace is how long after its draining began a server is still sent first bytes; 0: not at all.
	DrainGrace time.Duration
	// MaxConns bounds the connections to all servers together; 0: none is opened.
	MaxConns int
	// Log gets one line for each connection that ends, and for a shortage. Configure does not change it.
	Log *slog.Logger
	// Dial opens connections; nil: TCP. Configure does not change it.
	Dial Dialer
}

// UpstreamTransport sends attempts and health checks to servers over pooled connections. It implements
// routing.Transport, and its methods may be called from any goroutine.
type UpstreamTransport struct {
	config atomic.Pointer[UpstreamConfig]
	pool   *upstreamPool
	// readers are buffered readers: a connection needs one only while it carries an attempt.
	readers sync.Pool
	// buffers are for the responses' bodies.
	buffers bufferPool
}

// NewUpstreamTransport makes an UpstreamTransport.
func NewUpstreamTransport(c UpstreamConfig) *UpstreamTransport {
	t := &UpstreamTransport{
		pool: &upstreamPool{
			reuseDelay: reuseDelay,
			log:        c.Log,
			dial:       c.Dial,
			idle:       map[*routing.Upstream][]*upstreamConn{},
		},
		readers: sync.Pool{New: func() any { return bufio.NewReader(nil) }},
	}
	t.Configure(c)
	return t
}

// Configure changes a transport in use, but for its log and dialer.
func (t *UpstreamTransport) Configure(c UpstreamConfig) {
	t.config.Store(&c)
	t.pool.configure(c.ConnectTimeout, c.ServerIdleTimeout*idleTimeoutTenths/10, c.MaxConns)
}

// Close ends the transport. Idle connections are closed at once, the others with their attempts; no attempt is sent
// any more.
func (t *UpstreamTransport) Close() { t.pool.close() }

// Conns counts the connections to servers, those being opened included.
func (t *UpstreamTransport) Conns() int { return t.pool.count() }

// RoundTrip implements routing.Transport. It blocks until the attempt has ended, or the first part of a long
// response is there.
func (t *UpstreamTransport) RoundTrip(ctx context.Context, attempt routing.Attempt) routing.AttemptResult {
	m, ok := attempt.Payload.(*requestMessage)
	if !ok || !m.retain() { // its frontend has released it: the call is over
		return routing.AttemptResult{Result: balancer.NotSent}
	}
	defer m.release()
	return t.exchange(ctx, attempt, m, true)
}

// CheckHealth implements routing.Transport. It blocks until the health check has ended.
func (t *UpstreamTransport) CheckHealth(ctx context.Context, p *routing.Upstream) balancer.Result {
	timeout := healthCheckConnectTimeouts * t.config.Load().ConnectTimeout
	attempt := routing.Attempt{Upstream: p, ExpiresAt: time.Now().Add(timeout)}
	m := newMessage(&t.buffers, http.MethodGet, protocol.PathHealthCheck, p.Addr, nil, 0)
	r := t.exchange(ctx, attempt, m, false)
	if d, ok := r.Reply.(routing.Releaser); ok {
		d.Release()
	}
	return r.Result
}

// exchange sends one message to a server, at most once, and waits for the response. With withBudget the server is told
// the time left.
func (t *UpstreamTransport) exchange(ctx context.Context, attempt routing.Attempt, m *requestMessage,
	withBudget bool) routing.AttemptResult {
	conn, now, res := t.connect(ctx, &attempt, m)
	if conn == nil {
		return routing.AttemptResult{Result: res}
	}
	if m.upload != nil {
		return t.exchangeUpload(ctx, attempt, m, conn)
	}
	_ = conn.SetDeadline(attempt.ExpiresAt)
	watch := watchCancel(ctx, conn)
	var budget time.Duration
	if withBudget {
		budget = max(attempt.ExpiresAt.Sub(now), 1)
	}
	request, ownsRoom := m.compose(budget)
	n, _ := conn.Write(request) // how much was written tells more than the error
	m.releaseRoom(ownsRoom)
	if n < len(request) {
		watch.stop()
		return conn.notWritten(cancelCause(ctx, attempt.ExpiresAt, time.Now()))
	}
	return t.receive(ctx, attempt, conn, watch)
}

// connect returns a connection on which an attempt may begin, and when that was found; or nil, and what the attempt
// ended with. An attempt whose call is over by the time that its connection is up is never sent: a hedged request
// may find that the first one has been answered, a retry that the window of its class is over.
func (t *UpstreamTransport) connect(ctx context.Context, attempt *routing.Attempt,
	m *requestMessage) (*upstreamConn, time.Time, balancer.Result) {
	fair := time.Until(attempt.ExpiresAt) >= minFairConnectTime
	conn, err := t.pool.get(ctx, attempt.Upstream, attempt.ExpiresAt)
	stands := err != nil || attempt.StillValid(time.Now())
	now := time.Now() // StillValid may have waited for the goroutine of Router.Run
	cause := cancelCause(ctx, attempt.ExpiresAt, now)
	switch {
	case err != nil && (ctx.Err() != nil || cause != nil && !fair || t.pool.noteLocalShortage(err, now)):
		return nil, now, balancer.NotSent // the server has no part in it
	case err != nil:
		return nil, now, balancer.ConnectFailed
	case cause != nil || !stands || !attempt.MayStart(now) || m.clientLeft(attempt.Number, now):
		t.pool.put(conn)
		return nil, now, balancer.NotSent
	case !attempt.Upstream.MaySend(now, t.config.Load().DrainGrace):
		conn.closeFor(reasonNotSent)
		return nil, now, balancer.NotSent
	}
	return conn, now, balancer.OK
}

// receive reads the response to an attempt, or the first part of a long one.
func (t *UpstreamTransport) receive(ctx context.Context, attempt routing.Attempt, conn *upstreamConn,
	watch cancelWatch) routing.AttemptResult {
	reader := t.readers.Get().(*bufio.Reader)
	reader.Reset(conn)
	r, err := readResponse(conn, reader, &t.buffers, attempt.ExpiresAt)
	undisturbed := watch.stop()
	result := protocol.ClassifyResponse(r.status, r.values(protocol.HeaderRejected))
	if err == nil && r.stream != nil && result == balancer.OK && undisturbed {
		r.stream.transport = t
		r.stream.closeAfter = r.closeAfter
		streamed := &response{fields: r.endToEnd(), body: r.body, stream: r.stream}
		return routing.AttemptResult{Result: balancer.OK, Reply: streamed}
	}
	surplus := reader.Buffered() > 0
	reader.Reset(nil)
	t.readers.Put(reader)
	switch {
	case err != nil:
		cause := cancelCause(ctx, conn.responseDeadline(attempt.ExpiresAt), time.Now())
		return routing.AttemptResult{Result: conn.failureResult(err, cause)}
	case r.stream != nil && result == balancer.OK:
		conn.closeFor(reasonCancelled)
		return routing.AttemptResult{Result: balancer.Cancelled}
	case r.stream != nil: // nobody reads the rest of a failure
		conn.closeFor(reasonOversize)
	case surplus: // guards the next call: it may be taken for its response
		conn.closeFor(reasonExtraBytes)
	case r.closeAfter:
		conn.closeFor(reasonServerAsked)
	case !undisturbed:
		conn.closeFor(reasonCancelled)
	default:
		t.putConn(conn)
	}
	p := &response{fields: r.endToEnd(), body: r.body, buf: r.buf}
	if result != balancer.OK {
		p.freeBuffer()
		return routing.AttemptResult{Result: result}
	}
	return routing.AttemptResult{Result: balancer.OK, Reply: p}
}

// putConn puts a connection back that carries nothing, unless its request is still being sent.
func (t *UpstreamTransport) putConn(c *upstreamConn) {
	if c.upload != nil && !c.upload.bodySent.Load() {
		c.closeFor(reasonServerAsked) // by answering early
		return
	}
	c.upload = nil
	t.pool.put(c)
}

// notWritten closes a connection on which the last byte of a request was never written, which proves that the
// server never ran it. cause is why the attempt was given up; nil: it was not.
func (c *upstreamConn) notWritten(cause error) routing.AttemptResult {
	c.closeFor(cancelReason(cause, reasonReset))
	if cause != nil {
		return routing.AttemptResult{Result: balancer.NotSent}
	}
	return routing.AttemptResult{Result: balancer.ConnectFailed}
}
