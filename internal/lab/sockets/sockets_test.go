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

// testNetwork is a network whose loop is running. Its fields belong to the loop.
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
	ended := make(chan struct{})
	go func() {
		r.loop.Run(ctx, time.Hour, nil)
		close(ended)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
		r.net.Close() // blocks if a goroutine does not end
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

func (t *tap) Observe(event link.Event) {
	t.lines = append(t.lines, event.Kind.String()+" "+event.Note)
}

// recordingHandler is a link.Handler that sends each notification to events: "up", "=" and the bytes, or the text of
// the error.
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
		t.Fatal("nothing was received within 20s")
	}
	return v
}

func (e *recordingHandler) expect(t *testing.T, want ...string) {
	t.Helper()
	for _, w := range want {
		if got := receive(t, e.events); got != w {
			t.Fatalf("received notification %q, want %q", got, w)
		}
	}
}

// listen accepts connections at an address and sends their handlers to the channel that it returns.
func (r *testNetwork) listen(addr string) chan *recordingHandler {
	handlers := make(chan *recordingHandler, 100)
	r.onLoop(func() {
		_, err := r.net.Listen(addr, func(c link.Conn) link.Handler {
			e := newRecordingHandler()
			e.conn = c
			handlers <- e
			return e
		})
		if err != nil {
			r.t.Error(err)
		}
	})
	return handlers
}

// connect returns both ends of a connection between two modelled machines.
func (r *testNetwork) connect() (a, b *recordingHandler) {
	handlers := r.listen("p1:9000")
	a = newRecordingHandler()
	r.onLoop(func() { a.conn = r.net.Dial("c1", "p1:9000", time.Minute, a) })
	a.expect(r.t, "up")
	return a, receive(r.t, handlers)
}

// dialFromNode returns a TCP connection of node n1 to a modelled address.
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
		t.Fatalf("read %q, want %q: %v", b, want, err)
	}
}

func TestBytesAndEnds(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(a, b *recordingHandler)
		b    []string // notifications that b receives
		a    []string
	}{
		{"bytes, then a half close", func(a, _ *recordingHandler) { a.conn.Write([]byte("one")); a.conn.CloseWrite() },
			[]string{"=one", link.ErrEOF.Error()}, nil},
		{"close", func(a, b *recordingHandler) { b.conn.Write([]byte("two")); b.conn.Close() }, nil,
			[]string{"=two", link.ErrEOF.Error()}},
		{"reset", func(a, _ *recordingHandler) { a.conn.Reset() }, []string{link.ErrReset.Error()}, nil},
		{"kill", func(a, _ *recordingHandler) { a.conn.(*conn).net.Kill("p1") }, nil, []string{link.ErrReset.Error()}},
		{"kill of the dialing machine", func(a, _ *recordingHandler) { a.conn.(*conn).net.Kill("c1") },
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

// TestHalfClose checks that a connection that is closed in one direction still carries bytes in the other.
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
			t.Errorf("%d connections are left, want 0", n)
		}
		lines := strings.Join(r.tap.lines, "\n")
		if !strings.Contains(lines, "sent") || !strings.Contains(lines, "arrived") {
			t.Errorf("the tap observed %s, want sent and arrived", lines)
		}
	})
}

// TestListenAgain checks that a process that starts again listens at the same real address, and that dials are
// refused while there is none.
func TestListenAgain(t *testing.T) {
	r := newTestNetwork(t)
	at := r.net.Resolve("p1:9000")
	expectDial := func(want string) {
		t.Helper()
		a := newRecordingHandler()
		r.onLoop(func() { r.net.Dial("c1", "p1:9000", time.Minute, a) })
		a.expect(t, want)
	}
	expectDial(link.ErrRefused.Error())
	r.listen("p1:9000")
	r.onLoop(func() {
		if _, err := r.net.Listen("p1:9000", nil); err == nil {
			t.Error("a second listener at the address was accepted")
		}
	})
	expectDial("up")
	r.onLoop(func() { r.net.Kill("p1") })
	expectDial(link.ErrRefused.Error())
	r.listen("p1:9000")
	expectDial("up")
	if now := r.net.Resolve("p1:9000"); now != at {
		t.Errorf("real address %s before the restart and %s after it, want the same", at, now)
	}
	if other := r.net.MapAddress("n1", "p1:9000"); other == at {
		t.Error("the node reaches the address at the same port as other programs")
	}
}

// TestPauseReading guards backpressure: a paused end reads nothing and loses nothing, and large writes arrive
// completely.
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
		t.Fatal("16 MiB were written to a paused end, want a timeout")
	}
	r.onLoop(func() {
		if len(b.events) > 0 {
			t.Error("a paused end was notified")
		}
		b.conn.PauseReading(false)
	})
	for got := 0; got < sent; {
		got += len(receive(t, b.events)) - 1
	}
	r.onLoop(func() { b.conn.Write(big); b.conn.Close() })
	if back, err := io.ReadAll(c); err != nil || !bytes.Equal(back, big) {
		t.Errorf("the node read %d bytes, want those written: %v", len(back), err)
	}
}

// TestHush checks that the connection's ID names the node, and that a connection that fell silent stays open and is
// forgotten when the other side closes it.
func TestHush(t *testing.T) {
	r := newTestNetwork(t)
	ends := r.listen("p1:9000")
	one, two := r.dialFromNode("p1:9000"), r.dialFromNode("p1:9000")
	a, b := receive(t, ends), receive(t, ends)
	if a.conn.ID() != "n1>p1#1" || b.conn.ID() != "n1>p1#2" {
		t.Fatalf("connection IDs %s and %s, want n1>p1#1 and n1>p1#2", a.conn.ID(), b.conn.ID())
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
		t.Errorf("read of a silent connection: %d bytes, %v; want a timeout", k, err)
	}
	one.Close()
	for forgotten := false; !forgotten; { // the close is read at some later time
		r.onLoop(func() { forgotten = r.net.conns["n1>p1#1"] == nil })
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func TestHushNew(t *testing.T) {
	r := newTestNetwork(t)
	ends := r.listen("p1:9000")
	r.onLoop(func() { r.net.HushNew(1, func(host string) bool { return host == "p1" }) })
	c := r.dialFromNode("p1:9000")
	b := receive(t, ends)
	for range maxRequestsUntilSilent {
		c.Write([]byte("ask"))
		b.expect(t, "=ask") // the request always arrives
		r.onLoop(func() { b.conn.Write([]byte("answer")) })
		c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if k, err := c.Read(make([]byte, 99)); k == 0 {
			if !isTimeout(err) {
				t.Error(err)
			}
			return
		}
	}
	t.Error("the connection did not fall silent")
}

// TestVanish checks that dials to a vanished machine time out even if nobody listens there, and that its earlier
// connections are reset after its return.
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
	for range 5 { // one connection may be in the backlog
		if dial(); isTimeout(dial()) {
			break
		}
	}
	if err := dial(); !isTimeout(err) {
		t.Errorf("dial to a vanished machine: %v, want a timeout", err)
	}
	r.onLoop(func() { r.net.Kill("p1") })
	if err := dial(); !isTimeout(err) {
		t.Errorf("dial to a vanished machine without a process: %v, want a timeout", err)
	}
	ends = r.listen("p1:9000") // the process starts again while its machine is unreachable
	r.onLoop(func() { r.net.Return("p1") })
	if _, err := old.Read(make([]byte, 9)); err == nil || isTimeout(err) {
		t.Errorf("read of a connection from before the return: %v, want a reset", err)
	}
	a.expect(t)
	c := r.dialFromNode("p1:9000")
	c.Write([]byte("hello"))
	for b := receive(t, ends); ; b = receive(t, ends) { // the dials made meanwhile precede it
		if receive(t, b.events) == "=hello" {
			return
		}
	}
}

// TestPartition checks that a short partition delays data, and that a connection on which data was blocked for longer
// stays silent.
func TestPartition(t *testing.T) {
	hostIs := func(one string) func(string) bool { return func(host string) bool { return host == one } }
	for _, long := range []bool{false, true} {
		r := newTestNetwork(t)
		ends := r.listen("p1:9000")
		c := r.dialFromNode("p1:9000")
		b := receive(t, ends)
		var heal func()
		r.onLoop(func() {
			heal = r.net.Cut(hostIs("n1"), hostIs("p1"))
			b.conn.Write([]byte("late"))
			if long {
				b.conn.(*conn).blockedSince -= 2 * retransmitLimit // as if it had been written that much earlier
			}
		})
		if _, err := net.DialTimeout("tcp", r.net.Resolve("p1:9000"), time.Minute); err != nil {
			t.Errorf("dial from a machine outside the partition: %v", err)
		}
		c.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
		if k, err := c.Read(make([]byte, 9)); k > 0 || !isTimeout(err) {
			t.Errorf("read during the partition: %d bytes, %v; want a timeout", k, err)
		}
		r.onLoop(heal)
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		if long {
			r.onLoop(func() {
				if !b.conn.(*conn).silent {
					t.Error("the connection is not silent though data was blocked for longer than retransmitLimit")
				}
			})
			continue
		}
		expectBytes(t, c, "late")
	}
}
