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

// path is where the list is.
const path = "/registry/instances"

// mostWait bounds how long a call may wait for news.
const mostWait = time.Minute

// wholeShare is the share of watching calls that are told the whole list,
// though the changes would do: nodes must take either.
const wholeShare = 0.03

// chunkedFrom is the size from which a list comes in chunks, as net/http's do.
const chunkedFrom = 2 << 10

// conn is a connection of a node's.
type conn struct {
	link   link.Conn
	r      *Registry
	book   *book // that it is served from: the old one, after a move
	parser *http1.Parser
	calls  int
	open   *call
}

func (r *Registry) accept(c link.Conn) link.Handler {
	k := &conn{link: c, r: r, book: r.book, parser: http1.NewRequestParser()}
	r.conns = append(r.conns, k)
	return k
}

// Up implements link.Handler.
func (k *conn) Up(link.Conn) {}

// Data implements link.Handler.
func (k *conn) Data(_ link.Conn, b []byte) {
	k.parser.Feed(b)
	k.next()
}

// End implements link.Handler. A node that ends its sending has gone away.
func (k *conn) End(link.Conn, error) { k.end((link.Conn).Close) }

// end forgets a connection and ends it.
func (k *conn) end(how func(link.Conn)) {
	for i, other := range k.r.conns {
		if other == k {
			k.r.conns = append(k.r.conns[:i], k.r.conns[i+1:]...)
			how(k.link)
			k.drop()
			return
		}
	}
}

// drop forgets the call that is open.
func (k *conn) drop() {
	if k.open != nil {
		k.open.over = true
		k.open.timer.Stop()
		k.open = nil
	}
}

// next begins the next call, once the one before it has its answer.
func (k *conn) next() {
	if k.open != nil {
		return
	}
	m, err := k.parser.Next()
	if err != nil {
		k.answer(400, nil)
		k.end((link.Conn).Close)
		return
	}
	if m == nil {
		return
	}
	c, status := k.parse(m)
	k.open = c
	if status != 0 {
		k.reply(status, nil)
		return
	}
	k.r.arrive(c)
}

// call is one call. Its draws are its own, so that faults of other calls and
// other faults leave them as they are.
type call struct {
	conn  *conn
	at    time.Duration
	after int64 // -1: it asks for the whole list
	wait  time.Duration
	timer *loop.Timer // the end of its patience, then of its wait
	over  bool

	whole, broken, stalled, refused, garbled float64 // from [0, 1): a fault strikes below its share
	how                                      *rand.Rand
}

// parse reads a call, or says which status it deserves.
func (k *conn) parse(m *http1.Message) (c *call, status int) {
	k.calls++
	draws := figure.Stream(k.r.env.Seed, fmt.Sprintf("registry call %s %d", k.link.ID(), k.calls))
	c = &call{conn: k, at: k.r.env.Loop.Now(), after: -1}
	c.whole, c.broken, c.stalled = draws.Float64(), draws.Float64(), draws.Float64()
	c.refused, c.garbled, c.how = draws.Float64(), draws.Float64(), draws
	target, query, _ := strings.Cut(m.Target, "?")
	if target != path {
		return c, 404
	}
	if m.Method != "GET" {
		return c, 405
	}
	if err := c.watches(query); err != nil {
		return c, 400
	}
	return c, 0
}

// watches reads the query of a call that waits for news; one without "after" does not.
func (c *call) watches(query string) error {
	values, err := url.ParseQuery(query)
	if err != nil || !values.Has("after") {
		return err
	}
	if c.after, err = strconv.ParseInt(values.Get("after"), 10, 64); err != nil || c.after < 0 {
		return errors.New("after")
	}
	if !values.Has("wait_ms") {
		return nil
	}
	ms, err := strconv.ParseInt(values.Get("wait_ms"), 10, 64)
	if err != nil || ms < 0 {
		return errors.New("wait_ms")
	}
	c.wait = time.Duration(min(ms, mostWait.Milliseconds())) * time.Millisecond
	return nil
}

// arrive lets a call wait for its turn. One that stalls is never heard of again.
func (r *Registry) arrive(c *call) {
	if c.stalled < r.stalled.Probability() {
		return
	}
	r.turns = append(r.turns, c)
	if r.conf.Patience > 0 {
		c.timer = r.env.Loop.After(r.conf.Patience.D(), func() {
			if i := place(r.turns, c); i >= 0 {
				r.turns = append(r.turns[:i], r.turns[i+1:]...)
				c.conn.reply(503, nil)
			}
		})
	}
	r.serve()
}

// serve gives the next call its turn, unless one has it.
func (r *Registry) serve() {
	for !r.serving && len(r.turns) > 0 {
		c := r.turns[0]
		r.turns = r.turns[1:]
		if c.over {
			continue
		}
		c.timer.Stop()
		r.serving = true
		r.env.Loop.After(r.conf.Each.D(), func() {
			r.serving = false
			if !c.over {
				r.turn(c)
			}
			r.serve()
		})
	}
}

// turn answers a call, or lets it wait for news.
func (r *Registry) turn(c *call) {
	b := c.conn.book
	if c.refused < r.refused.Probability() {
		c.conn.reply(503, nil)
		return
	}
	some, ok := b.since(c.after)
	left := c.at + c.wait - r.env.Loop.Now()
	if !ok || len(some) > 0 || left <= 0 {
		c.tell()
		return
	}
	r.watches = append(r.watches, c)
	breaks := c.broken < r.broken.Probability() && c.how.IntN(2) == 0 // while it waits
	if breaks {
		left = time.Duration(c.how.Float64() * float64(left))
	}
	c.timer = r.env.Loop.After(left, func() {
		if i := place(r.watches, c); i >= 0 {
			r.watches = append(r.watches[:i], r.watches[i+1:]...)
		}
		if breaks {
			c.conn.end((link.Conn).Reset)
		} else {
			c.tell()
		}
	})
}

// wake tells the news to whoever waits for it. The old address has none.
func (r *Registry) wake() {
	watches := r.watches
	r.watches = nil
	for _, c := range watches {
		switch {
		case c.over:
		case c.conn.book != r.book:
			r.watches = append(r.watches, c)
		default:
			c.timer.Stop()
			c.tell()
		}
	}
}

// tell gives a call its list.
func (c *call) tell() {
	b, r := c.conn.book, c.conn.r
	some, ok := b.since(c.after)
	l := list{b.version, false, some}
	if !ok || c.whole < wholeShare {
		l = list{b.version, true, b.entries(len(b.changes))}
	}
	r.seen(link.Dialer(c.conn.link.ID()), l.Servers)
	body := l.json()
	if c.garbled < r.garbled.Probability() {
		body = garble(c.how, l)
	}
	if c.broken < r.broken.Probability() {
		c.conn.breaks(c.how, body)
		return
	}
	c.conn.reply(200, body)
}

// reply answers the open call and goes on to the next.
func (k *conn) reply(status int, body []byte) {
	k.drop()
	k.answer(status, body)
	k.next()
}

func (k *conn) answer(status int, body []byte) { k.link.Write(answer(status, body)) }

var reasons = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 503: "Service Unavailable",
}

func answer(status int, body []byte) []byte {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n", status, reasons[status])
	if len(body) < chunkedFrom {
		return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	out := fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n", head)
	for len(body) > 0 {
		n := min(len(body), chunkedFrom)
		out = fmt.Appendf(out, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return append(out, "0\r\n\r\n"...)
}

// breaks ends a call's connection in place of its answer, or in the midst of it.
func (k *conn) breaks(how *rand.Rand, body []byte) {
	whole := answer(200, body)
	part := whole[:1+how.IntN(len(whole)-1)]
	switch how.IntN(4) {
	case 0:
		k.end((link.Conn).Reset)
	case 1:
		k.end((link.Conn).Close)
	case 2:
		k.link.Write(part)
		k.end((link.Conn).Reset)
	default:
		k.link.Write(part)
		k.end((link.Conn).Close)
	}
}

// breakAll ends the connections that are of a kind. Their calls end with a 503,
// or with them.
func (r *Registry) breakAll(of func(*conn) bool) {
	for _, k := range append([]*conn(nil), r.conns...) {
		switch {
		case !of(k):
		case k.open == nil:
			k.end((link.Conn).Close)
		case k.open.how.IntN(2) == 0:
			k.answer(503, nil)
			k.end((link.Conn).Close)
		default:
			k.end((link.Conn).Reset)
		}
	}
}

func place(some []*call, c *call) int {
	for i, other := range some {
		if other == c {
			return i
		}
	}
	return -1
}
