package transport

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

// fairConnect is the time after which a connection that is not up speaks against its peer, though it may take longer by the
// settings: some round trips over the widest net.
const fairConnect = 100 * time.Millisecond

// CarrierConfig is what a Carrier is made from.
type UpstreamConfig struct {
	ConnectTimeout    time.Duration // a connection that comes later has not come
	ServerIdleTimeout time.Duration // peers close a connection idle for this long
	DrainGrace        time.Duration // first bytes to a leaving peer end within this time
	MaxConns          int           // connections to all peers together
	Log               *slog.Logger
	Dial              Dialer // nil: TCP
}

// Carrier brings tries and probes to peers over pooled connections.
type UpstreamTransport struct {
	config  atomic.Pointer[UpstreamConfig]
	pool    *pool
	readers sync.Pool // a connection needs its buffer only while it carries a try
	buffers buffers   // of the answers' bodies
}

// NewCarrier makes a Carrier.
func NewUpstreamTransport(c UpstreamConfig) *UpstreamTransport {
	k := &UpstreamTransport{
		pool:    &pool{settle: settle, log: c.Log, dial: c.Dial, idle: map[*routing.Upstream][]*peerConn{}},
		readers: sync.Pool{New: func() any { return bufio.NewReader(nil) }},
	}
	k.Configure(c)
	return k
}

// Configure changes a Carrier in use, but for its log and dialer.
func (k *UpstreamTransport) Configure(c UpstreamConfig) {
	k.config.Store(&c)
	// Connections are closed safely before the peer does: a request that crosses its closing is reset.
	k.pool.configure(c.ConnectTimeout, c.ServerIdleTimeout*7/10, c.MaxConns)
}

// Close ends the Carrier. Connections that carry nothing are closed at once,
// the others with their tries; those to come are moot.
func (k *UpstreamTransport) Close() { k.pool.close() }

// Conns counts the connections to peers, those being opened included.
func (k *UpstreamTransport) Conns() int {
	k.pool.mu.Lock()
	defer k.pool.mu.Unlock()
	return k.pool.open
}

// RoundTrip implements routing.Transport.
func (k *UpstreamTransport) RoundTrip(ctx context.Context, t routing.Attempt) routing.AttemptResult {
	m, ok := t.Payload.(*message)
	if !ok || !m.hold() { // its front has done with it: the call is over
		return routing.AttemptResult{Result: balancer.NotSent}
	}
	defer m.release()
	return k.exchange(ctx, t, m, true)
}

// CheckHealth implements routing.Transport.
func (k *UpstreamTransport) CheckHealth(ctx context.Context, p *routing.Upstream) balancer.Result {
	t := routing.Attempt{Upstream: p, ExpiresAt: time.Now().Add(4 * k.config.Load().ConnectTimeout)}
	r := k.exchange(ctx, t, newMessage(&k.buffers, http.MethodGet, protocol.PathHealthCheck, p.Addr, nil, 0), false)
	if d, ok := r.Reply.(routing.Releaser); ok {
		d.Release()
	}
	return r.Result
}

// keep puts a connection back that carries nothing, unless its request is still being sent.
func (k *UpstreamTransport) keep(c *peerConn) {
	if c.up != nil && !c.up.whole.Load() {
		c.end("peer-asked") // by answering early
		return
	}
	c.up = nil
	k.pool.put(c)
}

// exchange sends one message to a peer, at most once, and waits for the answer.
// A try whose call is over by the time that its connection is there never
// leaves: a copy may find that the first has been answered, a further try that
// its class's window has passed. told: the peer is told the time left.
func (k *UpstreamTransport) exchange(ctx context.Context, t routing.Attempt, m *message, told bool) routing.AttemptResult {
	fair := time.Until(t.ExpiresAt) >= fairConnect
	c, err := k.pool.get(ctx, t.Upstream, t.ExpiresAt)
	stands := err != nil || t.StillValid(time.Now())
	now := time.Now() // the decisions may have been waited for
	cause := causeOf(ctx, t.ExpiresAt, now)
	switch {
	case err != nil && (ctx.Err() != nil || cause != nil && !fair || k.pool.lacks(err, now)):
		return routing.AttemptResult{Result: balancer.NotSent} // not the peer's doing
	case err != nil:
		return routing.AttemptResult{Result: balancer.ConnectFailed}
	case cause != nil || !stands || !t.MayStart(now) || m.left(t.Number, now):
		k.pool.put(c)
		return routing.AttemptResult{Result: balancer.NotSent}
	case !t.Upstream.MaySend(now, k.config.Load().DrainGrace):
		c.end("not-sent")
		return routing.AttemptResult{Result: balancer.NotSent}
	}
	if m.up != nil {
		return k.carryUpload(ctx, t, m, c)
	}
	c.SetDeadline(t.ExpiresAt)
	watch := watchEnd(ctx, c)
	var budget time.Duration
	if told {
		budget = max(t.ExpiresAt.Sub(now), 1)
	}
	request, own := m.compose(budget)
	n, _ := c.Write(request)
	if m.wrote(own); n < len(request) {
		// Its last byte was never written, which proves that it never ran.
		watch.end()
		cause := causeOf(ctx, t.ExpiresAt, time.Now())
		c.end(reasonOf(cause, "reset"))
		if cause != nil {
			return routing.AttemptResult{Result: balancer.NotSent}
		}
		return routing.AttemptResult{Result: balancer.ConnectFailed}
	}
	return k.receive(ctx, t, c, watch)
}

// receive reads the answer to a try, or the first part of a long one.
func (k *UpstreamTransport) receive(ctx context.Context, t routing.Attempt, c *peerConn, watch endWatch) routing.AttemptResult {
	in := k.readers.Get().(*bufio.Reader)
	in.Reset(c)
	a, err := readAnswer(c, in, &k.buffers, t.ExpiresAt)
	undisturbed := watch.end()
	res := protocol.ClassifyResponse(a.status, a.values(protocol.HeaderRejected))
	if err == nil && a.rest != nil && res == balancer.OK && undisturbed {
		a.rest.carrier, a.rest.last = k, a.last
		return routing.AttemptResult{Result: balancer.OK, Reply: &reply{fields: a.endToEnd(), body: a.body, rest: a.rest}}
	}
	surplus := in.Buffered() > 0
	in.Reset(nil)
	k.readers.Put(in)
	switch {
	case err != nil:
		return routing.AttemptResult{Result: c.ended(err, causeOf(ctx, c.deadline(t.ExpiresAt), time.Now()))}
	case a.rest != nil && res == balancer.OK:
		c.end("called-off")
		return routing.AttemptResult{Result: balancer.Cancelled}
	case a.rest != nil: // no reader wants the rest of a failure
		c.end("oversize")
	case surplus: // guards the next call: it may be taken for its answer
		c.end("surplus")
	case a.last:
		c.end("peer-asked")
	case !undisturbed:
		c.end("called-off")
	default:
		k.keep(c)
	}
	p := &reply{fields: a.endToEnd(), body: a.body, buf: a.buf}
	if res != balancer.OK {
		p.free()
		return routing.AttemptResult{Result: res}
	}
	return routing.AttemptResult{Result: balancer.OK, Reply: p}
}

// causeOf says why a try is given up; nil: it is not.
func causeOf(ctx context.Context, until, now time.Time) error {
	switch {
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case !until.IsZero() && !now.Before(until):
		return routing.ErrDeadlineExceeded
	}
	return nil
}

// ended closes a connection that brought no whole answer and says what that
// means for its try, which was written whole and so may have run.
func (c *peerConn) ended(err, cause error) balancer.Result {
	switch {
	case errors.Is(err, errOversize):
		c.end("oversize")
		return balancer.Errored
	case c.failed == nil: // the bytes are there, and no answer
		c.end("spoilt")
		return balancer.Errored
	}
	c.end(reasonOf(cause, "reset"))
	switch {
	case cause == routing.ErrDeadlineExceeded:
		return balancer.TimedOut
	case cause != nil:
		return balancer.Cancelled
	default:
		return balancer.Reset
	}
}

// reasonOf is the reason that a context's end gives for that of a connection.
func reasonOf(cause error, otherwise string) string {
	switch cause {
	case nil:
		return otherwise
	case routing.ErrDeadlineExceeded:
		return "try-timeout"
	default:
		return "called-off"
	}
}
