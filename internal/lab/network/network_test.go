package network

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
	"olivebridge/internal/lab/world"
)

const ms = time.Millisecond

func TestPiecesReassemble(t *testing.T) {
	for _, c := range []world.Net{{Jitter: 0.5}, {Jitter: 0.5, Pieces: 0.7, Rate: 1e7}} {
		r := rand.New(rand.NewPCG(1, 2))
		var toPeer, toNode [300][]byte
		for i := range toPeer {
			for _, messages := range []*[300][]byte{&toPeer, &toNode} {
				messages[i] = bytes.Repeat([]byte{byte(r.Uint32())}, 1+r.IntN(3000))
			}
		}
		peer := &recordingHandler{end: link.Conn.Close}
		l := runNetwork(t, c, func(l *testNetwork) {
			l.listen("p1:90", peer)
			for i, b := range toNode {
				l.at(time.Duration(i)*ms+10*ms, func() { peer.conn.Write(b) })
			}
			l.dialFromNode("p1:90", func(p *port) {
				for _, b := range toPeer {
					p.Write(b)
					time.Sleep(ms)
				}
				time.Sleep(100 * ms)
				p.CloseWrite()
				got, err := io.ReadAll(p)
				if want := bytes.Join(toNode[:], nil); err != nil || !bytes.Equal(got, want) {
					t.Errorf("%+v: the node read %d bytes, want the %d written, in order; error %v", c,
						len(got), len(want), err)
				}
			})
		})
		want := string(bytes.Join(toPeer[:], nil))
		if string(peer.received) != want || l.bytes["n1>p1#1 arrived false"] != want {
			t.Errorf("%+v: %d bytes arrived at the peer, want the %d written, in order", c, len(peer.received), len(want))
		}
		if split := l.count(" arrived") > l.count(" sent"); split != (c.Pieces > 0) {
			t.Errorf("%+v: %d writes arrived as %d pieces, want more pieces than writes only if Pieces > 0", c,
				l.count(" sent"), l.count(" arrived"))
		}
	}
}

// TestClientConnError checks the error with which a modelled client's connection to a node ends: it tells the client
// whether its request was read.
func TestClientConnError(t *testing.T) {
	read := func(p *port) { p.Read(make([]byte, 9)) }
	wait := func() { time.Sleep(5 * ms) }
	kill := func(l *testNetwork) func() { return func() { l.Kill("n1") } }
	tests := []struct {
		name       string
		node       func(l *testNetwork, p *port) // accepts the connection at 2 ms; the request arrives at 6 ms
		second     time.Duration                 // when the client writes again, after its first write at 4 ms; 0: never
		want       error
		closeEvent string // event of the node's close
	}{
		{"all read", func(_ *testNetwork, p *port) { read(p); p.Close() }, 0, link.ErrEOF, "shut"},
		{"half closed", func(_ *testNetwork, p *port) { p.CloseWrite(); read(p); p.Close() }, 0, link.ErrEOF, "fin"},
		{"unread", func(_ *testNetwork, p *port) { wait(); p.Close() }, 0, link.ErrUnread, "shut unread"},
		{"partly read", func(_ *testNetwork, p *port) { p.Read([]byte{0}); p.Close() }, 0, link.ErrUnread, "shut unread"},
		{"request crosses close", func(_ *testNetwork, p *port) { read(p); p.Close() }, 7 * ms, link.ErrUnread, "shut"},
		{"request after close", func(_ *testNetwork, p *port) { read(p); p.Close() }, 4*ms + ms/2, link.ErrUnread, "shut"},
		{"request before close", func(_ *testNetwork, p *port) { read(p); read(p); p.Close() }, 7 * ms, link.ErrEOF, "shut"},
		{"response first", func(_ *testNetwork, p *port) { p.Write([]byte("answer")); wait(); p.Close() }, 0,
			link.ErrUnread, "shut unread"},
		{"killed", func(l *testNetwork, p *port) { read(p); l.runOnLoop(kill(l)) }, 0, link.ErrReset, "broke killed"},
		{"killed unread", func(l *testNetwork, p *port) { wait(); l.runOnLoop(kill(l)) }, 0, link.ErrReset, "broke killed"},
	}
	for _, test := range tests {
		e := &recordingHandler{}
		l := runNetwork(t, world.Net{}, func(l *testNetwork) {
			l.Place("n1", "a", false)
			l.Place("c1", "a", true)
			e.up = func(c link.Conn) { c.Write([]byte("request")) }
			e.end = func(c link.Conn) {
				c.Write([]byte("late")) // causes a reset, which must not be reported
				l.loop.After(100*ms, c.Close)
			}
			l.dialAt(0, "n1:80", e)
			if test.second > 0 {
				l.at(test.second, func() { e.conn.Write([]byte("another")) })
			}
			l.acceptOnNode(func(p *port) { test.node(l, p) })
		})
		if len(e.endErrors) != 1 || e.endErrors[0] != test.want || l.count("c1>n1#1 "+test.closeEvent) == 0 {
			t.Errorf("%s: the client's handler received %v, want %v; event %q in %q", test.name, e.endErrors,
				test.want, test.closeEvent, l.events)
		}
		if test.name == "response first" && string(e.received) != "answer" {
			t.Errorf("%s: the client read %q, want \"answer\"", test.name, e.received)
		}
	}
}

func TestListenerCloseResetsUnaccepted(t *testing.T) {
	silent, late, requesting := &recordingHandler{}, &recordingHandler{}, &recordingHandler{
		up: func(c link.Conn) { c.Write([]byte("request")) }}
	l := runNetwork(t, world.Net{}, func(l *testNetwork) {
		listener, _ := l.Host("n1").Listen("n1:80")
		if _, err := l.Host("n1").Listen(":80"); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("second listener at the address: %v, want EADDRINUSE", err)
		}
		l.dialAt(0, "n1:80", silent)
		l.dialAt(0, "n1:80", requesting)
		l.dialAt(30*ms, "n1:80", late)
		go func() {
			time.Sleep(20 * ms)
			listener.Close()
			if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
				t.Errorf("accept after close: %v, want net.ErrClosed", err)
			}
		}()
	})
	if len(late.endErrors) != 1 || late.endErrors[0] != link.ErrRefused {
		t.Errorf("a dial after the close ended with %v, want one ErrRefused", late.endErrors)
	}
	if got := fmt.Sprint(silent.endErrors, requesting.endErrors); got !=
		fmt.Sprintf("[%v] [%v]", link.ErrReset, link.ErrUnread) {
		t.Errorf("the unaccepted connections ended with %v, want a reset and an unread reset; events %q", got, l.events)
	}
	if l.count("#2 open") != 2 || l.count("#2 read") != 0 {
		t.Errorf("the second connection was not opened at both ends, or was read: %q", l.events)
	}
}

// TestNodeAfterPeerEnds checks a node's reads and writes when its peer ends the connection: before the response,
// during it, or as the request arrives.
func TestNodeAfterPeerEnds(t *testing.T) {
	answer := func(c link.Conn) { c.Write([]byte("answer")) }
	tests := []struct {
		name string
		peer func(c link.Conn)
		got  string
		err  error // of the read
		then error // of one of two writes after the read: the first, or the second 5 ms later
		peek error
	}{
		{"unread", link.Conn.Close, "", syscall.ECONNRESET, syscall.ECONNRESET, syscall.ECONNRESET},
		{"close", func(c link.Conn) { answer(c); c.Close() }, "answer", nil, syscall.EPIPE, nil},
		{"end", func(c link.Conn) { answer(c); c.CloseWrite() }, "answer", nil, nil, nil},
		{"reset", link.Conn.Reset, "", syscall.ECONNRESET, syscall.ECONNRESET, syscall.ECONNRESET},
		{"reset during the response", func(c link.Conn) { answer(c); c.Reset() }, "answer",
			syscall.ECONNRESET, syscall.ECONNRESET, syscall.ECONNRESET},
	}
	for _, test := range tests {
		e := &recordingHandler{end: link.Conn.Close}
		runNetwork(t, world.Net{}, func(l *testNetwork) {
			l.listen("p1:90", e)
			l.at(2*ms, func() { e.conn.PauseReading(test.name == "unread") })
			l.at(4*ms, func() { test.peer(e.conn) })
			l.dialFromNode("p1:90", func(p *port) {
				if n, err := p.Peek(); n != 0 || err != syscall.EAGAIN {
					t.Errorf("%s: peek before the request: %d, %v; want 0, EAGAIN", test.name, n, err)
				}
				p.Write([]byte("request"))
				time.Sleep(5 * ms)
				if n, err := p.Peek(); n != len(test.got) || n == 0 && !errors.Is(err, test.peek) {
					t.Errorf("%s: peek after the end: %d, %v", test.name, n, err)
				}
				got, err := io.ReadAll(p)
				if string(got) != test.got || !errors.Is(err, test.err) {
					t.Errorf("%s: read %q, %v; want %q, %v", test.name, got, err, test.got, test.err)
				}
				if n, err := p.Peek(); n != 0 || !errors.Is(err, test.peek) {
					t.Errorf("%s: peek after reading everything: %d, %v", test.name, n, err)
				}
				_, err = p.Write([]byte("more"))
				time.Sleep(5 * ms)
				if _, second := p.Write([]byte("more")); !errors.Is(errors.Join(err, second), test.then) {
					t.Errorf("%s: writes returned %v, %v; want %v from one of them", test.name, err, second, test.then)
				}
			})
		})
	}
}

func TestDials(t *testing.T) {
	tests := []struct {
		name, to    string
		ctxTimeout  time.Duration // timeout of the context
		cancelAfter time.Duration // duration after which the context is canceled; 0: never
		want        error
		isTimeout   bool
		took        time.Duration
		peerError   error // error that the peer's handler receives
		openConns   int   // number of open connections at 2.5 ms
	}{
		{"accepted", "p1:90", 5 * ms, 0, nil, false, 2 * ms, link.ErrEOF, 1},
		{"nobody listens", "p1:91", 5 * ms, 0, syscall.ECONNREFUSED, false, 2 * ms, nil, 0},
		{"no machine", "p9:90", 5 * ms, 0, syscall.ECONNREFUSED, false, 2 * ms, nil, 0},
		{"vanished", "gone:90", 5 * ms, 0, context.DeadlineExceeded, true, 5 * ms, nil, 1},
		{"canceled", "p1:90", time.Hour, ms / 2, context.Canceled, false, ms / 2, link.ErrReset, 1},
		{"canceled half open", "p1:90", time.Hour, ms + ms/2, context.Canceled, false, ms + ms/2, link.ErrReset, 1},
		{"killed", "gone:90", time.Hour, 0, net.ErrClosed, false, 500 * ms, nil, 1},
	}
	for _, test := range tests {
		e := &recordingHandler{end: link.Conn.Close}
		l := runNetwork(t, world.Net{}, func(l *testNetwork) {
			l.listen("p1:90", e)
			l.Vanish("gone")
			l.at(500*ms, func() { l.Kill("n1") })
			l.at(2*ms+ms/2, func() {
				if l.OpenCount() != test.openConns {
					t.Errorf("%s: open connections %v, want %d", test.name, l.OpenIDs(), test.openConns)
				}
			})
			h := l.Host("n1")
			go func() {
				ctx, stop := context.WithTimeout(context.Background(), test.ctxTimeout)
				defer stop()
				if test.cancelAfter > 0 {
					time.AfterFunc(test.cancelAfter, stop)
				}
				c, err := h.Dial(ctx, test.to)
				took := l.loop.Now().Truncate(ms / 2)
				if !errors.Is(err, test.want) || (c == nil) != (err != nil) || took != test.took {
					t.Errorf("%s: dial returned %v after %v, want %v after %v", test.name, err, took, test.want, test.took)
				}
				if n, ok := err.(net.Error); err != nil && (!ok || n.Timeout() != test.isTimeout) {
					t.Errorf("%s: error %v: Timeout() = %v, or not a net.Error", test.name, err, !test.isTimeout)
				}
				if c != nil {
					if c.RemoteAddr().String() != "p1:90" || c.LocalAddr().String() != "n1:32769" {
						t.Errorf("%s: connection from %v to %v, want n1:32769 to p1:90", test.name, c.LocalAddr(), c.RemoteAddr())
					}
					c.Close()
				}
				time.Sleep(time.Second)
				_, dials := h.Dial(context.Background(), "p1:90")
				_, listens := h.Listen(":80")
				if !errors.Is(dials, net.ErrClosed) || !errors.Is(listens, net.ErrClosed) {
					t.Errorf("%s: killed process: dial returned %v and listen %v, want net.ErrClosed", test.name, dials, listens)
				}
				k, err := l.Host("n1").Listen(":80")
				if err != nil {
					t.Errorf("%s: listen of the new process: %v", test.name, err)
					return
				}
				k.Close()
			}()
		})
		if got := append(e.endErrors, nil)[0]; got != test.peerError || len(e.endErrors) > 1 {
			t.Errorf("%s: the peer's handler received %v, want %v", test.name, e.endErrors, test.peerError)
		}
		if fails := l.count(" fail"); (fails == 1) != (test.want != nil) {
			t.Errorf("%s: want one fail event exactly if the dial fails: %q", test.name, l.events)
		}
	}
}

// TestBlockedCallEnds checks that a blocked call on a port returns at once when the deadline is set to the past
// (which is how the upstream transport interrupts an attempt) or the port is closed, and otherwise at the deadline.
func TestBlockedCallEnds(t *testing.T) {
	wait := map[string]func(p *port) error{
		"read":  func(p *port) error { _, err := p.Read(make([]byte, 1)); return err },
		"write": func(p *port) error { _, err := p.Write(make([]byte, 2*windowSize)); return err },
		"read under lock": func(p *port) error {
			_, err := p.ReadUnderLock(make([]byte, 1), &sync.Mutex{}, func() error { return nil }, nil)
			return err
		},
	}
	in := func(p *port, d time.Duration) error { return p.SetDeadline(time.Now().Add(d)) }
	end := map[string]func(p *port) error{
		"past":   func(p *port) error { return p.SetDeadline(time.Unix(1, 0)) },
		"soon":   func(p *port) error { return in(p, 3*ms) },
		"sooner": func(p *port) error { return errors.Join(in(p, time.Hour), in(p, 3*ms)) },
		"later":  func(p *port) error { return errors.Join(in(p, ms), in(p, 3*ms)) },
		"close":  func(p *port) error { return errors.Join(in(p, time.Hour), p.Close()) },
		"kill":   func(p *port) error { p.net.loop.Post(loop.Key{}, func() { p.net.Kill("n1") }); return nil },
	}
	for what, call := range wait {
		for how, ends := range end {
			e := &recordingHandler{end: link.Conn.Close}
			runNetwork(t, world.Net{}, func(l *testNetwork) {
				l.listen("p1:90", e)
				l.at(3*ms, func() { e.conn.PauseReading(true) })
				l.at(time.Second, func() { e.conn.PauseReading(false) })
				l.dialFromNode("p1:90", func(p *port) {
					time.Sleep(5 * ms)
					ended := make(chan error)
					go func() { ended <- call(p) }()
					time.Sleep(20 * ms)
					start := time.Now()
					if err := ends(p); err != nil {
						t.Errorf("%s, %s: ending the call: %v", what, how, err)
					}
					err := <-ended
					closed := how == "close" || how == "kill"
					took := 0 * ms
					if how == "soon" || how == "sooner" || how == "later" {
						took = 3 * ms
					}
					if time.Since(start) != took || closed && !errors.Is(err, net.ErrClosed) ||
						!closed && !errors.Is(err, os.ErrDeadlineExceeded) {
						t.Errorf("%s, %s: the call returned %v after %v", what, how, err, time.Since(start))
					}
					if p.SetDeadline(time.Time{}); !closed && what == "read" {
						l.runOnLoop(func() { e.conn.Write([]byte("x")) })
						if err := call(p); err != nil {
							t.Errorf("%s, %s: read without a deadline: %v", what, how, err)
						}
					}
				})
			})
		}
	}
}

func TestReadUnderLock(t *testing.T) {
	e := &recordingHandler{end: link.Conn.Close}
	errClosed := errors.New("gone")
	runNetwork(t, world.Net{}, func(l *testNetwork) {
		l.listen("p1:90", e)
		l.at(10*ms, func() { e.conn.Write([]byte("first")) })
		l.at(30*ms, func() { e.conn.Write([]byte("second")) })
		l.at(40*ms, func() { e.conn.Close() })
		l.dialFromNode("p1:90", func(p *port) {
			var mu sync.Mutex
			connClosed, checks, b := false, 0, make([]byte, 20)
			checkLocked := func() {
				if mu.TryLock() {
					t.Error("checkOpen or onRead was called without the lock")
				}
			}
			checkOpen := func() error {
				checkLocked()
				if checks++; connClosed {
					return errClosed
				}
				return nil
			}
			onRead := func(n int) {
				if checkLocked(); n == 0 {
					t.Error("onRead was called with 0 bytes")
				}
			}
			if n, err := p.ReadUnderLock(nil, &mu, checkOpen, onRead); n != 0 || err != nil || checks != 1 {
				t.Errorf("empty buffer: read %d, %v with %d checks; want 0, nil with 1", n, err, checks)
			}
			checks = 0
			n, err := p.ReadUnderLock(b, &mu, checkOpen, onRead)
			if string(b[:n]) != "first" || err != nil || checks != 1 {
				t.Errorf("read %q, %v with %d checks; want \"first\", nil with 1", b[:n], err, checks)
			}
			go func() {
				time.Sleep(10 * ms)
				mu.Lock()
				connClosed = true
				mu.Unlock()
			}()
			if n, err := p.ReadUnderLock(b, &mu, checkOpen, onRead); n != 0 || err != errClosed || checks != 2 {
				t.Errorf("closed: read %q, %v with %d checks; want 0 bytes, errGone with 2", b[:n], err, checks)
			}
			if n, _ := p.Peek(); n != 6 {
				t.Errorf("%d unread bytes, want 6", n)
			}
			connClosed = false
			time.Sleep(20 * ms)
			p.ReadUnderLock(b, &mu, checkOpen, onRead)
			for i, buffer := range [][]byte{b, nil} {
				if n, err := p.ReadUnderLock(buffer, &mu, checkOpen, onRead); n != 0 || err != io.EOF || checks != 4+i {
					t.Errorf("end of stream: read %d, %v with %d checks; want 0, EOF", n, err, checks)
				}
			}
		})
	})
}

func TestWindow(t *testing.T) {
	e := &recordingHandler{end: link.Conn.Close}
	runNetwork(t, world.Net{}, func(l *testNetwork) {
		l.listen("p1:90", e)
		l.at(3*ms, func() { e.conn.PauseReading(true) })
		l.at(100*ms, func() {
			if len(e.received) != 0 {
				t.Errorf("%d bytes were reported during the pause, want 0", len(e.received))
			}
			e.conn.PauseReading(false)
			e.conn.Write(make([]byte, 3*windowSize/2)) // a single write larger than the window
			e.conn.Write(make([]byte, windowSize))
			e.conn.CloseWrite()
		})
		l.dialFromNode("p1:90", func(p *port) {
			time.Sleep(5 * ms)
			p.Write(make([]byte, windowSize-1))
			p.Write(make([]byte, 1))
			if took := l.loop.Now().Truncate(ms); took != 7*ms {
				t.Errorf("writes that fill the window returned at %v, want 7ms", took)
			}
			if n, err := p.Write(make([]byte, 2)); n != 2 || err != nil || l.loop.Now() < 100*ms {
				t.Errorf("write beyond the window: %d, %v at %v; want 2, nil after 100ms", n, err, l.loop.Now())
			}
			time.Sleep(100 * ms)
			if n, _ := p.Peek(); n != 3*windowSize/2 {
				t.Errorf("%d bytes arrived before the read, want 1.5 windows", n)
			}
			if b, err := io.ReadAll(p); len(b) != 5*windowSize/2 || err != nil {
				t.Errorf("read %d bytes, %v; want 2.5 windows", len(b), err)
			}
		})
	})
	if len(e.received) != windowSize+2 {
		t.Errorf("%d bytes arrived at the peer, want 1 window and 2 bytes", len(e.received))
	}
}

// TestSendBuffer: the kernel of a client takes bytes for which the window has no room, as far as its send buffer has
// room. They count as sent, and all bytes arrive in order once the node reads.
func TestSendBuffer(t *testing.T) {
	const window, sendBuffer = 64 << 10, 128 << 10
	body := bytes.Repeat([]byte("0123456789abcdef"), 20<<10)
	sentEarly := 0
	e := &recordingHandler{end: link.Conn.Close, up: func(c link.Conn) {
		c.Write(body)
		c.CloseWrite()
	}}
	l := runNetwork(t, world.Net{Window: window, SendBuffer: sendBuffer}, func(l *testNetwork) {
		l.acceptOnNode(func(p *port) {
			defer p.Close()
			time.Sleep(50 * ms)
			if got, err := io.ReadAll(p); !bytes.Equal(got, body) || err != nil {
				t.Errorf("read %d bytes, %v; want the %d bytes that the client wrote", len(got), err, len(body))
			}
		})
		l.dialAt(0, "n1:80", e)
		l.at(50*ms, func() { sentEarly = len(l.bytes["c1>n1#1 sent false"]) })
	})
	if all := l.bytes["c1>n1#1 sent false"]; sentEarly != window+sendBuffer || all != string(body) {
		t.Errorf("%d bytes counted as sent before the node read, %d in all; want %d and %d", sentEarly, len(all),
			window+sendBuffer, len(body))
	}
}

// TestTraceIsDeterministic checks that goroutines of one node that act at the same instant always leave the same
// trace.
func TestTraceIsDeterministic(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(8))
	yieldRandomly := func() {
		for range rand.IntN(4) {
			runtime.Gosched()
		}
	}
	hashes := map[string]int{}
	for range 100 {
		l := runNetwork(t, world.Net{Jitter: 0.4, Pieces: 0.3}, func(l *testNetwork) {
			e := &recordingHandler{data: func(c link.Conn) { c.Write([]byte("answer")) }, end: link.Conn.Close}
			l.listen("p1:90", e)
			l.listen("p2:90", e)
			for i := range 8 {
				l.dialFromNode(fmt.Sprintf("p%d:90", 1+i%2), func(p *port) {
					time.Sleep(50*ms - l.loop.Now()) // all at the same instant
					read := make(chan bool, 99)
					go func() {
						for n := 1; n > 0; { // each response takes several reads
							n, _ = p.Read(make([]byte, 2))
							read <- true
							yieldRandomly()
						}
					}()
					for range 9 {
						yieldRandomly()
						p.Write([]byte("request"))
						<-read
					}
					time.Sleep(50 * ms) // closing while the other goroutine reads would be a race of the node itself
				})
			}
		})
		hashes[string(l.trace.Sum(nil))]++
	}
	if len(hashes) != 1 {
		t.Errorf("%d different traces, want 1", len(hashes))
	}
}

// TestReadsAreSerialized checks that readers that find unread bytes at the same instant read one after the other, in
// the same order in every run and each at an instant of its own.
func TestReadsAreSerialized(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(8))
	for range 20 {
		var mu sync.Mutex
		var order []string
		at := map[time.Duration]bool{}
		runNetwork(t, world.Net{}, func(l *testNetwork) {
			l.listen("p1:90", &recordingHandler{data: func(c link.Conn) { c.Write([]byte("waits")) }, end: link.Conn.Close})
			for range 8 {
				l.dialFromNode("p1:90", func(p *port) {
					p.Write([]byte("request"))
					time.Sleep(50*ms - l.loop.Now()) // all at the same instant
					for range rand.IntN(4) {
						runtime.Gosched()
					}
					p.Read(make([]byte, 5))
					mu.Lock()
					defer mu.Unlock()
					order, at[l.loop.Now()] = append(order, p.id), true
				})
			}
		})
		if !slices.IsSorted(order) || len(order) != 8 || len(at) != 8 {
			t.Fatalf("reads in the order %v at %d instants, want sorted order at 8", order, len(at))
		}
	}
}

// TestHTTP runs a client and a server of net/http over the network, and checks that every run leaves the same trace
// and no goroutine.
func TestHTTP(t *testing.T) {
	c := world.Net{Jitter: 0.4, Pieces: 0.3}
	hashes := map[[32]byte]bool{}
	for range 3 {
		l := runNetwork(t, c, func(l *testNetwork) {
			k, _ := l.Host("n1").Listen(":80")
			s := &http.Server{IdleTimeout: time.Second, ReadTimeout: time.Second, Handler: http.HandlerFunc(
				func(w http.ResponseWriter, r *http.Request) {
					b, _ := io.ReadAll(r.Body)
					time.Sleep(3 * ms)
					fmt.Fprintf(w, "%s %s", r.URL, strings.Repeat(string(b), 900))
				})}
			go s.Serve(k)
			time.AfterFunc(5*time.Second, func() { s.Shutdown(context.Background()) })
			host := l.Host("c1")
			dial := func(ctx context.Context, _, addr string) (net.Conn, error) {
				return host.Dial(ctx, addr)
			}
			for i := range 3 {
				h := &http.Client{Transport: &http.Transport{DialContext: dial}, Timeout: time.Second}
				go func() {
					defer h.CloseIdleConnections()
					for j := range 20 {
						time.Sleep(time.Duration(i)*ms + 10*ms)
						url, want := fmt.Sprintf("http://n1:80/%d", j), fmt.Sprintf("/%d seven", j)
						resp, err := h.Post(url, "", strings.NewReader("seven"))
						if err != nil {
							t.Error(err)
							return
						}
						b, err := io.ReadAll(resp.Body)
						resp.Body.Close()
						if err != nil || !strings.HasPrefix(string(b), want) || len(b) < 4500 {
							t.Errorf("client %d: response %q, %v", i, b, err)
						}
					}
				}()
			}
		})
		hashes[[32]byte(l.trace.Sum(nil))] = true
	}
	if len(hashes) != 1 {
		t.Errorf("%d different traces, want 1", len(hashes))
	}
}
