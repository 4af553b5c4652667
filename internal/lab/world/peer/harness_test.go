package peer

import (
	"cmp"
	"context"
	"errors"
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

// networkDelay is the one-way delay between two machines of the tests.
const networkDelay = time.Millisecond

// fakeNetwork delivers each write in one piece after networkDelay.
type fakeNetwork struct {
	loop   *loop.Loop
	accept map[string]func(link.Conn) link.Handler
}

type fakeConn struct {
	network *fakeNetwork
	peer    *fakeConn
	handler link.Handler
	closed  bool
}

func (w *fakeNetwork) Listen(addr string, accept func(link.Conn) link.Handler) (link.Listener, error) {
	w.accept[addr] = accept
	return w, nil
}

func (w *fakeNetwork) Close() { clear(w.accept) }

func (w *fakeNetwork) Dial(_, to string, _ time.Duration, h link.Handler) link.Conn {
	near, far := &fakeConn{network: w, handler: h}, &fakeConn{network: w}
	near.peer, far.peer = far, near
	w.loop.After(networkDelay, func() {
		if accept := w.accept[to]; accept == nil {
			near.receiveEnd(link.ErrRefused)
		} else if far.handler = accept(far); far.handler == nil {
			far.Reset()
		} else {
			h.Up(near)
		}
	})
	return near
}

func (e *fakeConn) receiveEnd(err error) {
	if !e.closed {
		e.closed = !errors.Is(err, link.ErrEOF)
		e.handler.End(e, err)
	}
}

func (e *fakeConn) ID() string        { return "" }
func (e *fakeConn) PauseReading(bool) {}

func (e *fakeConn) Write(b []byte) {
	if b = append([]byte(nil), b...); !e.closed {
		e.network.loop.After(networkDelay, func() {
			if !e.peer.closed {
				e.peer.handler.Data(e.peer, b)
			}
		})
	}
}

func (e *fakeConn) CloseWrite() {
	e.network.loop.After(networkDelay, func() { e.peer.receiveEnd(link.ErrEOF) })
}
func (e *fakeConn) Close() {
	if !e.closed {
		e.CloseWrite()
	}
	e.closed = true
}

func (e *fakeConn) Reset() {
	e.closed = true
	e.network.loop.After(networkDelay, func() { e.peer.receiveEnd(link.ErrReset) })
}

// recordedEvents is an event.Observer and a Registrar that records its notifications.
type recordedEvents struct {
	event.Observer
	loop     *loop.Loop
	log      []string
	work     []float64 // usual work of each attempt
	capacity []float64 // capacity of the peer at each attempt
}

func (f *recordedEvents) record(format string, a ...any) {
	f.log = append(f.log, fmt.Sprintf("%v ", f.loop.Now().Round(time.Millisecond))+fmt.Sprintf(format, a...))
}
func (f *recordedEvents) PeerStarted(_, _ string, cold bool) { f.record("start cold %v", cold) }
func (f *recordedEvents) PeerStopped(string)                 { f.record("stop") }
func (f *recordedEvents) Draining(string)                    { f.record("draining") }
func (f *recordedEvents) Stopped(string)                     { f.record("stopped") }
func (f *recordedEvents) Started(_, addr string, _ time.Duration, warm bool) {
	f.record("started %s warm %v", addr, warm)
}
func (f *recordedEvents) PeerAttempt(_, _ string, work, capacity float64) {
	f.work, f.capacity = append(f.work, work), append(f.capacity, capacity)
}
func (f *recordedEvents) PeerMisframed(string, string)      {}
func (f *recordedEvents) PeerAnswersInParts(string, string) {}

// harness is a peer with its network, event log and clients.
type harness struct {
	*testing.T
	*Peer
	network *fakeNetwork
	events  *recordedEvents
	conns   []*clientConn
}

// runPeer starts a warm peer, calls f to schedule the test's events, and runs the loop for 30 s.
func runPeer(t *testing.T, c world.Peer, f func(r *harness)) *harness {
	t.Helper()
	r := &harness{T: t}
	synctest.Test(t, func(*testing.T) {
		l := loop.New(synctest.Wait)
		r.network = &fakeNetwork{l, map[string]func(link.Conn) link.Handler{}}
		r.events = &recordedEvents{loop: l}
		c.Name = cmp.Or(c.Name, "p03")
		c.Cores, c.Slots, c.Speed = max(c.Cores, 1), max(c.Slots, 1), cmp.Or(c.Speed, 1)
		r.Peer = New(c, Env{
			Loop: l, Fabric: r.network, Seed: 7, Observer: r.events, Registrar: r.events,
			Classes: []world.Class{
				{Name: "quote", Safe: true, Work: figure.Span(20 * time.Millisecond), ResponseBody: 100},
				{Name: "book", Work: figure.Span(40 * time.Millisecond), Spread: 1},
			},
		})
		if err := r.Start(true); err != nil {
			t.Error(err)
		}
		f(r)
		l.Run(context.Background(), 30*time.Second, nil)
	})
	return r
}

// clientConn is a connection from a node that records the received bytes and responses.
type clientConn struct {
	loop        *loop.Loop
	parser      *http1.Parser
	conn        link.Conn
	firstByteAt time.Duration // time of the first received bytes
	endedAt     time.Duration
	err         error // the error with which the connection ended
	raw         []byte
	responses   []*http1.Message
	parseErr    error // error of the HTTP parser
}

func (a *clientConn) Up(link.Conn) {}
func (a *clientConn) Data(_ link.Conn, b []byte) {
	if a.firstByteAt == 0 {
		a.firstByteAt = a.loop.Now()
	}
	a.raw = append(a.raw, b...)
	a.parser.Feed(b)
	for m, err := a.parser.Next(); m != nil || !errors.Is(err, a.parseErr); m, err = a.parser.Next() {
		if a.parseErr = err; m != nil {
			a.responses = append(a.responses, m)
		}
	}
}

func (a *clientConn) End(c link.Conn, err error) {
	a.err, a.endedAt = err, a.loop.Now()
	c.Close()
}

// status returns the status of the only response; 0: there is none, or more than one.
func (a *clientConn) status() int {
	if len(a.responses) != 1 {
		return 0
	}
	return a.responses[0].Status
}

// send opens a connection at the given time and writes texts on it.
func (r *harness) send(at time.Duration, texts ...string) *clientConn {
	a := &clientConn{loop: r.network.loop, parser: http1.NewResponseParser()}
	r.conns = append(r.conns, a)
	r.at(at, func() {
		a.conn = r.network.Dial("n1", r.Addr(), time.Second, a)
		r.at(at+2*networkDelay, func() {
			for _, text := range texts {
				a.conn.Write([]byte(text))
			}
		})
	})
	return a
}

func (r *harness) at(at time.Duration, f func()) { r.network.loop.At(at, f) }

// sendQuotes sends n quote requests, the first at the given time and one every gap.
func (r *harness) sendQuotes(n int, at, gap time.Duration) {
	for i := range n {
		r.send(at+time.Duration(i)*gap, quote(fmt.Sprintf("c%d-%v", i, at)))
	}
}

// quote returns a request of class quote with additional header fields.
func quote(id string, fields ...string) string {
	return fmt.Sprintf("GET /api?user=%s HTTP/1.1\r\nHost: p\r\nX-Call-Id: %s\r\nX-Call-Class: quote\r\n%s\r\n",
		strings.TrimLeft(id, "0123456789"), id, strings.Join(fields, ""))
}

// statuses counts the connections by status, with 0 for those without exactly one response.
func (r *harness) statuses() (n map[int]int) {
	n = map[int]int{}
	for _, a := range r.conns {
		n[a.status()]++
	}
	return n
}

// expect fails the test if got and want differ in their printed form.
func (r *harness) expect(what string, got, want any) {
	r.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		r.Errorf("%s: %v, want %v", what, got, want)
	}
}

// expectNear fails the test if got deviates from want by more than a share of want.
func (r *harness) expectNear(what string, got, want time.Duration, share float64) {
	r.Helper()
	if d := (got - want).Abs(); d.Seconds() > share*want.Seconds() {
		r.Errorf("%s: %v, want about %v", what, got, want)
	}
}
