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

// rig is a network whose loop runs. Its fields are the loop's.
type rig struct {
	t    *testing.T
	n    *Net
	loop *loop.Loop
	tap  tap
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, loop: loop.New(nil)}
	r.n = New(r.loop, &r.tap)
	r.n.Guest("n1")
	ctx, stop := context.WithCancel(context.Background())
	over := make(chan struct{})
	go func() {
		r.loop.Run(ctx, time.Hour, nil)
		close(over)
	}()
	t.Cleanup(func() {
		stop()
		<-over
		r.n.Close() // hangs if a goroutine does
	})
	return r
}

// on runs f on the loop.
func (r *rig) on(f func()) {
	r.t.Helper()
	if !r.n.do(f) {
		r.t.Fatal("the network is closed")
	}
}

type tap struct{ lines []string }

func (t *tap) Observe(c link.Event) { t.lines = append(t.lines, c.Kind.String()+" "+c.Note) }

// end is one end's Handler, which tells what it hears: up, =bytes, or the end's error.
type end struct {
	conn  link.Conn
	heard chan string
	echo  bool
}

func newEnd() *end { return &end{heard: make(chan string, 1000)} }

func (e *end) Up(link.Conn) { e.heard <- "up" }

func (e *end) Data(c link.Conn, b []byte) {
	if e.echo {
		c.Write(b)
	}
	e.heard <- "=" + string(b)
}

func (e *end) End(_ link.Conn, err error) { e.heard <- err.Error() }

func wait[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(20 * time.Second):
		t.Fatal("nothing came")
	}
	return v
}

func (e *end) hears(t *testing.T, want ...string) {
	t.Helper()
	for _, w := range want {
		if got := wait(t, e.heard); got != w {
			t.Fatalf("heard %q, not %q", got, w)
		}
	}
}

// listens takes connections at an address and gives out their ends.
func (r *rig) listens(addr string) chan *end {
	ends := make(chan *end, 100)
	r.on(func() {
		_, err := r.n.Listen(addr, func(c link.Conn) link.Handler {
			e := newEnd()
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

// pair is a connection between two of the world's.
func (r *rig) pair() (a, b *end) {
	ends := r.listens("p1:9000")
	a = newEnd()
	r.on(func() { a.conn = r.n.Dial("c1", "p1:9000", time.Minute, a) })
	a.hears(r.t, "up")
	return a, wait(r.t, ends)
}

// guest is a plain connection of the node's to an address of the world's.
func (r *rig) guest(addr string) net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.n.MapAddress("n1", addr))
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	return c
}

func read(t *testing.T, c net.Conn, want string) {
	t.Helper()
	b := make([]byte, len(want))
	if _, err := io.ReadFull(c, b); err != nil || string(b) != want {
		t.Fatalf("read %q, not %q: %v", b, want, err)
	}
}

func TestBytesAndEnds(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(a, b *end)
		b    []string // what b hears
		a    []string
	}{
		{"bytes, then a half close", func(a, _ *end) { a.conn.Write([]byte("one")); a.conn.CloseWrite() },
			[]string{"=one", link.ErrEOF.Error()}, nil},
		{"close", func(a, b *end) { b.conn.Write([]byte("two")); b.conn.Close() }, nil,
			[]string{"=two", link.ErrEOF.Error()}},
		{"reset", func(a, _ *end) { a.conn.Reset() }, []string{link.ErrReset.Error()}, nil},
		{"kill", func(a, _ *end) { a.conn.(*conn).n.Kill("p1") }, nil, []string{link.ErrReset.Error()}},
		{"kill of the one that dialed", func(a, _ *end) { a.conn.(*conn).n.Kill("c1") },
			[]string{link.ErrReset.Error()}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			a, b := r.pair()
			r.on(func() { c.do(a, b) })
			b.hears(t, c.b...)
			a.hears(t, c.a...)
		})
	}
}

// Half a connection still carries bytes the other way.
func TestHalfClose(t *testing.T) {
	r := newRig(t)
	a, b := r.pair()
	r.on(func() { a.conn.CloseWrite() })
	b.hears(t, link.ErrEOF.Error())
	r.on(func() { b.conn.Write([]byte("late")); b.conn.Close() })
	a.hears(t, "=late", link.ErrEOF.Error())
	r.on(func() {
		a.conn.Close()
		if n := len(r.n.conns); n != 0 {
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
	r := newRig(t)
	at := r.n.Resolve("p1:9000")
	dials := func(want string) {
		t.Helper()
		a := newEnd()
		r.on(func() { r.n.Dial("c1", "p1:9000", time.Minute, a) })
		a.hears(t, want)
	}
	dials(link.ErrRefused.Error())
	r.listens("p1:9000")
	r.on(func() {
		if _, err := r.n.Listen("p1:9000", nil); err == nil {
			t.Error("two listen at one address")
		}
	})
	dials("up")
	r.on(func() { r.n.Kill("p1") })
	dials(link.ErrRefused.Error())
	r.listens("p1:9000")
	dials("up")
	if now := r.n.Resolve("p1:9000"); now != at {
		t.Errorf("at %s, and then at %s", at, now)
	}
	if other := r.n.MapAddress("n1", "p1:9000"); other == at {
		t.Error("a guest is not told from others")
	}
}

// Guards backpressure: an end that is held reads nothing, and loses nothing; large writes arrive whole.
func TestHold(t *testing.T) {
	r := newRig(t)
	ends := r.listens("p1:9000")
	c := r.guest("p1:9000")
	b := wait(t, ends)
	big := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	r.on(func() { b.conn.PauseReading(true) })
	c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	sent, err := c.Write(big)
	if err == nil {
		t.Fatal("a held end took 16 MiB")
	}
	r.on(func() {
		if len(b.heard) > 0 {
			t.Error("a held end heard something")
		}
		b.conn.PauseReading(false)
	})
	for got := 0; got < sent; {
		got += len(wait(t, b.heard)) - 1
	}
	r.on(func() { b.conn.Write(big); b.conn.Close() })
	if back, err := io.ReadAll(c); err != nil || !bytes.Equal(back, big) {
		t.Errorf("%d bytes came back: %v", len(back), err)
	}
}

// A connection says which node it is of; one that falls silent stays open, and is given back at its end.
func TestHush(t *testing.T) {
	r := newRig(t)
	ends := r.listens("p1:9000")
	one, two := r.guest("p1:9000"), r.guest("p1:9000")
	a, b := wait(t, ends), wait(t, ends)
	if a.conn.ID() != "n1>p1#1" || b.conn.ID() != "n1>p1#2" {
		t.Fatalf("%s and %s", a.conn.ID(), b.conn.ID())
	}
	r.on(func() {
		r.n.Hush(func(id string) bool { return id == "n1>p1#1" })
		a.conn.Write([]byte("lost"))
		a.conn.Close()
		b.conn.Write([]byte("kept"))
	})
	read(t, two, "kept")
	one.Write([]byte("hello"))
	one.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if k, err := one.Read(make([]byte, 9)); k > 0 || !isTimeout(err) {
		t.Errorf("a silent connection gave %d bytes, %v", k, err)
	}
	one.Close()
	for gone := false; !gone; { // its end is read by and by
		r.on(func() { gone = r.n.conns["n1>p1#1"] == nil })
	}
}

func isTimeout(err error) bool {
	var late net.Error
	return errors.As(err, &late) && late.Timeout()
}

func TestHushNew(t *testing.T) {
	r := newRig(t)
	ends := r.listens("p1:9000")
	r.on(func() { r.n.HushNew(1, func(host string) bool { return host == "p1" }) })
	c := r.guest("p1:9000")
	b := wait(t, ends)
	for range mostTurns {
		c.Write([]byte("ask"))
		b.hears(t, "=ask") // the request always comes
		r.on(func() { b.conn.Write([]byte("answer")) })
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
	r := newRig(t)
	ends := r.listens("p1:9000")
	old := r.guest("p1:9000")
	a := wait(t, ends)
	r.on(func() { r.n.Vanish("p1") })
	dial := func() error {
		c, err := net.DialTimeout("tcp", r.n.MapAddress("n1", "p1:9000"), 100*time.Millisecond)
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
	r.on(func() { r.n.Kill("p1") })
	if err := dial(); !isTimeout(err) {
		t.Errorf("a vanished machine without a process answered: %v", err)
	}
	ends = r.listens("p1:9000") // the process starts again, unheard
	r.on(func() { r.n.Return("p1") })
	if _, err := old.Read(make([]byte, 9)); err == nil || isTimeout(err) {
		t.Errorf("an old connection: %v", err)
	}
	a.hears(t)
	c := r.guest("p1:9000")
	c.Write([]byte("hello"))
	for b := wait(t, ends); ; b = wait(t, ends) { // whoever came meanwhile stands before it
		if wait(t, b.heard) == "=hello" {
			return
		}
	}
}

// A short cut delays; a connection that lost something for longer stays silent.
func TestCut(t *testing.T) {
	is := func(one string) func(string) bool { return func(host string) bool { return host == one } }
	for _, long := range []bool{false, true} {
		r := newRig(t)
		ends := r.listens("p1:9000")
		c := r.guest("p1:9000")
		b := wait(t, ends)
		var heal func()
		r.on(func() {
			heal = r.n.Cut(is("n1"), is("p1"))
			b.conn.Write([]byte("late"))
			if long {
				b.conn.(*conn).waiting -= 2 * resends // as if it had been written then
			}
		})
		if _, err := net.DialTimeout("tcp", r.n.Resolve("p1:9000"), time.Minute); err != nil {
			t.Errorf("others are cut off: %v", err)
		}
		c.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
		if k, err := c.Read(make([]byte, 9)); k > 0 || !isTimeout(err) {
			t.Errorf("through the cut: %d bytes, %v", k, err)
		}
		r.on(heal)
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		if long {
			r.on(func() {
				if !b.conn.(*conn).silent {
					t.Error("what was lost for long came all the same")
				}
			})
			continue
		}
		read(t, c, "late")
	}
}
