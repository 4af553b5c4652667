package peer

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/world"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

func span(d time.Duration) figure.Span { return figure.Span(d) }

func TestCoresBoundThroughput(t *testing.T) {
	c := world.Peer{Cores: 2, Speed: 0.5, Slots: 4, Queue: 100}
	r := runPeer(t, c, func(r *harness) {
		r.sendQuotes(1, sec, 0)
		r.sendQuotes(100, 10*sec, 0)
	})
	r.expect("statuses", r.statuses(), map[int]int{200: 101})
	r.expectNear("time of a single call", r.conns[0].firstByteAt-sec-4*networkDelay, 40*ms, 0.06)
	last := time.Duration(0)
	for _, a := range r.conns[1:] {
		last = max(last, a.firstByteAt)
	}
	r.expectNear("time until the last of 100 calls", last-10*sec, 2*sec, 0.04)
}

func TestRejectsWhenQueueIsFull(t *testing.T) {
	r := runPeer(t, world.Peer{Slots: 2, Queue: 3}, func(r *harness) { r.sendQuotes(10, sec, 0) })
	r.expect("statuses", r.statuses(), map[int]int{200: 5, 503: 5})
	r.expect("attempts reported with their work", len(r.events.work), 10)
	mark, n := r.conns[9].responses[0].Get("X-Rejected")
	r.expect("value and count of X-Rejected", mark+fmt.Sprint(n), "11")
}

func TestCache(t *testing.T) {
	c := world.Peer{Cores: 8, Slots: 8, CacheGain: 0.5, CacheFor: span(5 * sec), CacheKeys: 2}
	r := runPeer(t, c, func(r *harness) {
		for i, key := range []string{"a", "a", "b", "a", "c", "b", "a"} { // c evicts b, then b evicts a
			r.send(sec+time.Duration(i)*100*ms, quote(fmt.Sprint(i)+key))
		}
		r.send(8*sec, quote("7a"))
		r.at(9*sec, func() { r.Kill(); r.Start(true) })
		r.send(10*sec, quote("8a"))
	})
	for i, full := range []bool{true, false, true, false, true, true, true, true, true} {
		if w := r.events.work[i]; (w > 0.015) != full {
			t.Errorf("call %d costs %g s of work, want full cost: %v", i, w, full)
		}
	}
}

func TestWarmUp(t *testing.T) {
	for _, c := range []struct {
		name string
		by   int
		want []float64 // warmth at 1, 5 and 11 s after the start
	}{
		{"by time", 0, []float64{0.19, 0.55, 1}},
		{"by calls", 3, []float64{0.19, 0.7, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			cold := world.Peer{Cores: 2, Slots: 4, ColdShare: 0.1, ColdFor: span(10 * sec), ColdBy: c.by}
			r := runPeer(t, cold, func(r *harness) {
				r.Kill()
				r.at(sec, func() { r.Start(false) })
				r.sendQuotes(2, 2*sec, 0)
				r.sendQuotes(1, 6*sec, 0)
				r.sendQuotes(1, 12*sec, 0)
			})
			for i, k := range []int{0, 2, 3} {
				if got := r.events.capacity[k] / 2; got < c.want[i]-0.01 || got > c.want[i]+0.01 {
					t.Errorf("warmth %g, want %g", got, c.want[i])
				}
			}
			r.expectNear("time of a call to the cold peer", r.conns[0].firstByteAt-2*sec, 105*ms, 0.1)
			r.expectNear("time of a call to the warm peer", r.conns[3].firstByteAt-12*sec, 24*ms, 0.1)
		})
	}
}

func TestColdPeerCrashesWhenOverloaded(t *testing.T) {
	// CrashFactor 2.5 at a capacity of 0.1 over 2 s allows 0.5 s of work: 25 calls, or a few more as the peer warms up.
	c := world.Peer{Slots: 1, ColdShare: 0.1, ColdFor: span(1000 * sec), CrashFactor: 2.5, CrashWindow: span(2 * sec)}
	for _, k := range []struct {
		name    string
		calls   int
		gap     time.Duration
		warm    bool
		crashes int
	}{
		{"overload, including rejected calls", 30, 10 * ms, false, 1},
		{"load just below the limit", 23, 10 * ms, false, 0},
		{"the same load over a longer time", 60, 90 * ms, false, 0},
		{"overload of a warm peer", 300, ms, true, 0},
	} {
		t.Run(k.name, func(t *testing.T) {
			r := runPeer(t, c, func(r *harness) { r.Kill(); r.Start(k.warm); r.sendQuotes(k.calls, sec, k.gap) })
			r.expect("crashes", r.Stats().OverloadCrashes, k.crashes)
			r.expect("down", r.Down(), k.crashes > 0)
			if k.crashes > 0 {
				r.expect("end of a queued call", r.conns[0].err, link.ErrReset)
				r.expect("end of the last call", r.conns[29].err, link.ErrRefused)
				r.expect("events", r.events.log[len(r.events.log)-2:], "[1.243s stop 1.243s stopped]")
			}
		})
	}
}

func TestFaultsAreVisibleToClients(t *testing.T) {
	type seen struct {
		*clientConn
		good bool
		took time.Duration // time until the first byte
	}
	costly := func(class string, factor float64) func(*Peer, float64) func() {
		return func(p *Peer, share float64) func() { p.Costly("quote", 0, 6); return p.Costly(class, share, factor) }
	}
	twice := func(p *Peer, _ float64) func() {
		one, two := p.Slow(3), p.Slow(2)
		return func() { one(); two() }
	}
	for name, c := range map[string]struct {
		fault func(*Peer, float64) (heal func())
		shows func(seen) bool
		ran   int // expected number of calls that ran, of 40
	}{
		"fail":      {(*Peer).Fail, func(s seen) bool { return s.status() >= 500 && s.took < 6*ms }, 40},
		"turn away": {(*Peer).RejectRequests, func(s seen) bool { return s.status() == 503 && s.took < 6*ms }, 0},
		"silent":    {(*Peer).Silent, func(s seen) bool { return len(s.raw) == 0 && s.err == nil }, 40},
		"break":     {(*Peer).Break, func(s seen) bool { return len(s.raw) == 0 && errors.Is(s.err, link.ErrReset) }, 25},
		"spoil": {(*Peer).Spoil, func(s seen) bool {
			longer := len(s.responses) == 1 && len(s.raw) > s.responses[0].Size
			return len(s.raw) > 0 && (s.responses == nil || longer) && s.err == nil
		}, 40},
		"surplus":            {(*Peer).Surplus, func(s seen) bool { return s.good && len(s.raw) > s.responses[0].Size }, 40},
		"slow twice":         {twice, func(s seen) bool { return s.good && s.took > 118*ms && s.took < 131*ms }, 40},
		"costly":             {costly("quote", 6), func(s seen) bool { return s.good && s.took > 118*ms }, 40},
		"costly other class": {costly("book", 6), func(s seen) bool { return s.good && s.took < 30*ms }, 40},
		"costly factor 1":    {costly("quote", 1), func(s seen) bool { return s.good && s.status() == 200 }, 40},
	} {
		t.Run(name, func(t *testing.T) {
			var ran int
			r := runPeer(t, world.Peer{Cores: 40, Slots: 40}, func(r *harness) {
				heal := c.fault(r.Peer, 1)
				r.sendQuotes(40, sec, 10*ms)
				r.at(9*sec, func() { ran = r.Stats().Ran; heal(); heal() })
				r.sendQuotes(1, 10*sec, 0)
			})
			for i, a := range r.conns {
				good := len(a.responses) > 0 && bytes.HasPrefix(a.responses[0].Body, []byte("peer=p03 call="))
				took := a.firstByteAt - sec - time.Duration(i)*10*ms
				if i == 40 {
					r.expect("call served after heal", good && a.firstByteAt < 10*sec+30*ms, true)
				} else if !c.shows(seen{a, good, took}) {
					t.Errorf("call %d does not show the fault: %.80q after %v, %d messages, end %v",
						i, a.raw, took, len(a.responses), a.err)
				}
			}
			r.expect("calls that ran", ran, c.ran)
		})
	}
}

func TestUnreadableResponsesOfEveryKind(t *testing.T) {
	r := runPeer(t, world.Peer{Cores: 60, Slots: 60}, func(r *harness) { r.Spoil(1); r.sendQuotes(60, sec, 10*ms) })
	kind := func(a *clientConn) string {
		switch text := string(a.raw); {
		case len(a.responses) > 0:
			return "long body"
		case text[0] != 'H':
			return "noise"
		case a.parseErr != nil && a.parseErr.Error() == "two lengths":
			return "two lengths"
		case strings.Contains(text, fmt.Sprint(1<<30)) && len(text) > 1<<20:
			return "huge"
		case a.parseErr != nil:
			return "head"
		case strings.Count(text, "X-Fill") > 40 && !strings.Contains(text, "\r\n\r\n"):
			return "endless head"
		default:
			return "short"
		}
	}
	seen := map[string]bool{}
	for _, a := range r.conns {
		seen[kind(a)] = true
	}
	r.expect("kinds of unreadable responses", slices.Sorted(maps.Keys(seen)),
		"[endless head head huge long body noise short two lengths]")
}

func TestKillDiscardsState(t *testing.T) {
	var secondStart error
	r := runPeer(t, world.Peer{Slots: 1, Queue: 9, IdleClose: span(60 * sec)}, func(r *harness) {
		r.sendQuotes(3, sec, 0)
		r.at(sec+10*ms, func() { secondStart = r.Start(true); r.Kill(); r.Kill() })
		r.sendQuotes(1, 2*sec, 0)
		r.at(3*sec, func() { r.Start(false) })
		r.sendQuotes(1, 4*sec, 0)
		r.at(29*sec, r.Kill)
	})
	r.expect("pending events at the end", r.network.loop.Pending(), 0)
	r.expect("error of a second start", secondStart, "peer p03: it is running already")
	r.expect("statuses", r.statuses(), map[int]int{0: 4, 200: 1})
	r.expect("end of the call while down", r.conns[3].err, link.ErrRefused)
	r.expect("held calls and starts", []int{r.Stats().Held, r.Stats().Starts}, "[0 2]")
	r.expect("events", strings.Join(r.events.log, ", "), "0s start cold false, 0s started p03:9000 warm true, "+
		"1.01s stop, 1.01s stopped, 3s start cold true, 3s started p03:9000 warm false, 29s stop, 29s stopped")
}

func TestDrain(t *testing.T) {
	r := runPeer(t, world.Peer{Slots: 4}, func(r *harness) {
		r.send(0) // idle connection
		r.at(sec, func() { r.Drain(sec, 2*sec); r.Drain(0, 0) })
		r.sendQuotes(1, 1500*ms, 0) // still served
		r.send(1500*ms, "GET /health/live HTTP/1.1\r\nHost: p\r\n\r\n")
		r.sendQuotes(1, 2500*ms, 0) // rejected
	})
	var got []int
	for _, a := range r.conns {
		got = append(got, a.status())
	}
	r.expect("statuses", got, "[0 200 503 503]")
	r.expect("end of the idle connection", fmt.Sprint(r.conns[0].err, r.conns[0].endedAt.Round(ms)),
		"end of stream 3.001s")
	r.expect("events", r.events.log[2:], "[1s draining 3s stop 3s stopped]")

	r = runPeer(t, world.Peer{Slots: 4}, func(r *harness) { // the peer completes the call it holds before it exits
		r.Slow(100)
		r.sendQuotes(1, 500*ms, 0)
		r.at(sec, func() { r.Drain(9*sec, sec) })
		r.sendQuotes(1, 2100*ms, 0) // rejected: exitAfter has passed, though rejectAfter has not
	})
	r.expect("statuses of the held and the new call", r.statuses(), "map[200:1 503:1]")
	r.expectNear("time of the exit", r.conns[0].endedAt, 2503*ms, 0.06)
	r.expect("down", r.Down(), true)
}

func TestConnections(t *testing.T) {
	c := world.Peer{Cores: 2, Conns: 3, IdleClose: span(4 * sec), Handshake: span(5 * ms)}
	r := runPeer(t, c, func(r *harness) {
		r.send(0)                                                                      // idle from the beginning
		r.send(10*ms, quote("a"))                                                      // idle after its response
		r.send(60*ms, quote("b")+quote("c"), quote("d", "Connection: close\r\n"), "x") // served one after the other
		r.send(70*ms, quote("e"))                                                      // one connection too many
	})
	a := r.conns
	r.expectNear("close of the idle connection", a[0].endedAt, 4*sec+5*ms+2*networkDelay, 0.0001)
	r.expectNear("close after an idle time since the response", a[1].endedAt-a[1].firstByteAt, 4*sec, 0.0001)
	r.expectNear("first call delayed by the handshake", a[1].firstByteAt-10*ms, 2*networkDelay+25*ms, 0.06)
	r.expect("responses to pipelined calls", len(a[2].responses), 3)
	r.expect("end after Connection: close", a[2].err, link.ErrEOF)
	r.expect("end of the connection beyond the limit", a[3].err, link.ErrReset)
	r.expect("rejected connections", r.Stats().RejectedConns, 1)
}

func TestRequests(t *testing.T) {
	for text, want := range map[string]int{
		quote("a"): 200,
		"POST /api/x HTTP/1.1\r\nHost: p\r\nX-Call-Id: a\r\nContent-Length: 2\r\n\r\nab": 200,
		"GET /api HTTP/1.1\r\nHost: p\r\n\r\n":                                           404,
		"GET /apis HTTP/1.1\r\nHost: p\r\nX-Call-Id: a\r\n\r\n":                          404,
		"GET /stats HTTP/1.1\r\nHost: p\r\n\r\n":                                         404,
		"GET /health/live HTTP/1.1\r\nHost: p\r\n\r\n":                                   200,
		"PUT /api HTTP/1.1\r\nHost: p\r\nX-Call-Id: a\r\n\r\n":                           400,
		"GET /api HTTP/1.1\r\nHost: p\r\nX-Call-Id: a\r\nx-call-id: b\r\n\r\n":           400,
		"GET /api HTTP/1.1\r\nX-Call-Id: a\r\n\r\n":                                      400,
		"noise\r\n\r\n": 400,
	} {
		r := runPeer(t, world.Peer{}, func(r *harness) { r.send(sec, text) })
		r.expect(text, r.conns[0].status(), want)
		r.expect(text+": closed", errors.Is(r.conns[0].err, link.ErrEOF), want == 400)
	}
}

func TestAbandonedCalls(t *testing.T) {
	for _, dropsQueued := range []bool{false, true} {
		r := runPeer(t, world.Peer{Slots: 1, Queue: 9, DropsQueued: dropsQueued}, func(r *harness) {
			r.Slow(10)
			r.sendQuotes(2, sec, 0)
			r.send(sec, quote("b", "X-Budget: 0.150\r\n"))
			r.at(sec+50*ms, func() { r.conns[0].conn.Close(); r.conns[1].conn.CloseWrite() })
		})
		s, want := r.Stats(), "[2 0 0 200]"
		if dropsQueued {
			want = "[1 1 1 504]"
		}
		r.expect("undeliverable, dropped, expired, status of the expired call",
			[]int{s.Undeliverable, s.Dropped, s.Expired, r.conns[2].status()}, want)
	}
}

func TestStalls(t *testing.T) {
	r := runPeer(t, world.Peer{}, func(r *harness) {
		r.sendQuotes(1, sec, 0)
		r.at(sec+10*ms, func() { r.Stall(500 * ms); r.Stall(100 * ms) })
		r.send(1200*ms, "GET /stats HTTP/1.1\r\nHost: p\r\n\r\n")
	})
	r.expectNear("response of a running call", r.conns[0].firstByteAt, 1524*ms, 0.001)
	r.expectNear("response to a call sent during the pause", r.conns[1].firstByteAt, 1511*ms, 0.001)

	r = runPeer(t, world.Peer{PauseEach: span(sec), Pause: span(100 * ms)}, func(r *harness) {
		r.sendQuotes(25, sec, sec)
	})
	pauses := 0
	for i, a := range r.conns {
		if a.firstByteAt-time.Duration(i+1)*sec > 27*ms {
			pauses++
		}
	}
	r.expect("2 to 10 of 25 calls were delayed by a pause", 2 <= pauses && pauses <= 10, true)
}

func TestCongestion(t *testing.T) {
	for held, slowdown := range map[int]float64{2: 1, 4: 1.5, 6: 2.5, 12: 2.5} {
		c := world.Peer{Slots: 1, Queue: 12, CongestionAt: 3, MaxSlowdown: 2.5}
		r := runPeer(t, c, func(r *harness) { r.sendQuotes(held, sec, 0) })
		r.expectNear(fmt.Sprintf("first response with %d calls held", held),
			r.conns[0].firstByteAt-sec-4*networkDelay, figure.Seconds(0.02*slowdown), 0.07)
	}
}

// recordRun returns the received bytes and the time of the first byte for each call of a run.
func recordRun(t *testing.T, faults func(*Peer)) []string {
	c := world.Peer{Cores: 2, Slots: 4, Queue: 3, Errors: 0.1, PauseEach: span(sec), Pause: span(20 * ms)}
	r := runPeer(t, c, func(r *harness) {
		faults(r.Peer)
		r.sendQuotes(200, sec, 20*ms)
	})
	var out []string
	for _, a := range r.conns {
		out = append(out, fmt.Sprintf("%v %v %q", a.firstByteAt, a.err, a.raw))
	}
	return out
}

func TestSameSeedGivesSameRun(t *testing.T) {
	all := func(p *Peer) {
		p.Fail(0.2)
		p.Spoil(0.2)
		p.Break(0.2)
		p.Slow(2)
		p.Costly("quote", 0.1, 5)
		p.Silent(0.1)
	}
	if one, two := recordRun(t, all), recordRun(t, all); !slices.Equal(one, two) {
		t.Error("two runs with the same seed differ")
	}
}

func TestFaultsDoNotChangeOtherDraws(t *testing.T) {
	rejected := func(faults func(*Peer)) (ids []int) {
		r := runPeer(t, world.Peer{Cores: 4, Slots: 4}, func(r *harness) { faults(r.Peer); r.sendQuotes(100, sec, 100*ms) })
		for i, a := range r.conns {
			if a.status() == 503 && strings.Contains(string(a.raw), "X-Rejected: 1") {
				ids = append(ids, i)
			}
		}
		return ids
	}
	one := rejected(func(p *Peer) { p.RejectRequests(0.3) })
	withOthers := rejected(func(p *Peer) { p.Fail(0.5); p.RejectRequests(0.3); p.Spoil(0.5); p.Slow(3) })
	two := rejected(func(p *Peer) { p.RejectRequests(0.3); p.RejectRequests(0.3) })
	if !slices.Equal(one, withOthers) {
		t.Errorf("rejected calls %v without other faults, %v with other faults; want the same", one, withOthers)
	}
	missed := slices.DeleteFunc(slices.Clone(one), func(i int) bool { return slices.Contains(two, i) })
	if len(one) < 20 || len(one) > 40 || len(two) < 40 || len(two) > 62 || len(missed) > 0 {
		t.Errorf("rejected calls with one fault of share 0.3: %v; with two: %v", one, two)
	}
}

func TestResponsesIdentifyPeerAndCall(t *testing.T) {
	bodies, forms := map[string]bool{}, map[string]bool{}
	for _, name := range []string{"p03", "p04"} {
		r := runPeer(t, world.Peer{Name: name, Cores: 9, Slots: 9}, func(r *harness) {
			for i := range 200 {
				r.send(time.Duration(i)*20*ms, quote("a"))
			}
		})
		for i, a := range r.conns {
			m := a.responses[0]
			_, chunked := m.Get("Transfer-Encoding")
			bodies[string(m.Body)], forms[fmt.Sprint(chunked, m.Close)] = true, true
			want := fmt.Sprintf("peer=%s call=a run=%d ", name, i+1)
			if n := len(m.Body); n < 50 || n > 150 || !bytes.HasPrefix(m.Body, []byte(want)) {
				t.Errorf("body %.60q, want 50 to 150 bytes that begin with %q", m.Body, want)
			}
		}
	}
	if len(bodies) != 400 || len(forms) < 3 {
		t.Errorf("%d distinct bodies of 400, framings %v; want 400 and at least 3", len(bodies), forms)
	}
}
