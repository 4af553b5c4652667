package peer

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"olivebridge/internal/lab/event"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/http1"
	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
	"olivebridge/internal/lab/world"
)

// way is how long anything takes between two machines of the tests.
const way = time.Millisecond

// wire is a network that delivers everything whole after way.
type wire struct {
	loop   *loop.Loop
	accept map[string]func(link.Conn) link.Handler
}

type end struct {
	wire *wire
	peer *end
	h    link.Handler
	gone bool
}

func (w *wire) Listen(addr string, accept func(link.Conn) link.Handler) (link.Listener, error) {
	w.accept[addr] = accept
	return w, nil
}

func (w *wire) Close() { clear(w.accept) }

func (w *wire) Dial(_, to string, _ time.Duration, h link.Handler) link.Conn {
	near, far := &end{wire: w, h: h}, &end{wire: w}
	near.peer, far.peer = far, near
	w.loop.After(way, func() {
		if accept := w.accept[to]; accept == nil {
			near.hear(link.ErrRefused)
		} else if far.h = accept(far); far.h == nil {
			far.Reset()
		} else {
			h.Up(near)
		}
	})
	return near
}

func (e *end) hear(err error) {
	if !e.gone {
		e.gone = err != link.ErrEOF
		e.h.End(e, err)
	}
}

func (e *end) ID() string        { return "" }
func (e *end) PauseReading(bool) {}

func (e *end) Write(b []byte) {
	if b = append([]byte(nil), b...); !e.gone {
		e.wire.loop.After(way, func() {
			if !e.peer.gone {
				e.peer.h.Data(e.peer, b)
			}
		})
	}
}

func (e *end) CloseWrite() { e.wire.loop.After(way, func() { e.peer.hear(link.ErrEOF) }) }
func (e *end) Close() {
	if !e.gone {
		e.CloseWrite()
	}
	e.gone = true
}

func (e *end) Reset() {
	e.gone = true
	e.wire.loop.After(way, func() { e.peer.hear(link.ErrReset) })
}

// recordedEvents is an event.Observer and a Registrar that records what it is notified of.
type recordedEvents struct {
	event.Observer
	loop *loop.Loop
	log  []string
	work []float64 // of each attempt
	able []float64 // what the peer could do then
}

func (f *recordedEvents) note(format string, a ...any) {
	f.log = append(f.log, fmt.Sprintf("%v ", f.loop.Now().Round(time.Millisecond))+fmt.Sprintf(format, a...))
}
func (f *recordedEvents) PeerStarted(_, _ string, cold bool) { f.note("start cold %v", cold) }
func (f *recordedEvents) PeerStopped(string)                 { f.note("stop") }
func (f *recordedEvents) Draining(string)                    { f.note("draining") }
func (f *recordedEvents) Stopped(string)                     { f.note("stopped") }
func (f *recordedEvents) Started(_, addr string, _ time.Duration, warm bool) {
	f.note("started %s warm %v", addr, warm)
}
func (f *recordedEvents) PeerAttempt(_, _ string, work, capacity float64) {
	f.work, f.able = append(f.work, work), append(f.able, capacity)
}

// rig is a peer with what it lives in.
type rig struct {
	*testing.T
	*Peer
	wire   *wire
	events *recordedEvents
	asks   []*ask
}

// play lets f set up what is to happen to a peer, which is warm, and runs it for 30 s.
func play(t *testing.T, c world.Peer, f func(r *rig)) *rig {
	t.Helper()
	r := &rig{T: t}
	synctest.Test(t, func(*testing.T) {
		l := loop.New(synctest.Wait)
		r.wire = &wire{l, map[string]func(link.Conn) link.Handler{}}
		r.events = &recordedEvents{loop: l}
		c.Name = cmp.Or(c.Name, "p03")
		c.Cores, c.Slots, c.Speed = max(c.Cores, 1), max(c.Slots, 1), cmp.Or(c.Speed, 1)
		r.Peer = New(c, Env{Loop: l, Fabric: r.wire, Seed: 7, Observer: r.events, Listed: r.events, Classes: []world.Class{
			{Name: "quote", Safe: true, Work: figure.Span(20 * time.Millisecond), Answer: 100},
			{Name: "book", Work: figure.Span(40 * time.Millisecond), Spread: 1},
		}})
		if err := r.Start(true); err != nil {
			t.Error(err)
		}
		f(r)
		l.Run(context.Background(), 30*time.Second, nil)
	})
	return r
}

// ask is a connection of a node's, and what came back on it.
type ask struct {
	loop  *loop.Loop
	in    *http1.Parser
	conn  link.Conn
	first time.Duration // when the first bytes came
	ended time.Duration
	err   error // how it ended
	raw   []byte
	got   []*http1.Message
	bad   error // what came is no HTTP
}

func (a *ask) Up(link.Conn) {}
func (a *ask) Data(_ link.Conn, b []byte) {
	if a.first == 0 {
		a.first = a.loop.Now()
	}
	a.raw = append(a.raw, b...)
	a.in.Feed(b)
	for m, err := a.in.Next(); m != nil || err != a.bad; m, err = a.in.Next() {
		if a.bad = err; m != nil {
			a.got = append(a.got, m)
		}
	}
}

func (a *ask) End(c link.Conn, err error) {
	a.err, a.ended = err, a.loop.Now()
	c.Close()
}

// status is that of the only answer; 0: there is none, or more.
func (a *ask) status() int {
	if len(a.got) != 1 {
		return 0
	}
	return a.got[0].Status
}

// send opens a connection at an instant and sends texts on it.
func (r *rig) send(at time.Duration, texts ...string) *ask {
	a := &ask{loop: r.wire.loop, in: http1.NewResponseParser()}
	r.asks = append(r.asks, a)
	r.at(at, func() {
		a.conn = r.wire.Dial("n1", r.Addr(), time.Second, a)
		r.at(at+2*way, func() {
			for _, text := range texts {
				a.conn.Write([]byte(text))
			}
		})
	})
	return a
}

func (r *rig) at(at time.Duration, f func()) { r.wire.loop.At(at, f) }

// calls sends n quotes from an instant on, one each gap.
func (r *rig) calls(n int, at, gap time.Duration) {
	for i := range n {
		r.send(at+time.Duration(i)*gap, quote(fmt.Sprintf("c%d-%v", i, at)))
	}
}

// quote is a request for a quote, with further fields.
func quote(id string, fields ...string) string {
	return fmt.Sprintf("GET /api?user=%s HTTP/1.1\r\nHost: p\r\nX-Call-Id: %s\r\nX-Call-Class: quote\r\n%s\r\n",
		strings.TrimLeft(id, "0123456789"), id, strings.Join(fields, ""))
}

// statuses counts what came by status; 0: nothing did.
func (r *rig) statuses() (n map[int]int) {
	n = map[int]int{}
	for _, a := range r.asks {
		n[a.status()]++
	}
	return n
}

// want compares as printed.
func (r *rig) want(what string, got, want any) {
	r.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		r.Errorf("%s: %v, want %v", what, got, want)
	}
}

// near wants a figure within a share of another.
func (r *rig) near(what string, got, want time.Duration, share float64) {
	r.Helper()
	if d := (got - want).Abs(); d.Seconds() > share*want.Seconds() {
		r.Errorf("%s: %v, want about %v", what, got, want)
	}
}
