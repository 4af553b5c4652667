package transport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"olivebridge/brain"
	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

// CarrierConfig is what a Carrier is made from.
type CarrierConfig struct {
	ConnectTimeout time.Duration // a connection that comes later has not come
	IdleClose      time.Duration // peers close a connection idle for this long
	DrainGrace     time.Duration // first bytes to a leaving peer end within this time
	MaxConns       int           // connections to all peers together
	MaxAnswer      int           // bytes of an answer's body; at least protocol.MaxBody is taken
	Log            *slog.Logger
	Dial           Dialer // nil: TCP
}

// Carrier brings tries and probes to peers over pooled connections.
type Carrier struct {
	config  atomic.Pointer[CarrierConfig]
	pool    *pool
	readers sync.Pool // a connection needs its buffer only while it carries a try
}

// NewCarrier makes a Carrier.
func NewCarrier(c CarrierConfig) *Carrier {
	k := &Carrier{
		pool:    &pool{settle: settle, log: c.Log, dial: c.Dial, idle: map[*routing.Peer][]*peerConn{}},
		readers: sync.Pool{New: func() any { return bufio.NewReader(nil) }},
	}
	k.Configure(c)
	return k
}

// Configure changes a Carrier in use, but for its log and dialer.
func (k *Carrier) Configure(c CarrierConfig) {
	k.config.Store(&c)
	// Connections are closed safely before the peer does: a request that crosses its closing is reset.
	k.pool.configure(c.ConnectTimeout, c.IdleClose*7/10, c.MaxConns)
}

// Close ends the Carrier. Connections that carry nothing are closed at once,
// the others with their tries; those to come are moot.
func (k *Carrier) Close() { k.pool.close() }

// Conns counts the connections to peers, those being opened included.
func (k *Carrier) Conns() int {
	k.pool.mu.Lock()
	defer k.pool.mu.Unlock()
	return k.pool.open
}

// Try implements routing.Carrier.
func (k *Carrier) Try(ctx context.Context, t routing.Try) routing.TryResult {
	m, ok := t.Payload.(*message)
	if !ok {
		return routing.TryResult{Result: brain.Moot}
	}
	header := maps.Clone(m.header)
	header[protocol.HeaderBudget] = []string{protocol.FormatSeconds(time.Until(t.Until))}
	return k.exchange(ctx, t.Peer, m, header, t.Over)
}

// Probe implements routing.Carrier.
func (k *Carrier) Probe(ctx context.Context, p *routing.Peer) brain.Result {
	ctx, stop := context.WithTimeoutCause(ctx, 4*k.config.Load().ConnectTimeout, routing.ErrTimeUp)
	defer stop()
	m := &message{method: http.MethodGet, target: protocol.PathLive, host: p.Addr}
	return k.exchange(ctx, p, m, http.Header{}, nil).Result
}

// exchange sends one message to a peer, at most once, and waits for the answer.
// A try whose call is over by the time that its connection is there never
// leaves: a copy may find that the first has been answered.
func (k *Carrier) exchange(ctx context.Context, p *routing.Peer, m *message, header http.Header,
	over *atomic.Bool) routing.TryResult {
	c, err := k.pool.get(ctx, p)
	switch {
	case err != nil && (context.Cause(ctx) != nil || errors.Is(err, errNoRoom)):
		return routing.TryResult{Result: brain.Moot} // not the peer's doing
	case err != nil:
		return routing.TryResult{Result: brain.ConnectFailed}
	case ctx.Err() != nil || over != nil && over.Load():
		k.pool.put(c)
		return routing.TryResult{Result: brain.Moot}
	case !p.OpenFor(time.Now(), k.config.Load().DrainGrace):
		c.end("not-sent")
		return routing.TryResult{Result: brain.Moot}
	}
	stop := context.AfterFunc(ctx, c.interrupt)
	request := m.bytes(header)
	if n, _ := c.Write(request); n < len(request) {
		// Its last byte was never written, which proves that it never ran.
		stop()
		cause := context.Cause(ctx)
		c.end(reasonOf(cause, "reset"))
		if cause != nil {
			return routing.TryResult{Result: brain.Moot}
		}
		return routing.TryResult{Result: brain.ConnectFailed}
	}
	in := k.readers.Get().(*bufio.Reader)
	in.Reset(c)
	a, err := readAnswer(in, m.method, int64(max(k.config.Load().MaxAnswer, protocol.MaxBody)))
	surplus := in.Buffered() > 0
	in.Reset(nil)
	k.readers.Put(in)
	undisturbed := stop()
	switch {
	case err != nil:
		return routing.TryResult{Result: c.ended(err, context.Cause(ctx))}
	case surplus: // guards the next call: it may be taken for its answer
		c.end("surplus")
	case a.last:
		c.end("peer-asked")
	case !undisturbed:
		c.end("called-off")
	default:
		k.pool.put(c)
	}
	res := protocol.ResultOf(a.status, a.header[protocol.HeaderRejected])
	if res != brain.OK {
		return routing.TryResult{Result: res}
	}
	return routing.TryResult{Result: brain.OK, Reply: &reply{header: endToEnd(a.header), body: a.body}}
}

// ended closes a connection that brought no whole answer and says what that
// means for its try, which was written whole and so may have run.
func (c *peerConn) ended(err, cause error) brain.Result {
	switch {
	case errors.Is(err, errOversize):
		c.end("oversize")
		return brain.Errored
	case c.failed == nil: // the bytes are there, and no answer
		c.end("spoilt")
		return brain.Errored
	}
	c.end(reasonOf(cause, "reset"))
	switch {
	case cause == routing.ErrTimeUp:
		return brain.TimedOut
	case cause != nil:
		return brain.Cancelled
	default:
		return brain.Reset
	}
}

// reasonOf is the reason that a context's end gives for that of a connection.
func reasonOf(cause error, otherwise string) string {
	switch cause {
	case nil:
		return otherwise
	case routing.ErrTimeUp:
		return "try-timeout"
	default:
		return "called-off"
	}
}

// bytes writes a message as it goes to a peer.
func (m *message) bytes(header http.Header) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(m.body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", m.method, m.target, m.host)
	if len(m.body) > 0 || m.method != http.MethodGet {
		b.WriteString("Content-Length: " + strconv.Itoa(len(m.body)) + "\r\n")
	}
	header.Write(&b) // to a buffer: no error
	b.WriteString("\r\n")
	b.Write(m.body)
	return b.Bytes()
}
