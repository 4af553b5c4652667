package registry

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"strconv"
	"strings"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/http1"
	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
)

// listPath is the URL path of the list.
const listPath = "/registry/instances"

// maxWait limits the duration for which a call waits for a change.
const maxWait = time.Minute

// fullListShare is the share of watches that get the full list where the changes
// would suffice: nodes must accept either.
const fullListShare = 0.03

// chunkSize is the body size in bytes from which a list is sent with chunked
// transfer encoding, as net/http does, and the size of its chunks.
const chunkSize = 2 << 10

// conn is a connection opened by a node.
type conn struct {
	link      link.Conn
	registry  *Registry
	history   *history // source of the lists sent; after a move, old connections keep the old one
	parser    *http1.Parser
	callCount int
	current   *call
}

func (r *Registry) accept(c link.Conn) link.Handler {
	k := &conn{link: c, registry: r, history: r.history, parser: http1.NewRequestParser()}
	r.conns = append(r.conns, k)
	return k
}

// Up implements link.Handler.
func (k *conn) Up(link.Conn) {}

// Data implements link.Handler.
func (k *conn) Data(_ link.Conn, b []byte) {
	k.parser.Feed(b)
	k.startNextCall()
}

// End implements link.Handler. A half-close by the node counts as a close.
func (k *conn) End(link.Conn, error) { k.remove((link.Conn).Close) }

// remove removes the connection from the registry, terminates it and abandons its call.
func (k *conn) remove(terminate func(link.Conn)) {
	for i, other := range k.registry.conns {
		if other == k {
			k.registry.conns = append(k.registry.conns[:i], k.registry.conns[i+1:]...)
			terminate(k.link)
			k.abandonCall()
			return
		}
	}
}

// abandonCall marks the current call as done and stops its timer.
func (k *conn) abandonCall() {
	if k.current != nil {
		k.current.done = true
		k.current.timer.Stop()
		k.current = nil
	}
}

// startNextCall parses and queues the next call, unless one is still unanswered.
func (k *conn) startNextCall() {
	if k.current != nil {
		return
	}
	m, err := k.parser.Next()
	if err != nil {
		k.writeResponse(400, nil)
		k.remove((link.Conn).Close)
		return
	}
	if m == nil {
		return
	}
	c, status := k.parse(m)
	k.current = c
	if status != 0 {
		k.respond(status, nil)
		return
	}
	k.registry.enqueue(c)
}

// call is one request to discovery. It has its own random draws, so that faults of
// other kinds or in other calls do not change them.
type call struct {
	conn         *conn
	arrivedAt    time.Duration
	afterVersion int64 // version after which changes are requested; -1: the full list
	wait         time.Duration
	timer        *loop.Timer // deadline in the queue, then end of its wait for a change
	done         bool

	// Each draw is in [0, 1). The fault of that name affects the call if the draw is below the fault's share.
	fullDraw, brokenDraw, stalledDraw, refusedDraw, garbledDraw float64
	draws                                                       *rand.Rand // further draws, for how a fault shows
}

// parse reads a call. status is 0 if the call is valid, else the status of its error response.
func (k *conn) parse(m *http1.Message) (c *call, status int) {
	k.callCount++
	draws := figure.Stream(k.registry.env.Seed, fmt.Sprintf("registry call %s %d", k.link.ID(), k.callCount))
	c = &call{conn: k, arrivedAt: k.registry.env.Loop.Now(), afterVersion: -1}
	c.fullDraw, c.brokenDraw, c.stalledDraw = draws.Float64(), draws.Float64(), draws.Float64()
	c.refusedDraw, c.garbledDraw, c.draws = draws.Float64(), draws.Float64(), draws
	target, query, _ := strings.Cut(m.Target, "?")
	if target != listPath {
		return c, 404
	}
	if m.Method != "GET" {
		return c, 405
	}
	if err := c.parseQuery(query); err != nil {
		return c, 400
	}
	return c, 0
}

// parseQuery reads "after" and "wait_ms" from the query; without "after", the call requests the full list.
func (c *call) parseQuery(query string) error {
	values, err := url.ParseQuery(query)
	if err != nil || !values.Has("after") {
		return err
	}
	if c.afterVersion, err = strconv.ParseInt(values.Get("after"), 10, 64); err != nil || c.afterVersion < 0 {
		return errors.New("after")
	}
	if !values.Has("wait_ms") {
		return nil
	}
	ms, err := strconv.ParseInt(values.Get("wait_ms"), 10, 64)
	if err != nil || ms < 0 {
		return errors.New("wait_ms")
	}
	c.wait = time.Duration(min(ms, maxWait.Milliseconds())) * time.Millisecond
	return nil
}

// enqueue queues a call and answers it with a 503 once it has waited for the
// configured patience. A call that stalls is never answered.
func (r *Registry) enqueue(c *call) {
	if c.stalledDraw < r.stalled.Probability() {
		return
	}
	r.queue = append(r.queue, c)
	if r.config.Patience > 0 {
		c.timer = r.env.Loop.After(r.config.Patience.D(), func() {
			if i := callIndex(r.queue, c); i >= 0 {
				r.queue = append(r.queue[:i], r.queue[i+1:]...)
				c.conn.respond(503, nil)
			}
		})
	}
	r.serveNext()
}

// serveNext serves the next queued call, unless one is being served.
func (r *Registry) serveNext() {
	for !r.serving && len(r.queue) > 0 {
		c := r.queue[0]
		r.queue = r.queue[1:]
		if c.done {
			continue
		}
		c.timer.Stop()
		r.serving = true
		r.env.Loop.After(r.config.Each.D(), func() {
			r.serving = false
			if !c.done {
				r.handle(c)
			}
			r.serveNext()
		})
	}
}

// handle responds to a call, or lets it wait for a change.
func (r *Registry) handle(c *call) {
	b := c.conn.history
	if c.refusedDraw < r.refused.Probability() {
		c.conn.respond(503, nil)
		return
	}
	changed, ok := b.since(c.afterVersion)
	remaining := c.arrivedAt + c.wait - r.env.Loop.Now()
	if !ok || len(changed) > 0 || remaining <= 0 {
		c.sendList()
		return
	}
	r.watches = append(r.watches, c)
	breaks := c.brokenDraw < r.broken.Probability() && c.draws.IntN(2) == 0 // the connection breaks during the wait
	if breaks {
		remaining = time.Duration(c.draws.Float64() * float64(remaining))
	}
	c.timer = r.env.Loop.After(remaining, func() {
		if i := callIndex(r.watches, c); i >= 0 {
			r.watches = append(r.watches[:i], r.watches[i+1:]...)
		}
		if breaks {
			c.conn.remove((link.Conn).Reset)
		} else {
			c.sendList()
		}
	})
}

// notifyWatches sends the latest changes to all calls that wait for them, except
// on connections to an address that discovery has moved away from: their list no
// longer changes.
func (r *Registry) notifyWatches() {
	watches := r.watches
	r.watches = nil
	for _, c := range watches {
		switch {
		case c.done:
		case c.conn.history != r.history:
			r.watches = append(r.watches, c)
		default:
			c.timer.Stop()
			c.sendList()
		}
	}
}

// sendList responds with the changes or the full list, or applies a fault to the response.
func (c *call) sendList() {
	b, r := c.conn.history, c.conn.registry
	changed, ok := b.since(c.afterVersion)
	l := list{b.version, false, changed}
	if !ok || c.fullDraw < fullListShare {
		l = list{b.version, true, b.entries(len(b.changes))}
	}
	r.mapAddresses(link.Dialer(c.conn.link.ID()), l.Servers)
	body := l.json()
	if c.garbledDraw < r.garbled.Probability() {
		body = garble(c.draws, l)
	}
	if c.brokenDraw < r.broken.Probability() {
		c.conn.breakResponse(c.draws, body)
		return
	}
	c.conn.respond(200, body)
}

// respond completes the current call with a response and starts the next one.
func (k *conn) respond(status int, body []byte) {
	k.abandonCall()
	k.writeResponse(status, body)
	k.startNextCall()
}

func (k *conn) writeResponse(status int, body []byte) { k.link.Write(encodeResponse(status, body)) }

var reasonPhrases = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 503: "Service Unavailable",
}

func encodeResponse(status int, body []byte) []byte {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n", status, reasonPhrases[status])
	if len(body) < chunkSize {
		return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	out := fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n", head)
	for len(body) > 0 {
		n := min(len(body), chunkSize)
		out = fmt.Appendf(out, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return append(out, "0\r\n\r\n"...)
}

// breakResponse closes or resets the connection, before the response or in the middle of it.
func (k *conn) breakResponse(draws *rand.Rand, body []byte) {
	response := encodeResponse(200, body)
	partial := response[:1+draws.IntN(len(response)-1)]
	switch draws.IntN(4) {
	case 0:
		k.remove((link.Conn).Reset)
	case 1:
		k.remove((link.Conn).Close)
	case 2:
		k.link.Write(partial)
		k.remove((link.Conn).Reset)
	default:
		k.link.Write(partial)
		k.remove((link.Conn).Close)
	}
}

// breakConns terminates the matching connections. Half of the calls in progress get
// a 503 first; the others are reset without a response.
func (r *Registry) breakConns(match func(*conn) bool) {
	for _, k := range append([]*conn(nil), r.conns...) {
		switch {
		case !match(k):
		case k.current == nil:
			k.remove((link.Conn).Close)
		case k.current.draws.IntN(2) == 0:
			k.writeResponse(503, nil)
			k.remove((link.Conn).Close)
		default:
			k.remove((link.Conn).Reset)
		}
	}
}

func callIndex(calls []*call, c *call) int {
	for i, other := range calls {
		if other == c {
			return i
		}
	}
	return -1
}
