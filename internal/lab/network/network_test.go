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
		var there, back [300][]byte
		for i := range there {
			for _, way := range []*[300][]byte{&there, &back} {
				way[i] = bytes.Repeat([]byte{byte(r.Uint32())}, 1+r.IntN(3000))
			}
		}
		far := &ear{end: link.Conn.Close}
		l := play(t, c, func(l *lab) {
			l.listen("p1:90", far)
			for i, b := range back {
				l.at(time.Duration(i)*ms+10*ms, func() { far.c.Write(b) })
			}
			l.ask("p1:90", func(p *port) {
				for _, b := range there {
					p.Write(b)
					time.Sleep(ms)
				}
				time.Sleep(100 * ms)
				p.CloseWrite()
				got, err := io.ReadAll(p)
				if want := bytes.Join(back[:], nil); err != nil || !bytes.Equal(got, want) {
					t.Errorf("%+v: read %d bytes of %d, or in another order; %v", c, len(got), len(want), err)
				}
			})
		})
		want := string(bytes.Join(there[:], nil))
		if string(far.got) != want || l.bytes["n1>p1#1 arrived false"] != want {
			t.Errorf("%+v: %d bytes came of %d, or in another order", c, len(far.got), len(want))
		}
		if cut := l.count(" arrived") > l.count(" sent"); cut != (c.Pieces > 0) {
			t.Errorf("%+v: %d writes came as %d pieces", c, l.count(" sent"), l.count(" arrived"))
		}
	}
}

// What a client hears of the end of its connection to a node: whether its request
// was read hangs on it.
func TestClientHearsEnd(t *testing.T) {
	read := func(p *port) { p.Read(make([]byte, 9)) }
	wait := func() { time.Sleep(5 * ms) }
	kill := func(l *lab) func() { return func() { l.Kill("n1") } }
	tests := []struct {
		name   string
		node   func(l *lab, p *port) // has the connection at 2 ms, the request at 6 ms
		second time.Duration         // when the client writes again, after 4 ms; 0: never
		want   error
		shut   string // the node's close, as the Tap sees it
	}{
		{"all read", func(_ *lab, p *port) { read(p); p.Close() }, 0, link.ErrEOF, "shut"},
		{"half closed", func(_ *lab, p *port) { p.CloseWrite(); read(p); p.Close() }, 0, link.ErrEOF, "fin"},
		{"unread", func(_ *lab, p *port) { wait(); p.Close() }, 0, link.ErrUnread, "shut unread"},
		{"part read", func(_ *lab, p *port) { p.Read([]byte{0}); p.Close() }, 0, link.ErrUnread, "shut unread"},
		{"crosses the close", func(_ *lab, p *port) { read(p); p.Close() }, 7 * ms, link.ErrUnread, "shut"},
		{"behind the close", func(_ *lab, p *port) { read(p); p.Close() }, 4*ms + ms/2, link.ErrUnread, "shut"},
		{"before the close", func(_ *lab, p *port) { read(p); read(p); p.Close() }, 7 * ms, link.ErrEOF, "shut"},
		{"answer first", func(_ *lab, p *port) { p.Write([]byte("answer")); wait(); p.Close() }, 0,
			link.ErrUnread, "shut unread"},
		{"killed", func(l *lab, p *port) { read(p); l.now(kill(l)) }, 0, link.ErrReset, "broke killed"},
		{"killed unread", func(l *lab, p *port) { wait(); l.now(kill(l)) }, 0, link.ErrReset, "broke killed"},
	}
	for _, test := range tests {
		e := &ear{}
		l := play(t, world.Net{}, func(l *lab) {
			l.Place("n1", "a", false)
			l.Place("c1", "a", true)
			e.up = func(c link.Conn) { c.Write([]byte("request")) }
			e.end = func(c link.Conn) {
				c.Write([]byte("late")) // is answered with a reset, which is not heard
				l.loop.After(100*ms, c.Close)
			}
			l.dial(0, "n1:80", e)
			if test.second > 0 {
				l.at(test.second, func() { e.c.Write([]byte("another")) })
			}
			l.serve(func(p *port) { test.node(l, p) })
		})
		if len(e.ended) != 1 || e.ended[0] != test.want || l.count("c1>n1#1 "+test.shut) == 0 {
			t.Errorf("%s: heard %v, want %v; %q in %q", test.name, e.ended, test.want, test.shut, l.seen)
		}
		if test.name == "answer first" && string(e.got) != "answer" {
			t.Errorf("%s: got %q", test.name, e.got)
		}
	}
}

func TestListenerClosesOnThoseThatWait(t *testing.T) {
	mute, late, asks := &ear{}, &ear{}, &ear{up: func(c link.Conn) { c.Write([]byte("request")) }}
	l := play(t, world.Net{}, func(l *lab) {
		k, _ := l.Host("n1").Listen("n1:80")
		if _, err := l.Host("n1").Listen(":80"); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("second listener: %v", err)
		}
		l.dial(0, "n1:80", mute)
		l.dial(0, "n1:80", asks)
		l.dial(30*ms, "n1:80", late)
		go func() {
			time.Sleep(20 * ms)
			k.Close()
			if _, err := k.Accept(); !errors.Is(err, net.ErrClosed) {
				t.Errorf("accept: %v", err)
			}
		}()
	})
	if len(late.ended) != 1 || late.ended[0] != link.ErrRefused {
		t.Errorf("a later one heard %v", late.ended)
	}
	if got := fmt.Sprint(mute.ended, asks.ended); got != fmt.Sprintf("[%v] [%v]", link.ErrReset, link.ErrUnread) {
		t.Errorf("heard %v in %q", got, l.seen)
	}
	if l.count("#2 open") != 2 || l.count("#2 read") != 0 {
		t.Errorf("not accepted, or read: %q", l.seen)
	}
}

// What a node meets when its peer ends the connection: before the answer, in it,
// or as the request comes.
func TestNodeMeetsEnd(t *testing.T) {
	answer := func(c link.Conn) { c.Write([]byte("answer")) }
	tests := []struct {
		name string
		peer func(c link.Conn)
		got  string
		err  error // of the read
		then error // of a write after it; and another once that has arrived
		peek error
	}{
		{"unread", link.Conn.Close, "", syscall.ECONNRESET, syscall.ECONNRESET, syscall.ECONNRESET},
		{"close", func(c link.Conn) { answer(c); c.Close() }, "answer", nil, syscall.EPIPE, nil},
		{"end", func(c link.Conn) { answer(c); c.CloseWrite() }, "answer", nil, nil, nil},
		{"reset", link.Conn.Reset, "", syscall.ECONNRESET, syscall.ECONNRESET, syscall.ECONNRESET},
		{"reset in it", func(c link.Conn) { answer(c); c.Reset() }, "answer",
			syscall.ECONNRESET, syscall.ECONNRESET, syscall.ECONNRESET},
	}
	for _, test := range tests {
		e := &ear{end: link.Conn.Close}
		play(t, world.Net{}, func(l *lab) {
			l.listen("p1:90", e)
			l.at(2*ms, func() { e.c.PauseReading(test.name == "unread") })
			l.at(4*ms, func() { test.peer(e.c) })
			l.ask("p1:90", func(p *port) {
				if n, err := p.Peek(); n != 0 || err != syscall.EAGAIN {
					t.Errorf("%s: peek before: %d, %v", test.name, n, err)
				}
				p.Write([]byte("request"))
				time.Sleep(5 * ms)
				if n, err := p.Peek(); n != len(test.got) || n == 0 && !errors.Is(err, test.peek) {
					t.Errorf("%s: peek: %d, %v", test.name, n, err)
				}
				got, err := io.ReadAll(p)
				if string(got) != test.got || !errors.Is(err, test.err) {
					t.Errorf("%s: read %q, %v; want %q, %v", test.name, got, err, test.got, test.err)
				}
				if n, err := p.Peek(); n != 0 || !errors.Is(err, test.peek) {
					t.Errorf("%s: peek behind: %d, %v", test.name, n, err)
				}
				_, err = p.Write([]byte("more"))
				time.Sleep(5 * ms)
				if _, second := p.Write([]byte("more")); !errors.Is(errors.Join(err, second), test.then) {
					t.Errorf("%s: writes: %v, %v; want %v", test.name, err, second, test.then)
				}
			})
		})
	}
}

func TestDials(t *testing.T) {
	tests := []struct {
		name, to string
		patience time.Duration // of the context
		leave    time.Duration // it is called off after that; 0: it is not
		want     error
		timeout  bool
		took     time.Duration
		heard    error // by the peer
		open     int   // at 2.5 ms
	}{
		{"taken", "p1:90", 5 * ms, 0, nil, false, 2 * ms, link.ErrEOF, 1},
		{"nobody listens", "p1:91", 5 * ms, 0, syscall.ECONNREFUSED, false, 2 * ms, nil, 0},
		{"no machine", "p9:90", 5 * ms, 0, syscall.ECONNREFUSED, false, 2 * ms, nil, 0},
		{"vanished", "gone:90", 5 * ms, 0, context.DeadlineExceeded, true, 5 * ms, nil, 1},
		{"called off", "p1:90", time.Hour, ms / 2, context.Canceled, false, ms / 2, link.ErrReset, 1},
		{"up at one side", "p1:90", time.Hour, ms + ms/2, context.Canceled, false, ms + ms/2, link.ErrReset, 1},
		{"killed", "gone:90", time.Hour, 0, net.ErrClosed, false, 500 * ms, nil, 1},
	}
	for _, test := range tests {
		e := &ear{end: link.Conn.Close}
		l := play(t, world.Net{}, func(l *lab) {
			l.listen("p1:90", e)
			l.Vanish("gone")
			l.at(500*ms, func() { l.Kill("n1") })
			l.at(2*ms+ms/2, func() {
				if l.Open() != test.open {
					t.Errorf("%s: %v are open, want %d", test.name, l.List(), test.open)
				}
			})
			h := l.Host("n1")
			go func() {
				ctx, stop := context.WithTimeout(context.Background(), test.patience)
				defer stop()
				if test.leave > 0 {
					time.AfterFunc(test.leave, stop)
				}
				c, err := h.Dial(ctx, test.to)
				took := l.loop.Now().Truncate(ms / 2)
				if !errors.Is(err, test.want) || (c == nil) != (err != nil) || took != test.took {
					t.Errorf("%s: %v after %v; want %v after %v", test.name, err, took, test.want, test.took)
				}
				if n, ok := err.(net.Error); err != nil && (!ok || n.Timeout() != test.timeout) {
					t.Errorf("%s: %v: timeout %v", test.name, err, !test.timeout)
				}
				if c != nil {
					if c.RemoteAddr().String() != "p1:90" || c.LocalAddr().String() != "n1:32769" {
						t.Errorf("%s: from %v to %v", test.name, c.LocalAddr(), c.RemoteAddr())
					}
					c.Close()
				}
				time.Sleep(time.Second)
				_, dials := h.Dial(context.Background(), "p1:90")
				_, listens := h.Listen(":80")
				if !errors.Is(dials, net.ErrClosed) || !errors.Is(listens, net.ErrClosed) {
					t.Errorf("%s: a dead process dials, %v, or listens, %v", test.name, dials, listens)
				}
				k, err := l.Host("n1").Listen(":80")
				if err != nil {
					t.Errorf("%s: a new process does not listen: %v", test.name, err)
					return
				}
				k.Close()
			}()
		})
		if got := append(e.ended, nil)[0]; got != test.heard || len(e.ended) > 1 {
			t.Errorf("%s: the peer heard %v, want %v", test.name, e.ended, test.heard)
		}
		if fails := l.count(" fail"); (fails == 1) != (test.want != nil) {
			t.Errorf("%s: %q", test.name, l.seen)
		}
	}
}

// A call on a port that waits ends at once when the deadline is set to the past
// (so the carrier interrupts a try), at the deadline, or when the port is closed.
func TestWhatEndsAWait(t *testing.T) {
	wait := map[string]func(p *port) error{
		"read":  func(p *port) error { _, err := p.Read(make([]byte, 1)); return err },
		"write": func(p *port) error { _, err := p.Write(make([]byte, 2*window)); return err },
		"gate": func(p *port) error {
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
		"kill":   func(p *port) error { p.n.loop.Post(loop.Key{}, func() { p.n.Kill("n1") }); return nil },
	}
	for what, call := range wait {
		for how, ends := range end {
			e := &ear{end: link.Conn.Close}
			play(t, world.Net{}, func(l *lab) {
				l.listen("p1:90", e)
				l.at(3*ms, func() { e.c.PauseReading(true) })
				l.at(time.Second, func() { e.c.PauseReading(false) })
				l.ask("p1:90", func(p *port) {
					time.Sleep(5 * ms)
					ended := make(chan error)
					go func() { ended <- call(p) }()
					time.Sleep(20 * ms)
					start := time.Now()
					if err := ends(p); err != nil {
						t.Errorf("%s, %s: %v", what, how, err)
					}
					err := <-ended
					closed := how == "close" || how == "kill"
					took := 0 * ms
					if how == "soon" || how == "sooner" || how == "later" {
						took = 3 * ms
					}
					if time.Since(start) != took || closed && !errors.Is(err, net.ErrClosed) ||
						!closed && !errors.Is(err, os.ErrDeadlineExceeded) {
						t.Errorf("%s, %s: %v after %v", what, how, err, time.Since(start))
					}
					if p.SetDeadline(time.Time{}); !closed && what == "read" {
						l.now(func() { e.c.Write([]byte("x")) })
						if err := call(p); err != nil {
							t.Errorf("%s, %s: without a deadline: %v", what, how, err)
						}
					}
				})
			})
		}
	}
}

func TestReadGate(t *testing.T) {
	e := &ear{end: link.Conn.Close}
	errGone := errors.New("gone")
	play(t, world.Net{}, func(l *lab) {
		l.listen("p1:90", e)
		l.at(10*ms, func() { e.c.Write([]byte("first")) })
		l.at(30*ms, func() { e.c.Write([]byte("second")) })
		l.at(40*ms, func() { e.c.Close() })
		l.ask("p1:90", func(p *port) {
			var mu sync.Mutex
			gone, asked, b := false, 0, make([]byte, 20)
			locked := func() {
				if mu.TryLock() {
					t.Error("asked or told without the lock")
				}
			}
			open := func() error {
				locked()
				if asked++; gone {
					return errGone
				}
				return nil
			}
			took := func(n int) {
				if locked(); n == 0 {
					t.Error("told of nothing")
				}
			}
			if n, err := p.ReadUnderLock(nil, &mu, open, took); n != 0 || err != nil || asked != 1 {
				t.Errorf("without room: read %d, %v; asked %d times", n, err, asked)
			}
			asked = 0
			n, err := p.ReadUnderLock(b, &mu, open, took)
			if string(b[:n]) != "first" || err != nil || asked != 1 {
				t.Errorf("read %q, %v; asked %d times", b[:n], err, asked)
			}
			go func() {
				time.Sleep(10 * ms)
				mu.Lock()
				gone = true
				mu.Unlock()
			}()
			if n, err := p.ReadUnderLock(b, &mu, open, took); n != 0 || err != errGone || asked != 2 {
				t.Errorf("closed: read %q, %v; asked %d times", b[:n], err, asked)
			}
			if n, _ := p.Peek(); n != 6 {
				t.Errorf("%d bytes are left", n)
			}
			gone = false
			time.Sleep(20 * ms)
			p.ReadUnderLock(b, &mu, open, took)
			for i, room := range [][]byte{b, nil} {
				if n, err := p.ReadUnderLock(room, &mu, open, took); n != 0 || err != io.EOF || asked != 4+i {
					t.Errorf("end: read %d, %v; asked %d times", n, err, asked)
				}
			}
		})
	})
}

func TestWindow(t *testing.T) {
	e := &ear{end: link.Conn.Close}
	play(t, world.Net{}, func(l *lab) {
		l.listen("p1:90", e)
		l.at(3*ms, func() { e.c.PauseReading(true) })
		l.at(100*ms, func() {
			if len(e.got) != 0 {
				t.Errorf("held, and heard %d bytes", len(e.got))
			}
			e.c.PauseReading(false)
			e.c.Write(make([]byte, 3*window/2)) // more than the window at once
			e.c.Write(make([]byte, window))
			e.c.CloseWrite()
		})
		l.ask("p1:90", func(p *port) {
			time.Sleep(5 * ms)
			p.Write(make([]byte, window-1))
			p.Write(make([]byte, 1))
			if took := l.loop.Now().Truncate(ms); took != 7*ms {
				t.Errorf("the window was full at %v", took)
			}
			if n, err := p.Write(make([]byte, 2)); n != 2 || err != nil || l.loop.Now() < 100*ms {
				t.Errorf("beyond the window: %d, %v at %v", n, err, l.loop.Now())
			}
			time.Sleep(100 * ms)
			if n, _ := p.Peek(); n != 3*window/2 {
				t.Errorf("%d bytes came without a read", n)
			}
			if b, err := io.ReadAll(p); len(b) != 5*window/2 || err != nil {
				t.Errorf("%d bytes came, %v", len(b), err)
			}
		})
	})
	if len(e.got) != window+2 {
		t.Errorf("%d bytes came", len(e.got))
	}
}

// Goroutines of one node that act at one instant leave one and the same trace.
func TestSameTrace(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(8))
	luck := func() {
		for range rand.IntN(4) {
			runtime.Gosched()
		}
	}
	hashes := map[string]int{}
	for range 100 {
		l := play(t, world.Net{Jitter: 0.4, Pieces: 0.3}, func(l *lab) {
			e := &ear{data: func(c link.Conn) { c.Write([]byte("answer")) }, end: link.Conn.Close}
			l.listen("p1:90", e)
			l.listen("p2:90", e)
			for i := range 8 {
				l.ask(fmt.Sprintf("p%d:90", 1+i%2), func(p *port) {
					time.Sleep(50*ms - l.loop.Now()) // all at the same instant
					read := make(chan bool, 99)
					go func() {
						for n := 1; n > 0; { // each answer by several reads
							n, _ = p.Read(make([]byte, 2))
							read <- true
							luck()
						}
					}()
					for range 9 {
						luck()
						p.Write([]byte("request"))
						<-read
					}
					time.Sleep(50 * ms) // to close while the other reads would be a race of the node's
				})
			}
		})
		hashes[string(l.trace.Sum(nil))]++
	}
	if len(hashes) != 1 {
		t.Errorf("%d different traces", len(hashes))
	}
}

// Bytes that lie there are read one connection after the other, in one order, though their readers come at one instant.
func TestTurnsToRead(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(8))
	for range 20 {
		var mu sync.Mutex
		var order []string
		at := map[time.Duration]bool{}
		play(t, world.Net{}, func(l *lab) {
			l.listen("p1:90", &ear{data: func(c link.Conn) { c.Write([]byte("waits")) }, end: link.Conn.Close})
			for range 8 {
				l.ask("p1:90", func(p *port) {
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
			t.Fatalf("read in the order %v, at %d instants", order, len(at))
		}
	}
}

// All of net/http, both sides on the network, in a bubble that ends.
func TestHTTP(t *testing.T) {
	c := world.Net{Jitter: 0.4, Pieces: 0.3}
	hashes := map[[32]byte]bool{}
	for range 3 {
		l := play(t, c, func(l *lab) {
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
							t.Errorf("%d: %q, %v", i, b, err)
						}
					}
				}()
			}
		})
		hashes[[32]byte(l.trace.Sum(nil))] = true
	}
	if len(hashes) != 1 {
		t.Errorf("%d different traces", len(hashes))
	}
}
