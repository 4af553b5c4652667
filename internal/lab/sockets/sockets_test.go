package sockets

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
)

// testNetwork is a network whose loop runs. Its fields are the loop's.
type testNetwork struct {
	t    *testing.T
	net  *Net
	loop *loop.Loop
	tap  tap
}

func newTestNetwork(t *testing.T) *testNetwork {
	r := &testNetwork{t: t, loop: loop.New(nil)}
	r.net = New(r.loop, &r.tap)
	r.net.AddNode("n1")
	ctx, stop := context.WithCancel(context.Background())
	over := make(chan struct{})
	go func() {
		r.loop.Run(ctx, time.Hour, nil)
		close(over)
	}()
	t.Cleanup(func() {
		stop()
		<-over
		r.net.Close() // hangs if a goroutine does
	})
	return r
}

// onLoop runs f on the loop.
func (r *testNetwork) onLoop(f func()) {
	r.t.Helper()
	if !r.net.runOnLoop(f) {
		r.t.Fatal("the network is closed")
	}
}

type tap struct{ lines []string }

func (t *tap) Observe(c link.Event) { t.lines = append(t.lines, c.Kind.String()+" "+c.Note) }

// recordingHandler is one end's Handler, which tells what it hears: up, =bytes, or the end's error.
type recordingHandler struct {
	conn   link.Conn
	events chan string
	echo   bool
}

func newRecordingHandler() *recordingHandler {
	return &recordingHandler{events: make(chan string, 1000)}
}

func (e *recordingHandler) Up(link.Conn) { e.events <- "up" }

func (e *recordingHandler) Data(c link.Conn, b []byte) {
	if e.echo {
		c.Write(b)
	}
	e.events <- "=" + string(b)
}

func (e *recordingHandler) End(_ link.Conn, err error) { e.events <- err.Error() }

func receive[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(20 * time.Second):
		t.Fatal("nothing came")
	}
	return v
}

func (e *recordingHandler) expect(t *testing.T, want ...string) {
	t.Helper()
	for _, w := range want {
		if got := receive(t, e.events); got != w {
			t.Fatalf("heard %q, not %q", got, w)
		}
	}
}

// listen takes connections at an address and gives out their ends.
func (r *testNetwork) listen(addr string) chan *recordingHandler {
	ends := make(chan *recordingHandler, 100)
	r.onLoop(func() {
		_, err := r.net.Listen(addr, func(c link.Conn) link.Handler {
			e := newRecordingHandler()
			e.conn = c
			ends <- e
			return e
		})
		if err != nil {
			r.t.Error(err)
		}
	})
	return ends
}

// connect is a connection between two of the world's.
func (r *testNetwork) connect() (a, b *recordingHandler) {
	ends := r.listen("p1:9000")
	a = newRecordingHandler()
	r.onLoop(func() { a.conn = r.net.Dial("c1", "p1:9000", time.Minute, a) })
	a.expect(r.t, "up")
	return a, receive(r.t, ends)
}

// dialFromNode is a plain connection of the node's to an address of the world's.
func (r *testNetwork) dialFromNode(addr string) net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.net.MapAddress("n1", addr))
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	return c
}

func expectBytes(t *testing.T, c net.Conn, want string) {
	t.Helper()
	b := make([]byte, len(want))
	if _, err := io.ReadFull(c, b); err != nil || string(b) != want {
		t.Fatalf("read %q, not %q: %v", b, want, err)
	}
}

func TestBytesAndEnds(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(a, b *recordingHandler)
		b    []string // what b hears
		a    []string
	}{
		{"bytes, then a half close", func(a, _ *recordingHandler) { a.conn.Write([]byte("one")); a.conn.CloseWrite() },
			[]string{"=one", link.ErrEOF.Error()}, nil},
		{"close", func(a, b *recordingHandler) { b.conn.Write([]byte("two")); b.conn.Close() }, nil,
			[]string{"=two", link.ErrEOF.Error()}},
		{"reset", func(a, _ *recordingHandler) { a.conn.Reset() }, []string{link.ErrReset.Error()}, nil},
		{"kill", func(a, _ *recordingHandler) { a.conn.(*conn).net.Kill("p1") }, nil, []string{link.ErrReset.Error()}},
		{"kill of the one that dialed", func(a, _ *recordingHandler) { a.conn.(*conn).net.Kill("c1") },
			[]string{link.ErrReset.Error()}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestNetwork(t)
			a, b := r.connect()
			r.onLoop(func() { c.do(a, b) })
			b.expect(t, c.b...)
			a.expect(t, c.a...)
		})
	}
}

// Half a connection still carries bytes the other way.
func TestHalfClose(t *testing.T) {
	r := newTestNetwork(t)
	a, b := r.connect()
	r.onLoop(func() { a.conn.CloseWrite() })
	b.expect(t, link.ErrEOF.Error())
	r.onLoop(func() { b.conn.Write([]byte("late")); b.conn.Close() })
	a.expect(t, "=late", link.ErrEOF.Error())
	r.onLoop(func() {
		a.conn.Close()
		if n := len(r.net.conns); n != 0 {
			t.Errorf("%d connections are left", n)
		}
		lines := strings.Join(r.tap.lines, "\n")
		if !strings.Contains(lines, "sent") || !strings.Contains(lines, "arrived") {
			t.Errorf("the tap saw %s", lines)
		}
	})
}

// Guards the address of a process that starts again, and what is heard while there is none.
func TestListenAgain(t *testing.T) {
	r := newTestNetwork(t)
	at := r.net.Resolve("p1:9000")
	dials := func(want string) {
		t.Helper()
		a := newRecordingHandler()
		r.onLoop(func() { r.net.Dial("c1", "p1:9000", time.Minute, a) })
		a.expect(t, want)
	}
	dials(link.ErrRefused.Error())
	r.listen("p1:9000")
	r.onLoop(func() {
		if _, err := r.net.Listen("p1:9000", nil); err == nil {
			t.Error("two listen at one address")
		}
	})
	dials("up")
	r.onLoop(func() { r.net.Kill("p1") })
	dials(link.ErrRefused.Error())
	r.listen("p1:9000")
	dials("up")
	if now := r.net.Resolve("p1:9000"); now != at {
		t.Errorf("at %s, and then at %s", at, now)
	}
	if other := r.net.MapAddress("n1", "p1:9000"); other == at {
		t.Error("a guest is not told from others")
	}
}

// Guards backpressure: an end that is held reads nothing, and loses nothing; large writes arrive whole.
func TestPauseReading(t *testing.T) {
	r := newTestNetwork(t)
	ends := r.listen("p1:9000")
	c := r.dialFromNode("p1:9000")
	b := receive(t, ends)
	big := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	r.onLoop(func() { b.conn.PauseReading(true) })
	c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	sent, err := c.Write(big)
	if err == nil {
		t.Fatal("a held end took 16 MiB")
	}
	r.onLoop(func() {
		if len(b.events) > 0 {
			t.Error("a held end heard something")
		}
		b.conn.PauseReading(false)
	})
	for got := 0; got < sent; {
		got += len(receive(t, b.events)) - 1
	}
	r.onLoop(func() { b.conn.Write(big); b.conn.Close() })
	if back, err := io.ReadAll(c); err != nil || !bytes.Equal(back, big) {
		t.Errorf("%d bytes came back: %v", len(back), err)
	}
}

// A connection says which node it is of; one that falls silent stays open, and is given back at its end.
func TestHush(t *testing.T) {
	r := newTestNetwork(t)
	ends := r.listen("p1:9000")
	one, two := r.dialFromNode("p1:9000"), r.dialFromNode("p1:9000")
	a, b := receive(t, ends), receive(t, ends)
	if a.conn.ID() != "n1>p1#1" || b.conn.ID() != "n1>p1#2" {
		t.Fatalf("%s and %s", a.conn.ID(), b.conn.ID())
	}
	r.onLoop(func() {
		r.net.Hush(func(id string) bool { return id == "n1>p1#1" })
		a.conn.Write([]byte("lost"))
		a.conn.Close()
		b.conn.Write([]byte("kept"))
	})
	expectBytes(t, two, "kept")
	one.Write([]byte("hello"))
	one.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if k, err := one.Read(make([]byte, 9)); k > 0 || !isTimeout(err) {
		t.Errorf("a silent connection gave %d bytes, %v", k, err)
	}
	one.Close()
	for gone := false; !gone; { // its end is read by and by
		r.onLoop(func() { gone = r.net.conns["n1>p1#1"] == nil })
	}
}

func isTimeout(err error) bool {
	var late net.Error
	return errors.As(err, &late) && late.Timeout()
}

func TestHushNew(t *testing.T) {
	r := newTestNetwork(t)
	ends := r.listen("p1:9000")
	r.onLoop(func() { r.net.HushNew(1, func(host string) bool { return host == "p1" }) })
	c := r.dialFromNode("p1:9000")
	b := receive(t, ends)
	for range maxRequestsUntilSilent {
		c.Write([]byte("ask"))
		b.expect(t, "=ask") // the request always comes
		r.onLoop(func() { b.conn.Write([]byte("answer")) })
		c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if k, err := c.Read(make([]byte, 99)); k == 0 {
			if !isTimeout(err) {
				t.Error(err)
			}
			return
		}
	}
	t.Error("it never fell silent")
}

// A machine that vanishes says nothing, not even that nobody listens; back again, it knows its connections no more.
func TestVanish(t *testing.T) {
	r := newTestNetwork(t)
	ends := r.listen("p1:9000")
	old := r.dialFromNode("p1:9000")
	a := receive(t, ends)
	r.onLoop(func() { r.net.Vanish("p1") })
	dial := func() error {
		c, err := net.DialTimeout("tcp", r.net.MapAddress("n1", "p1:9000"), 100*time.Millisecond)
		if err == nil {
			c.Close()
		}
		return err
	}
	for range 5 { // one may stand in the queue of what is not accepted
		if dial(); isTimeout(dial()) {
			break
		}
	}
	if err := dial(); !isTimeout(err) {
		t.Errorf("a vanished machine was reached: %v", err)
	}
	r.onLoop(func() { r.net.Kill("p1") })
	if err := dial(); !isTimeout(err) {
		t.Errorf("a vanished machine without a process answered: %v", err)
	}
	ends = r.listen("p1:9000") // the process starts again, unheard
	r.onLoop(func() { r.net.Return("p1") })
	if _, err := old.Read(make([]byte, 9)); err == nil || isTimeout(err) {
		t.Errorf("an old connection: %v", err)
	}
	a.expect(t)
	c := r.dialFromNode("p1:9000")
	c.Write([]byte("hello"))
	for b := receive(t, ends); ; b = receive(t, ends) { // whoever came meanwhile stands before it
		if receive(t, b.events) == "=hello" {
			return
		}
	}
}

// A short cut delays; a connection that lost something for longer stays silent.
func TestPartition(t *testing.T) {
	is := func(one string) func(string) bool { return func(host string) bool { return host == one } }
	for _, long := range []bool{false, true} {
		r := newTestNetwork(t)
		ends := r.listen("p1:9000")
		c := r.dialFromNode("p1:9000")
		b := receive(t, ends)
		var heal func()
		r.onLoop(func() {
			heal = r.net.Cut(is("n1"), is("p1"))
			b.conn.Write([]byte("late"))
			if long {
				b.conn.(*conn).blockedSince -= 2 * retransmitLimit // as if it had been written then
			}
		})
		if _, err := net.DialTimeout("tcp", r.net.Resolve("p1:9000"), time.Minute); err != nil {
			t.Errorf("others are cut off: %v", err)
		}
		c.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
		if k, err := c.Read(make([]byte, 9)); k > 0 || !isTimeout(err) {
			t.Errorf("through the cut: %d bytes, %v", k, err)
		}
		r.onLoop(heal)
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		if long {
			r.onLoop(func() {
				if !b.conn.(*conn).silent {
					t.Error("what was lost for long came all the same")
				}
			})
			continue
		}
		expectBytes(t, c, "late")
	}
}
