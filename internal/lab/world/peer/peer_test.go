package peer

import (
	"bytes"
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
	r := play(t, c, func(r *rig) {
		r.calls(1, sec, 0)
		r.calls(100, 10*sec, 0)
	})
	r.want("answers", r.statuses(), map[int]int{200: 101})
	r.near("one alone", r.asks[0].first-sec-4*way, 40*ms, 0.06)
	last := time.Duration(0)
	for _, a := range r.asks[1:] {
		last = max(last, a.first)
	}
	r.near("the last of 100", last-10*sec, 2*sec, 0.04)
}

func TestTurnsAwayBeyondTheQueue(t *testing.T) {
	r := play(t, world.Peer{Slots: 2, Queue: 3}, func(r *rig) { r.calls(10, sec, 0) })
	r.want("answers", r.statuses(), map[int]int{200: 5, 503: 5})
	r.want("attempts that weigh", len(r.events.work), 10)
	mark, n := r.asks[9].got[0].Get("X-Rejected")
	r.want("the mark", mark+fmt.Sprint(n), "11")
}

func TestCache(t *testing.T) {
	c := world.Peer{Cores: 8, Slots: 8, CacheGain: 0.5, CacheFor: span(5 * sec), CacheKeys: 2}
	r := play(t, c, func(r *rig) {
		for i, key := range []string{"a", "a", "b", "a", "c", "b", "a"} { // c takes b's place, b takes a's
			r.send(sec+time.Duration(i)*100*ms, quote(fmt.Sprint(i)+key))
		}
		r.send(8*sec, quote("7a"))
		r.at(9*sec, func() { r.Kill(); r.Start(true) })
		r.send(10*sec, quote("8a"))
	})
	for i, full := range []bool{true, false, true, false, true, true, true, true, true} {
		if w := r.events.work[i]; (w > 0.015) != full {
			t.Errorf("call %d costs %g, want it full: %v", i, w, full)
		}
	}
}

func TestWarmsUp(t *testing.T) {
	for _, c := range []struct {
		name string
		by   int
		want []float64 // at 1, 5, 11 s after the start
	}{
		{"by time", 0, []float64{0.19, 0.55, 1}},
		{"by calls", 3, []float64{0.19, 0.7, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			cold := world.Peer{Cores: 2, Slots: 4, ColdShare: 0.1, ColdFor: span(10 * sec), ColdBy: c.by}
			r := play(t, cold, func(r *rig) {
				r.Kill()
				r.at(sec, func() { r.Start(false) })
				r.calls(2, 2*sec, 0)
				r.calls(1, 6*sec, 0)
				r.calls(1, 12*sec, 0)
			})
			for i, k := range []int{0, 2, 3} {
				if got := r.events.able[k] / 2; got < c.want[i]-0.01 || got > c.want[i]+0.01 {
					t.Errorf("warmth %g, want %g", got, c.want[i])
				}
			}
			r.near("a cold call", r.asks[0].first-2*sec, 105*ms, 0.1)
			r.near("a warm call", r.asks[3].first-12*sec, 24*ms, 0.1)
		})
	}
}

func TestFallsOver(t *testing.T) {
	// 2.5 times a capacity of 0.1 over 2 s is 0.5 s of work: 25 calls; a little more as it warms.
	c := world.Peer{Slots: 1, ColdShare: 0.1, ColdFor: span(1000 * sec), FallAt: 2.5, FallIn: span(2 * sec)}
	for _, k := range []struct {
		name  string
		calls int
		gap   time.Duration
		warm  bool
		falls int
	}{
		{"pushed, turned away or not", 30, 10 * ms, false, 1},
		{"just below", 23, 10 * ms, false, 0},
		{"the same, spread over more time", 60, 90 * ms, false, 0},
		{"pushed while warm", 300, ms, true, 0},
	} {
		t.Run(k.name, func(t *testing.T) {
			r := play(t, c, func(r *rig) { r.Kill(); r.Start(k.warm); r.calls(k.calls, sec, k.gap) })
			r.want("falls", r.Stats().Falls, k.falls)
			r.want("down", r.Down(), k.falls > 0)
			if k.falls > 0 {
				r.want("the waiting call", r.asks[0].err, link.ErrReset)
				r.want("the last call", r.asks[29].err, link.ErrRefused)
				r.want("events", r.events.log[len(r.events.log)-2:], "[1.243s stop 1.243s stopped]")
			}
		})
	}
}

func TestFaultsShowOnTheWire(t *testing.T) {
	type seen struct {
		*ask
		good bool
		took time.Duration // until the first byte
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
		ran   int // of 40
	}{
		"fail":       {(*Peer).Fail, func(s seen) bool { return s.status() >= 500 && s.took < 6*ms }, 40},
		"turn away":  {(*Peer).TurnAway, func(s seen) bool { return s.status() == 503 && s.took < 6*ms }, 0},
		"silent":     {(*Peer).Silent, func(s seen) bool { return len(s.raw) == 0 && s.err == nil }, 40},
		"break":      {(*Peer).Break, func(s seen) bool { return len(s.raw) == 0 && s.err == link.ErrReset }, 25},
		"spoil":      {(*Peer).Spoil, func(s seen) bool { return len(s.raw) > 0 && s.got == nil && s.err == nil }, 40},
		"surplus":    {(*Peer).Surplus, func(s seen) bool { return s.good && len(s.raw) > s.got[0].Size }, 40},
		"slow twice": {twice, func(s seen) bool { return s.good && s.took > 118*ms && s.took < 131*ms }, 40},
		"costly":     {costly("quote", 6), func(s seen) bool { return s.good && s.took > 118*ms }, 40},
		"another's":  {costly("book", 6), func(s seen) bool { return s.good && s.took < 30*ms }, 40},
		"no dearer":  {costly("quote", 1), func(s seen) bool { return s.good && s.status() == 200 }, 40},
	} {
		t.Run(name, func(t *testing.T) {
			var ran int
			r := play(t, world.Peer{Cores: 40, Slots: 40}, func(r *rig) {
				heal := c.fault(r.Peer, 1)
				r.calls(40, sec, 10*ms)
				r.at(9*sec, func() { ran = r.Stats().Ran; heal(); heal() })
				r.calls(1, 10*sec, 0)
			})
			for i, a := range r.asks {
				good := len(a.got) > 0 && bytes.HasPrefix(a.got[0].Body, []byte("peer=p03 call="))
				took := a.first - sec - time.Duration(i)*10*ms
				if i == 40 {
					r.want("healed", good && a.first < 10*sec+30*ms, true)
				} else if !c.shows(seen{a, good, took}) {
					t.Errorf("call %d: %.80q after %v, %d messages, end %v", i, a.raw, took, len(a.got), a.err)
				}
			}
			r.want("ran", ran, c.ran)
		})
	}
}

func TestSpoiltAnswersOfEveryKind(t *testing.T) {
	r := play(t, world.Peer{Cores: 60, Slots: 60}, func(r *rig) { r.Spoil(1); r.calls(60, sec, 10*ms) })
	kind := func(a *ask) string {
		switch text := string(a.raw); {
		case text[0] != 'H':
			return "noise"
		case a.bad != nil && a.bad.Error() == "two lengths":
			return "two lengths"
		case strings.Contains(text, fmt.Sprint(1<<30)) && len(text) > 1<<20:
			return "huge"
		case a.bad != nil:
			return "head"
		case strings.Count(text, "X-Fill") > 40 && !strings.Contains(text, "\r\n\r\n"):
			return "endless head"
		default:
			return "short"
		}
	}
	seen := map[string]bool{}
	for _, a := range r.asks {
		seen[kind(a)] = true
	}
	r.want("kinds", slices.Sorted(maps.Keys(seen)), "[endless head head huge noise short two lengths]")
}

func TestKillForgets(t *testing.T) {
	var again error
	r := play(t, world.Peer{Slots: 1, Queue: 9, IdleClose: span(60 * sec)}, func(r *rig) {
		r.calls(3, sec, 0)
		r.at(sec+10*ms, func() { again = r.Start(true); r.Kill(); r.Kill() })
		r.calls(1, 2*sec, 0)
		r.at(3*sec, func() { r.Start(false) })
		r.calls(1, 4*sec, 0)
		r.at(29*sec, r.Kill)
	})
	r.want("events left", r.wire.loop.Pending(), 0)
	r.want("started twice", again, "peer p03: it is running already")
	r.want("answers", r.statuses(), map[int]int{0: 4, 200: 1})
	r.want("while down", r.asks[3].err, link.ErrRefused)
	r.want("held, starts", []int{r.Stats().Held, r.Stats().Starts}, "[0 2]")
	r.want("events", strings.Join(r.events.log, ", "), "0s start cold false, 0s started p03:9000 warm true, "+
		"1.01s stop, 1.01s stopped, 3s start cold true, 3s started p03:9000 warm false, 29s stop, 29s stopped")
}

func TestDrain(t *testing.T) {
	r := play(t, world.Peer{Slots: 4}, func(r *rig) {
		r.send(0) // idle
		r.at(sec, func() { r.Drain(sec, 2*sec); r.Drain(0, 0) })
		r.calls(1, 1500*ms, 0) // served still
		r.send(1500*ms, "GET /health/live HTTP/1.1\r\nHost: p\r\n\r\n")
		r.calls(1, 2500*ms, 0) // turned away
	})
	var got []int
	for _, a := range r.asks {
		got = append(got, a.status())
	}
	r.want("answers", got, "[0 200 503 503]")
	r.want("idle", fmt.Sprint(r.asks[0].err, r.asks[0].ended.Round(ms)), "end of stream 3.001s")
	r.want("events", r.events.log[2:], "[1s draining 3s stop 3s stopped]")

	r = play(t, world.Peer{Slots: 4}, func(r *rig) { // what it holds is done first
		r.Slow(100)
		r.calls(1, 500*ms, 0)
		r.at(sec, func() { r.Drain(9*sec, sec) })
		r.calls(1, 2100*ms, 0) // turned away from its end on at the latest
	})
	r.want("held, and new", r.statuses(), "map[200:1 503:1]")
	r.near("its end", r.asks[0].ended, 2503*ms, 0.06)
	r.want("down", r.Down(), true)
}

func TestConnections(t *testing.T) {
	c := world.Peer{Cores: 2, Conns: 3, IdleClose: span(4 * sec), Handshake: span(5 * ms)}
	r := play(t, c, func(r *rig) {
		r.send(0)                                                                      // idle from the start
		r.send(10*ms, quote("a"))                                                      // idle from its answer on
		r.send(60*ms, quote("b")+quote("c"), quote("d", "Connection: close\r\n"), "x") // one after the other
		r.send(70*ms, quote("e"))                                                      // too many
	})
	a := r.asks
	r.near("idle", a[0].ended, 4*sec+5*ms+2*way, 0.0001)
	r.near("idle behind an answer", a[1].ended-a[1].first, 4*sec, 0.0001)
	r.near("a handshake delays the first call", a[1].first-10*ms, 2*way+25*ms, 0.06)
	r.want("pipelined", len(a[2].got), 3)
	r.want("the sender's wish", a[2].err, link.ErrEOF)
	r.want("too many", a[3].err, link.ErrReset)
	r.want("full", r.Stats().Full, 1)
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
		r := play(t, world.Peer{}, func(r *rig) { r.send(sec, text) })
		r.want(text, r.asks[0].status(), want)
		r.want(text+": closed", r.asks[0].err == link.ErrEOF, want == 400)
	}
}

func TestGivenUp(t *testing.T) {
	for _, stops := range []bool{false, true} {
		r := play(t, world.Peer{Slots: 1, Queue: 9, StopsWork: stops}, func(r *rig) {
			r.Slow(10)
			r.calls(2, sec, 0)
			r.send(sec, quote("b", "X-Budget: 0.150\r\n"))
			r.at(sec+50*ms, func() { r.asks[0].conn.Close(); r.asks[1].conn.CloseWrite() })
		})
		s, want := r.Stats(), "[2 0 0 200]"
		if stops {
			want = "[1 1 1 504]"
		}
		r.want("unheard, dropped, overdue", []int{s.Unheard, s.Dropped, s.Overdue, r.asks[2].status()}, want)
	}
}

func TestStalls(t *testing.T) {
	r := play(t, world.Peer{}, func(r *rig) {
		r.calls(1, sec, 0)
		r.at(sec+10*ms, func() { r.Stall(500 * ms); r.Stall(100 * ms) })
		r.send(1200*ms, "GET /stats HTTP/1.1\r\nHost: p\r\n\r\n")
	})
	r.near("a call in work", r.asks[0].first, 1524*ms, 0.001)
	r.near("the quickest answer", r.asks[1].first, 1511*ms, 0.001)

	r = play(t, world.Peer{PauseEach: span(sec), Pause: span(100 * ms)}, func(r *rig) { r.calls(25, sec, sec) })
	pauses := 0
	for i, a := range r.asks {
		if a.first-time.Duration(i+1)*sec > 27*ms {
			pauses++
		}
	}
	r.want("some calls met a pause", 2 <= pauses && pauses <= 10, true)
}

func TestCrowd(t *testing.T) {
	for held, slower := range map[int]float64{2: 1, 4: 1.5, 6: 2.5, 12: 2.5} {
		c := world.Peer{Slots: 1, Queue: 12, CrowdAt: 3, Crowded: 2.5}
		r := play(t, c, func(r *rig) { r.calls(held, sec, 0) })
		r.near(fmt.Sprintf("with %d held", held), r.asks[0].first-sec-4*way, figure.Seconds(0.02*slower), 0.07)
	}
}

// story is all that a run showed: bytes, and when they came.
func story(t *testing.T, faults func(*Peer)) []string {
	c := world.Peer{Cores: 2, Slots: 4, Queue: 3, Errors: 0.1, PauseEach: span(sec), Pause: span(20 * ms)}
	r := play(t, c, func(r *rig) {
		faults(r.Peer)
		r.calls(200, sec, 20*ms)
	})
	var out []string
	for _, a := range r.asks {
		out = append(out, fmt.Sprintf("%v %v %q", a.first, a.err, a.raw))
	}
	return out
}

func TestSameSeedSameStory(t *testing.T) {
	all := func(p *Peer) {
		p.Fail(0.2)
		p.Spoil(0.2)
		p.Break(0.2)
		p.Slow(2)
		p.Costly("quote", 0.1, 5)
		p.Silent(0.1)
	}
	if one, two := story(t, all), story(t, all); !slices.Equal(one, two) {
		t.Error("two runs of one seed differ")
	}
}

func TestFaultsLeaveOtherDraws(t *testing.T) {
	turnedAway := func(faults func(*Peer)) (ids []int) {
		r := play(t, world.Peer{Cores: 4, Slots: 4}, func(r *rig) { faults(r.Peer); r.calls(100, sec, 100*ms) })
		for i, a := range r.asks {
			if a.status() == 503 && strings.Contains(string(a.raw), "X-Rejected: 1") {
				ids = append(ids, i)
			}
		}
		return ids
	}
	one := turnedAway(func(p *Peer) { p.TurnAway(0.3) })
	among := turnedAway(func(p *Peer) { p.Fail(0.5); p.TurnAway(0.3); p.Spoil(0.5); p.Slow(3) })
	two := turnedAway(func(p *Peer) { p.TurnAway(0.3); p.TurnAway(0.3) })
	if !slices.Equal(one, among) {
		t.Errorf("turned away: %v; with other faults %v", one, among)
	}
	missed := slices.DeleteFunc(slices.Clone(one), func(i int) bool { return slices.Contains(two, i) })
	if len(one) < 20 || len(one) > 40 || len(two) < 40 || len(two) > 62 || len(missed) > 0 {
		t.Errorf("with one fault of 0.3 %v, with two %v", one, two)
	}
}

func TestAnswersAreAPeersOwn(t *testing.T) {
	bodies, forms := map[string]bool{}, map[string]bool{}
	for _, name := range []string{"p03", "p04"} {
		r := play(t, world.Peer{Name: name, Cores: 9, Slots: 9}, func(r *rig) {
			for i := range 200 {
				r.send(time.Duration(i)*20*ms, quote("a"))
			}
		})
		for i, a := range r.asks {
			m := a.got[0]
			_, chunked := m.Get("Transfer-Encoding")
			bodies[string(m.Body)], forms[fmt.Sprint(chunked, m.Close)] = true, true
			want := fmt.Sprintf("peer=%s call=a run=%d ", name, i+1)
			if n := len(m.Body); n < 50 || n > 150 || !bytes.HasPrefix(m.Body, []byte(want)) {
				t.Errorf("body %.60q, want %q", m.Body, want)
			}
		}
	}
	if len(bodies) != 400 || len(forms) < 3 {
		t.Errorf("%d bodies of 400, forms %v", len(bodies), forms)
	}
}
