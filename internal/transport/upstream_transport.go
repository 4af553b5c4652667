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
const fairConnectTime = 100 * time.Millisecond

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
	pool    *upstreamPool
	readers sync.Pool  // a connection needs its buffer only while it carries a try
	buffers bufferPool // of the answers' bodies
}

// NewCarrier makes a Carrier.
func NewUpstreamTransport(c UpstreamConfig) *UpstreamTransport {
	k := &UpstreamTransport{
		pool:    &upstreamPool{settleTime: settleTime, log: c.Log, dial: c.Dial, idle: map[*routing.Peer][]*upstreamConn{}},
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

// Try implements routing.Carrier.
func (k *UpstreamTransport) Try(ctx context.Context, t routing.Try) routing.TryResult {
	m, ok := t.Payload.(*requestMessage)
	if !ok || !m.hold() { // its front has done with it: the call is over
		return routing.TryResult{Result: balancer.NotSent}
	}
	defer m.release()
	return k.exchange(ctx, t, m, true)
}

// Probe implements routing.Carrier.
func (k *UpstreamTransport) Probe(ctx context.Context, p *routing.Peer) balancer.Result {
	t := routing.Try{Peer: p, Until: time.Now().Add(4 * k.config.Load().ConnectTimeout)}
	r := k.exchange(ctx, t, newMessage(&k.buffers, http.MethodGet, protocol.PathLive, p.Addr, nil, 0), false)
	if d, ok := r.Reply.(routing.Dropper); ok {
		d.Drop()
	}
	return r.Result
}

// keep puts a connection back that carries nothing, unless its request is still being sent.
func (k *UpstreamTransport) putConn(c *upstreamConn) {
	if c.upload != nil && !c.upload.bodySent.Load() {
		c.closeFor("peer-asked") // by answering early
		return
	}
	c.upload = nil
	k.pool.put(c)
}

// exchange sends one message to a peer, at most once, and waits for the answer.
// A try whose call is over by the time that its connection is there never
// leaves: a copy may find that the first has been answered, a further try that
// its class's window has passed. told: the peer is told the time left.
func (k *UpstreamTransport) exchange(ctx context.Context, t routing.Try, m *requestMessage, told bool) routing.TryResult {
	fair := time.Until(t.Until) >= fairConnectTime
	c, err := k.pool.get(ctx, t.Peer, t.Until)
	stands := err != nil || t.Stands(time.Now())
	now := time.Now() // the decisions may have been waited for
	cause := cancelCause(ctx, t.Until, now)
	switch {
	case err != nil && (ctx.Err() != nil || cause != nil && !fair || k.pool.logShortage(err, now)):
		return routing.TryResult{Result: balancer.NotSent} // not the peer's doing
	case err != nil:
		return routing.TryResult{Result: balancer.ConnectFailed}
	case cause != nil || !stands || !t.MayBegin(now) || m.clientLeft(t.Attempt, now):
		k.pool.put(c)
		return routing.TryResult{Result: balancer.NotSent}
	case !t.Peer.OpenFor(now, k.config.Load().DrainGrace):
		c.closeFor("not-sent")
		return routing.TryResult{Result: balancer.NotSent}
	}
	if m.upload != nil {
		return k.exchangeUpload(ctx, t, m, c)
	}
	c.SetDeadline(t.Until)
	watch := watchCancel(ctx, c)
	var budget time.Duration
	if told {
		budget = max(t.Until.Sub(now), 1)
	}
	request, own := m.compose(budget)
	n, _ := c.Write(request)
	if m.releaseRoom(own); n < len(request) {
		// Its last byte was never written, which proves that it never ran.
		watch.stop()
		cause := cancelCause(ctx, t.Until, time.Now())
		c.closeFor(cancelReason(cause, "reset"))
		if cause != nil {
			return routing.TryResult{Result: balancer.NotSent}
		}
		return routing.TryResult{Result: balancer.ConnectFailed}
	}
	return k.receive(ctx, t, c, watch)
}

// receive reads the answer to a try, or the first part of a long one.
func (k *UpstreamTransport) receive(ctx context.Context, t routing.Try, c *upstreamConn, watch cancelWatch) routing.TryResult {
	in := k.readers.Get().(*bufio.Reader)
	in.Reset(c)
	a, err := readResponse(c, in, &k.buffers, t.Until)
	undisturbed := watch.stop()
	res := protocol.ResultOf(a.status, a.values(protocol.HeaderRejected))
	if err == nil && a.rest != nil && res == balancer.OK && undisturbed {
		a.rest.carrier, a.rest.closeAfter = k, a.closeAfter
		return routing.TryResult{Result: balancer.OK, Reply: &response{fields: a.endToEnd(), body: a.body, stream: a.rest}}
	}
	surplus := in.Buffered() > 0
	in.Reset(nil)
	k.readers.Put(in)
	switch {
	case err != nil:
		return routing.TryResult{Result: c.failureResult(err, cancelCause(ctx, c.responseDeadline(t.Until), time.Now()))}
	case a.rest != nil && res == balancer.OK:
		c.closeFor("called-off")
		return routing.TryResult{Result: balancer.Cancelled}
	case a.rest != nil: // no reader wants the rest of a failure
		c.closeFor("oversize")
	case surplus: // guards the next call: it may be taken for its answer
		c.closeFor("surplus")
	case a.closeAfter:
		c.closeFor("peer-asked")
	case !undisturbed:
		c.closeFor("called-off")
	default:
		k.putConn(c)
	}
	p := &response{fields: a.endToEnd(), body: a.body, buf: a.buf}
	if res != balancer.OK {
		p.freeBuffer()
		return routing.TryResult{Result: res}
	}
	return routing.TryResult{Result: balancer.OK, Reply: p}
}

// causeOf says why a try is given up; nil: it is not.
func cancelCause(ctx context.Context, until, now time.Time) error {
	switch {
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case !until.IsZero() && !now.Before(until):
		return routing.ErrTimeUp
	}
	return nil
}

// ended closes a connection that brought no whole answer and says what that
// means for its try, which was written whole and so may have run.
func (c *upstreamConn) failureResult(err, cause error) balancer.Result {
	switch {
	case errors.Is(err, errResponseTooLarge):
		c.closeFor("oversize")
		return balancer.Errored
	case c.readErr == nil: // the bytes are there, and no answer
		c.closeFor("spoilt")
		return balancer.Errored
	}
	c.closeFor(cancelReason(cause, "reset"))
	switch {
	case cause == routing.ErrTimeUp:
		return balancer.TimedOut
	case cause != nil:
		return balancer.Cancelled
	default:
		return balancer.Reset
	}
}

// reasonOf is the reason that a context's end gives for that of a connection.
func cancelReason(cause error, otherwise string) string {
	switch cause {
	case nil:
		return otherwise
	case routing.ErrTimeUp:
		return "try-timeout"
	default:
		return "called-off"
	}
}
