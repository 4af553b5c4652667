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
	// minConclusiveConnectTime is the minimum duration after which a connect attempt that the call's deadline ends counts
	// as a failure of the server, even if ConnectTimeout is longer. It covers some round trips over the network with the
	// highest latency.
	minConclusiveConnectTime = 100 * time.Millisecond
	// healthCheckConnectTimeouts is the time limit of a health check, as a multiple of ConnectTimeout.
	healthCheckConnectTimeouts = 4
	// idleTimeoutTenths is the fraction of ServerIdleTimeout, in tenths, after which an idle connection is closed. A
	// request sent while the server closes the connection would be reset.
	idleTimeoutTenths = 7
)

// UpstreamConfig configures an UpstreamTransport.
type UpstreamConfig struct {
	// ConnectTimeout limits the time to open a connection; 0: no connection can be opened.
	ConnectTimeout time.Duration
	// ServerIdleTimeout is the duration after which servers close an idle connection; 0: no connection is reused.
	ServerIdleTimeout time.Duration
	// DrainGrace is the grace period of a draining server, during which attempts may still be sent to it: see
	// routing.Upstream.MaySend. 0: no attempt is sent to it.
	DrainGrace time.Duration
	// MaxConns limits the number of connections to all servers together; 0: none is opened.
	MaxConns int
	// Log receives one line for each connection that ends, and lines about local shortages. Configure does not change it.
	Log *slog.Logger
	// Memory bounds the memory for responses; nil: it is not bounded. Configure does not change it.
	Memory *MemoryBudget
	// Dial opens connections; nil: TCP. Configure does not change it.
	Dial Dialer
}

// UpstreamTransport sends attempts and health checks to servers over pooled connections. It implements
// routing.Transport. Its methods are safe for concurrent use.
type UpstreamTransport struct {
	config atomic.Pointer[UpstreamConfig]
	pool   *upstreamPool
	// readers holds *bufio.Reader values. A connection needs a reader only while it carries an attempt.
	readers sync.Pool
	// buffers holds the buffers of response bodies.
	buffers bufferPool
}

// NewUpstreamTransport returns an UpstreamTransport with the configuration c.
func NewUpstreamTransport(c UpstreamConfig) *UpstreamTransport {
	t := &UpstreamTransport{
		pool: &upstreamPool{
			reuseDelay: reuseDelay,
			log:        c.Log,
			dial:       c.Dial,
			idle:       map[*routing.Upstream][]*upstreamConn{},
		},
		readers: sync.Pool{New: func() any { return bufio.NewReader(nil) }},
		buffers: bufferPool{budget: c.Memory},
	}
	t.Configure(c)
	return t
}

// Configure replaces the configuration of a transport in use, except for Log and Dial.
func (t *UpstreamTransport) Configure(c UpstreamConfig) {
	t.config.Store(&c)
	t.pool.configure(c.ConnectTimeout, c.ServerIdleTimeout*idleTimeoutTenths/10, c.MaxConns)
}

// Close closes idle connections at once, and the others when their attempts end. No attempt is sent afterwards.
func (t *UpstreamTransport) Close() { t.pool.close() }

// Conns returns the number of connections to servers, including those being opened.
func (t *UpstreamTransport) Conns() int { return t.pool.count() }

// RoundTrip implements routing.Transport. It blocks until the attempt has ended or the first part of a long response
// has been read.
func (t *UpstreamTransport) RoundTrip(ctx context.Context, attempt routing.Attempt) routing.AttemptResult {
	m, ok := attempt.Payload.(*requestMessage)
	if !ok || !m.retain() { // the frontend has released the message: the call is over
		return routing.AttemptResult{Result: balancer.NotSent}
	}
	defer m.release()
	return t.exchange(ctx, attempt, m, true)
}

// CheckHealth implements routing.Transport. It blocks until the health check has ended.
func (t *UpstreamTransport) CheckHealth(ctx context.Context, server *routing.Upstream) balancer.Result {
	timeout := healthCheckConnectTimeouts * t.config.Load().ConnectTimeout
	attempt := routing.Attempt{Upstream: server, ExpiresAt: time.Now().Add(timeout)}
	m := newMessage(&t.buffers, http.MethodGet, protocol.PathHealthCheck, server.Addr, nil, 0)
	r := t.exchange(ctx, attempt, m, false)
	if d, ok := r.Reply.(routing.Releaser); ok {
		d.Release()
	}
	return r.Result
}

// exchange sends one message to a server at most once and waits for the response. withBudget adds the header with the
// time left.
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
	n, _ := conn.Write(request) // the number of bytes written is more conclusive than the error
	m.releaseRoom(ownsRoom)
	if n < len(request) {
		watch.stop()
		return conn.notWritten(cancelCause(ctx, attempt.ExpiresAt, time.Now()))
	}
	return t.receive(ctx, attempt, conn, watch)
}

// connect returns a connection for an attempt and the time of its last check, or a nil connection and the result of the
// attempt. An attempt whose call is over when the connection is established is never sent: the call of a hedged request
// may have been answered, or the deduplication window of a retry's class may be over.
func (t *UpstreamTransport) connect(ctx context.Context, attempt *routing.Attempt,
	m *requestMessage) (*upstreamConn, time.Time, balancer.Result) {
	conclusive := time.Until(attempt.ExpiresAt) >= minConclusiveConnectTime
	conn, err := t.pool.get(ctx, attempt.Upstream, attempt.ExpiresAt)
	stillValid := err != nil || attempt.StillValid(time.Now())
	now := time.Now() // StillValid may have waited for the goroutine of Router.Run
	cause := cancelCause(ctx, attempt.ExpiresAt, now)
	switch {
	case err != nil && (ctx.Err() != nil || cause != nil && !conclusive || t.pool.logLocalShortage(err, now)):
		return nil, now, balancer.NotSent // not a failure of the server
	case err != nil:
		return nil, now, balancer.ConnectFailed
	case cause != nil || !stillValid || !attempt.MayStart(now) || m.clientLeft(attempt.Number, now):
		t.pool.put(conn)
		return nil, now, balancer.NotSent
	case !attempt.Upstream.MaySend(now, t.config.Load().DrainGrace):
		conn.closeFor(reasonNotSent)
		return nil, now, balancer.NotSent
	}
	return conn, now, balancer.OK
}

// receive reads the response to an attempt, or the first part of a long response.
func (t *UpstreamTransport) receive(ctx context.Context, attempt routing.Attempt, conn *upstreamConn,
	watch cancelWatch) routing.AttemptResult {
	reader := t.readers.Get().(*bufio.Reader)
	reader.Reset(conn)
	r, err := readResponse(conn, reader, &t.buffers, attempt.ExpiresAt)
	notCancelled := watch.stop()
	result := protocol.ClassifyResponse(r.status, r.values(protocol.HeaderRejected))
	wanted := notCancelled || attempt.CallDone != nil && !attempt.CallDone.Load() // overtaken, but the first to answer
	if err == nil && r.stream != nil && result == balancer.OK && wanted {
		r.stream.transport = t
		r.stream.closeAfter = r.closeAfter
		r.stream.deadline = conn.responseDeadline(attempt.ExpiresAt)
		streamed := &response{fields: r.endToEndFields(), body: r.body, stream: r.stream, buf: r.buf}
		return routing.AttemptResult{Result: balancer.OK, Reply: streamed}
	}
	r.end.extraBytes = r.end.extraBytes || reader.Buffered() > 0
	reader.Reset(nil)
	t.readers.Put(reader)
	if err == nil && result == balancer.OK && attempt.Payload != nil { // of a health check, the status is proof enough
		err = r.end.check()
	}
	switch {
	case err != nil:
		r.freeBuffer()
		cause := cancelCause(ctx, conn.responseDeadline(attempt.ExpiresAt), time.Now())
		return routing.AttemptResult{Result: conn.failureResult(err, cause)}
	case r.stream != nil && result == balancer.OK:
		r.freeBuffer()
		conn.closeFor(reasonCancelled)
		return routing.AttemptResult{Result: balancer.Cancelled}
	}
	t.endExchange(conn, &r, notCancelled)
	p := &response{fields: r.endToEndFields(), body: r.body, buf: r.buf}
	if result != balancer.OK {
		p.freeBuffer()
		return routing.AttemptResult{Result: result}
	}
	return routing.AttemptResult{Result: balancer.OK, Reply: p}
}

// endExchange closes a connection after a response, or returns it to the pool if it can be used again.
func (t *UpstreamTransport) endExchange(conn *upstreamConn, r *upstreamResponse, notCancelled bool) {
	switch {
	case r.stream != nil: // the rest of a failed response is not read
		conn.closeFor(reasonOversize)
	case r.end.extraBytes: // these bytes could be taken for the response to the next call
		conn.closeFor(reasonExtraBytes)
	case r.closeAfter:
		conn.closeFor(reasonServerAsked)
	case !notCancelled:
		conn.closeFor(reasonCancelled)
	default:
		t.putConn(conn)
	}
}

// putConn returns a connection to the pool after a complete response. It closes the connection if the request body is
// still being sent.
func (t *UpstreamTransport) putConn(c *upstreamConn) {
	if c.upload != nil && !c.upload.bodySent.Load() {
		c.closeFor(reasonServerAsked) // the server answered before the end of the request
		return
	}
	c.upload = nil
	t.pool.put(c)
}

// notWritten closes a connection on which the last byte of a request was never written, which proves that the server
// never ran the request. cause is the reason why the attempt was cancelled; nil: it was not cancelled.
func (c *upstreamConn) notWritten(cause error) routing.AttemptResult {
	c.closeFor(cancelReason(cause, reasonReset))
	if cause != nil {
		return routing.AttemptResult{Result: balancer.NotSent}
	}
	return routing.AttemptResult{Result: balancer.ConnectFailed}
}
