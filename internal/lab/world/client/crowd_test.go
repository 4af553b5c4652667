package client

import (
	"fmt"
	"math"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	"olivebridge/internal/lab/http1"
	"olivebridge/internal/lab/world"
)

func TestArrivals(t *testing.T) {
	ids := map[string]map[string]bool{}
	for _, c := range []struct {
		name  string
		conf  world.Clients
		surge float64
		want  float64 // arrivals in 20 s
	}{
		{"steady", world.Clients{Rate: 100}, 0, 2000},
		{"waves", world.Clients{Rate: 100, Swing: 0.8, Period: span(5 * time.Second)}, 0, 2000},
		{"surge", world.Clients{Rate: 100}, 3, 4000}, // for half of the time
		{"lull", world.Clients{Rate: 100}, 0.2, 1200},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(l *lab) {
				k := l.crowd(c.conf, 5)
				if c.surge > 0 {
					l.loop.At(2*time.Second, func() { l.loop.At(12*time.Second, k.Surge(c.surge)) })
				}
				got := l.play(k, 20*time.Second)
				if off := math.Abs(float64(got.Asked)-c.want) / math.Sqrt(c.want); off > 4 {
					t.Errorf("%d arrivals, want about %v", got.Asked, c.want)
				}
				ids[c.name] = map[string]bool{}
				for _, m := range l.nodes[0].got {
					ids[c.name][get(m, "X-Call-Id")] = true
				}
				if len(ids[c.name]) != got.Asked || got.Served != got.Asked || got.Worth != got.Whole {
					t.Errorf("%d ids of %+v", len(ids[c.name]), got)
				}
			})
		})
	}
	more, fewer := 0, 0
	for id := range ids["steady"] {
		if !ids["surge"][id] {
			fewer++
		}
	}
	for id := range ids["lull"] {
		if !ids["steady"][id] {
			more++
		}
	}
	if fewer+more > 0 {
		t.Errorf("a surge took %d requests away, a lull brought %d", fewer, more)
	}
}

func TestSameSeedSameBytes(t *testing.T) {
	conf := world.Clients{Keys: 20, Zipf: 1, Odd: 0.5, Fresh: 0.2, Keep: 0.1, Leave: 0.1, Retries: 1, Conns: 4}
	said := func(seed uint64, other func(k *Crowd)) (s string) {
		run(t, func(l *lab) {
			l.nodes[0].serve = func(k *nodeConn, m *http1.Message) {
				if k.got%7 == 0 {
					k.answer(503, "")
				} else {
					l.loop.After(30*time.Millisecond, func() { k.answer(200, "") })
				}
			}
			k := l.crowd(conf, seed)
			other(k)
			l.play(k, 5*time.Second)
			s = l.nodes[0].bytes.String()
		})
		return s
	}
	plain := func(*Crowd) {}
	if a, b := said(1, plain), said(1, plain); a != b || len(a) < 1000 {
		t.Error("one seed, two runs")
	}
	if said(1, plain) == said(2, plain) {
		t.Error("two seeds, one run")
	}
}

// Whatever a crowd sends is lawful, by a strict reader, and says what the platform asks for.
func TestRequestsAreLawful(t *testing.T) {
	run(t, func(l *lab) {
		seen, keys, again := map[string]bool{}, map[string]int{}, 0
		l.nodes[0].serve = func(k *nodeConn, m *http1.Message) {
			id, class := get(m, "X-Call-Id"), get(m, "X-Call-Class")
			path, query, _ := strings.Cut(m.Target, "?")
			values, err := url.ParseQuery(query)
			budget, err2 := strconv.ParseFloat(get(m, "X-Budget"), 64)
			safe := m.Method == "GET" && len(m.Body) == 0 && class == "quote"
			unsafe := m.Method == "POST" && strings.HasPrefix(string(m.Body), "call="+id[:1]) && class == "confirm"
			switch {
			case seen[id]:
				t.Errorf("id %s comes twice", id)
			case len(id) != 16 || path != "/api" || len(values["user"]) != 1 || err != nil || !safe && !unsafe ||
				err2 != nil || budget <= 0 || budget > 0.6 || get(m, "X-Caller") != "acme" || get(m, "Host") == "":
				t.Errorf("odd: %+v, body %q", m, m.Body)
			}
			seen[id] = true
			keys[values.Get("user")]++
			if get(m, "X-Again") == "1" {
				again++
			}
			k.answer([]int{200, 429, 503}[len(seen)%3], "")
		}
		conf := world.Clients{Keys: 10, Zipf: 1.1, Odd: 1, Retries: 2, Rate: 300}
		got := l.play(l.crowd(conf, 6), 10*time.Second)
		most := 0
		for _, n := range keys {
			most = max(most, n)
		}
		if len(keys) != 10 || most < len(seen)/4 {
			t.Errorf("%d keys, the most popular %d times of %d", len(keys), most, len(seen))
		}
		if again == 0 || again != got.Retries || len(seen) != got.Asked+got.Retries {
			t.Errorf("%d marked, %d seen, of %+v", again, len(seen), got)
		}
	})
}

// What a client does after each end of a request, by whether its class may run twice.
func TestRetriesOnlyWhereHarmless(t *testing.T) {
	served, refused := func(t Tally) int { return t.Served }, func(t Tally) int { return t.Refused }
	failed := func(t Tally) int { return t.Failed }
	status := func(n int, fields string) func(k *nodeConn) { return func(k *nodeConn) { k.answer(n, fields) } }
	for _, c := range []struct {
		name         string
		end          func(k *nodeConn)
		safe, unsafe int // requests that reach the node for one that is wanted, at most one retry
		outcome      func(Tally) int
	}{
		{"served", status(200, ""), 1, 1, served},
		{"refused 503", status(503, ""), 2, 2, refused},
		{"refused 429", status(429, "Retry-After: 0.1\r\n"), 2, 2, refused},
		{"error", status(502, ""), 2, 1, failed},
		{"conflict", status(409, ""), 2, 1, failed},
		{"reset", func(k *nodeConn) { k.Reset() }, 2, 1, failed},
		{"closed", func(k *nodeConn) { k.Close() }, 2, 1, failed},
		{"half an answer", func(k *nodeConn) {
			k.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha"))
			k.Close()
		}, 2, 1, failed},
		{"no answer", func(k *nodeConn) { k.Write([]byte("what?\r\n\r\n")) }, 2, 1, failed},
		{"silence", func(k *nodeConn) {}, 2, 1, func(t Tally) int { return t.Unanswered }},
	} {
		for i, class := range classes {
			t.Run(c.name+" "+class.Name, func(t *testing.T) {
				run(t, func(l *lab) {
					l.nodes[0].serve = func(k *nodeConn, _ *http1.Message) { c.end(k) }
					conf := world.Clients{Mix: map[string]float64{class.Name: 1}, Retries: 1, Rate: 20}
					got := l.play(l.crowd(conf, 8), 3*time.Second)
					want := []int{c.safe, c.unsafe}[i] * got.Asked
					if len(l.nodes[0].got) != want || c.outcome(got) != got.Asked || got.Asked < 20 {
						t.Errorf("%d requests for %+v, want %d", len(l.nodes[0].got), got, want)
					}
				})
			})
		}
	}
	t.Run("nobody there", func(t *testing.T) {
		run(t, func(l *lab) {
			for _, n := range l.nodes {
				n.listener.Close()
			}
			got := l.play(l.crowd(world.Clients{Retries: 1}, 8), 3*time.Second)
			if got.Failed != got.Asked || got.Retries != got.Asked {
				t.Errorf("%+v", got)
			}
		})
	})
}

// A request that the node has provably not read goes out once more, with its id.
func TestSentAgainWhenUnread(t *testing.T) {
	for _, c := range []struct {
		name   string
		again  bool // the second is unread, too
		copies int
		want   func(Tally) bool
	}{
		{"once", false, 2, func(t Tally) bool { return t.Served == t.Asked && t.Retries == 0 }},
		{"twice", true, 2, func(t Tally) bool { return t.Failed == t.Asked }},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(l *lab) {
				seen := map[string]int{}
				l.nodes[0].raw = func(k *nodeConn, b []byte) {
					id := string(b[strings.Index(string(b), "Id: ")+4:][:16])
					seen[id]++
					if seen[id] > 1 && !c.again {
						k.answer(200, "")
						return
					}
					k.Reset()
				}
				l.net.ResetsLeaveUnread = true
				got := l.play(l.crowd(world.Clients{Mix: map[string]float64{"confirm": 1}}, 8), 2*time.Second)
				for id, n := range seen {
					if n != c.copies {
						t.Errorf("%s came %d times", id, n)
					}
				}
				if !c.want(got) || len(seen) != got.Asked {
					t.Errorf("%d ids of %+v", len(seen), got)
				}
			})
		})
	}
}

// Of two requests on one connection only the second is provably unread.
func TestSecondOfTwoUnread(t *testing.T) {
	run(t, func(l *lab) {
		first, second := map[string]int{}, map[string]int{}
		before := map[*nodeConn]bool{}
		l.nodes[0].raw = func(k *nodeConn, b []byte) {
			id := string(b[strings.Index(string(b), "Id: ")+4:][:16])
			if second[id] > 0 {
				second[id]++
				k.answer(200, "")
				return
			}
			if before[k] {
				second[id]++
				k.Reset()
				return
			}
			before[k] = true
			first[id]++
		}
		l.net.ResetsLeaveUnread = true
		got := l.play(l.crowd(world.Clients{Mix: map[string]float64{"confirm": 1}, Pipelined: 1}, 8), 2*time.Second)
		for id, n := range first {
			if n != 1 {
				t.Errorf("%s may have been read, and came %d times", id, n)
			}
		}
		for id, n := range second {
			if n != 2 {
				t.Errorf("%s was unread, and came %d times", id, n)
			}
		}
		if len(first) < 10 || len(second) < 10 || got.Served != len(second) || got.Retries != 0 {
			t.Errorf("%d and %d of %+v", len(first), len(second), got)
		}
	})
}

func TestConnections(t *testing.T) {
	for _, c := range []struct {
		name string
		conf world.Clients
		ok   func(n *node, most, left int) bool // the most requests on one connection, and how many stay
	}{
		{"used again", world.Clients{}, func(n *node, most, left int) bool { return len(n.conns) < 30 && most > 20 }},
		{"bounded", world.Clients{Conns: 3}, func(n *node, most, left int) bool { return n.most == 3 }},
		{"one each", world.Clients{Fresh: 1}, func(n *node, most, left int) bool { return most == 1 && left == 0 }},
		{"kept for good", world.Clients{Keep: 1}, func(n *node, most, left int) bool { return most == 1 && left > 99 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(l *lab) {
				n := l.nodes[0]
				n.serve = func(k *nodeConn, m *http1.Message) {
					l.loop.After(100*time.Millisecond, func() { k.answer(200, "") })
				}
				c.conf.Rate = 100
				k := l.crowd(c.conf, 9)
				k.Start(4 * time.Second)
				l.until(6 * time.Second)
				most := 0
				for _, k := range n.conns {
					most = max(most, k.got)
				}
				if !c.ok(n, most, n.open) {
					t.Errorf("%d connections, %d at once, %d at the end, at most %d requests on one",
						len(n.conns), n.most, n.open, most)
				}
				k.Stop()
			})
		})
	}
	t.Run("pipelined", func(t *testing.T) {
		run(t, func(l *lab) {
			busy, both := map[*nodeConn]int{}, 0
			l.nodes[0].serve = func(k *nodeConn, m *http1.Message) {
				if busy[k]++; busy[k] > 1 {
					both++
				}
				l.loop.After(30*time.Millisecond, func() { busy[k]--; k.answer(200, "") })
			}
			got := l.play(l.crowd(world.Clients{Pipelined: 0.5}, 9), 4*time.Second)
			if both == 0 || got.Served != got.Asked {
				t.Errorf("%d shared a connection, of %+v", both, got)
			}
		})
	})
}

// A client waits exactly as long as it said, and whoever leaves closes his connection.
func TestPatienceAndLeaving(t *testing.T) {
	for _, c := range []struct {
		name string
		conf world.Clients
		left bool
	}{
		{"to the end", world.Clients{Patience: 0.8}, false},
		{"leaves", world.Clients{Patience: 0.8, Leave: 1}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(l *lab) {
				budgets := map[*nodeConn]time.Duration{}
				l.nodes[0].serve = func(k *nodeConn, m *http1.Message) {
					s, _ := strconv.ParseFloat(get(m, "X-Budget"), 64)
					budgets[k] = l.loop.Now() + time.Duration(s*float64(time.Second))
				}
				k := l.crowd(c.conf, 9)
				got := l.play(k, 3*time.Second)
				for k, until := range budgets {
					if d := k.ended - until; d > time.Millisecond || d < -time.Millisecond && !c.left {
						t.Errorf("%s ended %v after its time, by %v", k.ID(), d, k.end)
					}
				}
				if n := got.Unanswered; !c.left && n != got.Asked {
					t.Errorf("%+v", got)
				}
				if c.left && got.Left != got.Asked {
					t.Errorf("%+v", got)
				}
			})
		})
	}
}

func TestRetryAfter(t *testing.T) {
	for _, c := range []struct {
		honour float64
		header string
		lo, hi time.Duration
	}{
		{1, "Retry-After: 0.7\r\n", 700 * time.Millisecond, 701 * time.Millisecond},
		{1, "Retry-After: 60\r\n", 1500 * time.Millisecond, 1501 * time.Millisecond},
		{1, "Retry-After: soon\r\n", 20 * time.Millisecond, 80 * time.Millisecond},
		{0, "Retry-After: 0.7\r\n", 20 * time.Millisecond, 80 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(c.honour, c.header), func(t *testing.T) {
			run(t, func(l *lab) {
				l.nodes[0].serve = func(k *nodeConn, _ *http1.Message) { k.answer(503, c.header) }
				l.play(l.crowd(world.Clients{Rate: 0.4, Retries: 1, Honour: c.honour}, 4), 5*time.Second)
				at := l.nodes[0].at
				if len(at) < 2 {
					t.Fatal("no retry")
				}
				if wait := at[1] - at[0] - 2*way; wait < c.lo || wait > c.hi {
					t.Errorf("came again after %v", wait)
				}
			})
		})
	}
}

// Guards the one look at bodies that a run in real time has: whose answer it is.
func TestForeignAnswers(t *testing.T) {
	for _, c := range []struct {
		name string
		body func(id string) string
		want bool
	}{
		{"its own", func(id string) string { return "peer=p call=" + id + " run=1 " }, false},
		{"another's", func(id string) string { return "peer=p call=" + id + "0 run=1 " }, true},
	} {
		run(t, func(l *lab) {
			for _, n := range l.nodes {
				n.serve = func(k *nodeConn, m *http1.Message) {
					b := c.body(get(m, "X-Call-Id"))
					k.Write(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b))
				}
			}
			if got := l.play(l.crowd(world.Clients{}, 1), time.Second); got.Served == 0 || (got.Foreign > 0) != c.want {
				t.Errorf("%s: %+v", c.name, got)
			}
		})
	}
}
