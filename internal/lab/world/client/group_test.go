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
		want  float64 // expected arrivals in 20 s
	}{
		{"steady", world.Clients{Rate: 100}, 0, 2000},
		{"waves", world.Clients{Rate: 100, Swing: 0.8, Period: span(5 * time.Second)}, 0, 2000},
		{"surge", world.Clients{Rate: 100}, 3, 4000}, // for 10 of 20 s
		{"lull", world.Clients{Rate: 100}, 0.2, 1200},
	} {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(l *harness) {
				k := l.newGroup(c.conf, 5)
				if c.surge > 0 {
					l.loop.At(2*time.Second, func() { l.loop.At(12*time.Second, k.Surge(c.surge)) })
				}
				got := l.runGroup(k, 20*time.Second)
				if off := math.Abs(float64(got.Asked)-c.want) / math.Sqrt(c.want); off > 4 {
					t.Errorf("%d arrivals, want about %v", got.Asked, c.want)
				}
				ids[c.name] = map[string]bool{}
				for _, m := range l.nodes[0].requests {
					ids[c.name][fieldValue(m, "X-Call-Id")] = true
				}
				if len(ids[c.name]) != got.Asked || got.Served != got.Asked || got.ServedWorth != got.OfferedWorth {
					t.Errorf("%d distinct ids, tally %+v; want one id per request and all served", len(ids[c.name]), got)
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
		t.Errorf("the surge lost %d regular requests, the lull added %d; want 0", fewer, more)
	}
}

func TestSameSeedSendsSameBytes(t *testing.T) {
	conf := world.Clients{Keys: 20, Zipf: 1, Unusual: 0.5, Fresh: 0.2, Keep: 0.1, Leave: 0.1, Retries: 1, Conns: 4}
	sentBytes := func(seed uint64, prepare func(k *Group)) (s string) {
		withHarness(t, func(l *harness) {
			l.nodes[0].handle = func(k *nodeConn, m *http1.Message) {
				if k.requestCount%7 == 0 {
					k.respond(503, "")
				} else {
					l.loop.After(30*time.Millisecond, func() { k.respond(200, "") })
				}
			}
			k := l.newGroup(conf, seed)
			prepare(k)
			l.runGroup(k, 5*time.Second)
			s = l.nodes[0].bytes.String()
		})
		return s
	}
	plain := func(*Group) {}
	if a, b := sentBytes(1, plain), sentBytes(1, plain); a != b || len(a) < 1000 {
		t.Error("two runs with the same seed sent different bytes, or less than 1000 bytes")
	}
	if sentBytes(1, plain) == sentBytes(2, plain) {
		t.Error("two runs with different seeds sent the same bytes")
	}
}

// Every request of a group must be valid for a strict parser and have the fields that the platform requires.
func TestRequestsAreValid(t *testing.T) {
	withHarness(t, func(l *harness) {
		seen, keys, retried := map[string]bool{}, map[string]int{}, 0
		l.nodes[0].handle = func(k *nodeConn, m *http1.Message) {
			id, class := fieldValue(m, "X-Call-Id"), fieldValue(m, "X-Call-Class")
			path, query, _ := strings.Cut(m.Target, "?")
			values, err := url.ParseQuery(query)
			budget, err2 := strconv.ParseFloat(fieldValue(m, "X-Budget"), 64)
			safe := m.Method == "GET" && len(m.Body) == 0 && class == "quote"
			unsafe := m.Method == "POST" && strings.HasPrefix(string(m.Body), "call="+id[:1]) && class == "confirm"
			switch {
			case seen[id]:
				t.Errorf("id %s was sent twice", id)
			case len(id) != 16 || path != "/api" || len(values["user"]) != 1 || err != nil || !safe && !unsafe ||
				err2 != nil || budget <= 0 || budget > 0.6 || fieldValue(m, "X-Caller") != "acme" || fieldValue(m, "Host") == "":
				t.Errorf("invalid request: %+v, body %q", m, m.Body)
			}
			seen[id] = true
			keys[values.Get("user")]++
			if fieldValue(m, "X-Again") == "1" {
				retried++
			}
			k.respond([]int{200, 429, 503}[len(seen)%3], "")
		}
		conf := world.Clients{Keys: 10, Zipf: 1.1, Unusual: 1, Retries: 2, Rate: 300}
		got := l.runGroup(l.newGroup(conf, 6), 10*time.Second)
		most := 0
		for _, n := range keys {
			most = max(most, n)
		}
		if len(keys) != 10 || most < len(seen)/4 {
			t.Errorf("%d keys, the most popular used %d times of %d; want 10 keys, the most popular in a quarter",
				len(keys), most, len(seen))
		}
		if retried == 0 || retried != got.Retries || len(seen) != got.Asked+got.Retries {
			t.Errorf("%d requests marked as retries, %d requests received, tally %+v", retried, len(seen), got)
		}
	})
}

// Clients must retry an unsafe request only if it cannot have run, and a safe one after any failure.
func TestRetriesOnlyWhereHarmless(t *testing.T) {
	served, refused := func(t Tally) int { return t.Served }, func(t Tally) int { return t.Refused }
	failed := func(t Tally) int { return t.Failed }
	respondWith := func(n int, fields string) func(k *nodeConn) { return func(k *nodeConn) { k.respond(n, fields) } }
	for _, c := range []struct {
		name         string
		end          func(k *nodeConn)
		safe, unsafe int // number of requests that reach the node for each request, with at most one retry
		outcome      func(Tally) int
	}{
		{"served", respondWith(200, ""), 1, 1, served},
		{"refused 503", respondWith(503, ""), 2, 2, refused},
		{"refused 429", respondWith(429, "Retry-After: 0.1\r\n"), 2, 2, refused},
		{"error 502", respondWith(502, ""), 2, 1, failed},
		{"error 409", respondWith(409, ""), 2, 1, failed},
		{"connection reset", func(k *nodeConn) { k.Reset() }, 2, 1, failed},
		{"connection closed", func(k *nodeConn) { k.Close() }, 2, 1, failed},
		{"incomplete response", func(k *nodeConn) {
			k.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha"))
			k.Close()
		}, 2, 1, failed},
		{"invalid response", func(k *nodeConn) { k.Write([]byte("what?\r\n\r\n")) }, 2, 1, failed},
		{"no response", func(k *nodeConn) {}, 2, 1, func(t Tally) int { return t.Unanswered }},
	} {
		for i, class := range classes {
			t.Run(c.name+" "+class.Name, func(t *testing.T) {
				withHarness(t, func(l *harness) {
					l.nodes[0].handle = func(k *nodeConn, _ *http1.Message) { c.end(k) }
					conf := world.Clients{Mix: map[string]float64{class.Name: 1}, Retries: 1, Rate: 20}
					got := l.runGroup(l.newGroup(conf, 8), 3*time.Second)
					want := []int{c.safe, c.unsafe}[i] * got.Asked
					if len(l.nodes[0].requests) != want || c.outcome(got) != got.Asked || got.Asked < 20 {
						t.Errorf("%d requests received, tally %+v; want %d requests", len(l.nodes[0].requests), got, want)
					}
				})
			})
		}
	}
	t.Run("no node listens", func(t *testing.T) {
		withHarness(t, func(l *harness) {
			for _, n := range l.nodes {
				n.listener.Close()
			}
			got := l.runGroup(l.newGroup(world.Clients{Retries: 1}, 8), 3*time.Second)
			if got.Failed != got.Asked || got.Retries != got.Asked {
				t.Errorf("tally %+v, want every request failed and retried once", got)
			}
		})
	})
}

// A request that the node provably did not read must be sent once more, with the same id.
func TestUnreadRequestIsResentOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		again  bool // the node does not read the second copy either
		copies int
		want   func(Tally) bool
	}{
		{"once", false, 2, func(t Tally) bool { return t.Served == t.Asked && t.Retries == 0 }},
		{"twice", true, 2, func(t Tally) bool { return t.Failed == t.Asked }},
	} {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(l *harness) {
				seen := map[string]int{}
				l.nodes[0].raw = func(k *nodeConn, b []byte) {
					id := string(b[strings.Index(string(b), "Id: ")+4:][:16])
					seen[id]++
					if seen[id] > 1 && !c.again {
						k.respond(200, "")
						return
					}
					k.Reset()
				}
				l.net.ResetsLeaveUnread = true
				got := l.runGroup(l.newGroup(world.Clients{Mix: map[string]float64{"confirm": 1}}, 8), 2*time.Second)
				for id, n := range seen {
					if n != c.copies {
						t.Errorf("request %s was sent %d times", id, n)
					}
				}
				if !c.want(got) || len(seen) != got.Asked {
					t.Errorf("%d distinct ids, unexpected tally %+v", len(seen), got)
				}
			})
		})
	}
}

// Of two requests on one connection, only the second is provably unread and may be resent.
func TestOnlyUnreadPipelinedRequestIsResent(t *testing.T) {
	withHarness(t, func(l *harness) {
		first, second := map[string]int{}, map[string]int{}
		before := map[*nodeConn]bool{}
		l.nodes[0].raw = func(k *nodeConn, b []byte) {
			id := string(b[strings.Index(string(b), "Id: ")+4:][:16])
			if second[id] > 0 {
				second[id]++
				k.respond(200, "")
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
		got := l.runGroup(l.newGroup(world.Clients{Mix: map[string]float64{"confirm": 1}, Pipelined: 1}, 8), 2*time.Second)
		for id, n := range first {
			if n != 1 {
				t.Errorf("request %s may have been read but was sent %d times, want 1", id, n)
			}
		}
		for id, n := range second {
			if n != 2 {
				t.Errorf("request %s was not read and was sent %d times, want 2", id, n)
			}
		}
		if len(first) < 10 || len(second) < 10 || got.Served != len(second) || got.Retries != 0 {
			t.Errorf("%d first and %d second requests, tally %+v; want at least 10 each, all second ones served",
				len(first), len(second), got)
		}
	})
}

func TestConnections(t *testing.T) {
	for _, c := range []struct {
		name string
		conf world.Clients
		// ok checks the node, the maximum number of requests on one connection, and the number of connections left open.
		ok func(n *fakeNode, most, left int) bool
	}{
		{"reused", world.Clients{}, func(n *fakeNode, most, left int) bool { return len(n.conns) < 30 && most > 20 }},
		{"limited to 3", world.Clients{Conns: 3}, func(n *fakeNode, most, left int) bool { return n.maxOpenConns == 3 }},
		{"fresh", world.Clients{Fresh: 1}, func(n *fakeNode, most, left int) bool { return most == 1 && left == 0 }},
		{"kept unused", world.Clients{Keep: 1}, func(n *fakeNode, most, left int) bool { return most == 1 && left > 99 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(l *harness) {
				n := l.nodes[0]
				n.handle = func(k *nodeConn, m *http1.Message) {
					l.loop.After(100*time.Millisecond, func() { k.respond(200, "") })
				}
				c.conf.Rate = 100
				k := l.newGroup(c.conf, 9)
				k.Start(4 * time.Second)
				l.runUntil(6 * time.Second)
				most := 0
				for _, k := range n.conns {
					most = max(most, k.requestCount)
				}
				if !c.ok(n, most, n.openConns) {
					t.Errorf("%d connections, %d open at once, %d open at the end, at most %d requests on one",
						len(n.conns), n.maxOpenConns, n.openConns, most)
				}
				k.Stop()
			})
		})
	}
	t.Run("pipelined", func(t *testing.T) {
		withHarness(t, func(l *harness) {
			busy, shared := map[*nodeConn]int{}, 0
			l.nodes[0].handle = func(k *nodeConn, m *http1.Message) {
				if busy[k]++; busy[k] > 1 {
					shared++
				}
				l.loop.After(30*time.Millisecond, func() { busy[k]--; k.respond(200, "") })
			}
			got := l.runGroup(l.newGroup(world.Clients{Pipelined: 0.5}, 9), 4*time.Second)
			if shared == 0 || got.Served != got.Asked {
				t.Errorf("%d requests shared a connection, tally %+v; want some shared and all served", shared, got)
			}
		})
	})
}

// A client must wait exactly as long as it stated, and close its connection when it leaves.
func TestDeadlineAndLeaving(t *testing.T) {
	for _, c := range []struct {
		name string
		conf world.Clients
		left bool
	}{
		{"waits until the deadline", world.Clients{Patience: 0.8}, false},
		{"leaves early", world.Clients{Patience: 0.8, Leave: 1}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(l *harness) {
				budgets := map[*nodeConn]time.Duration{}
				l.nodes[0].handle = func(k *nodeConn, m *http1.Message) {
					s, _ := strconv.ParseFloat(fieldValue(m, "X-Budget"), 64)
					budgets[k] = l.loop.Now() + time.Duration(s*float64(time.Second))
				}
				k := l.newGroup(c.conf, 9)
				got := l.runGroup(k, 3*time.Second)
				for k, until := range budgets {
					if d := k.endedAt - until; d > time.Millisecond || d < -time.Millisecond && !c.left {
						t.Errorf("connection %s ended %v after its deadline, by %v", k.ID(), d, k.end)
					}
				}
				if n := got.Unanswered; !c.left && n != got.Asked {
					t.Errorf("tally %+v, want all unanswered", got)
				}
				if c.left && got.Left != got.Asked {
					t.Errorf("tally %+v, want all left", got)
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
			withHarness(t, func(l *harness) {
				l.nodes[0].handle = func(k *nodeConn, _ *http1.Message) { k.respond(503, c.header) }
				l.runGroup(l.newGroup(world.Clients{Rate: 0.4, Retries: 1, Honour: c.honour}, 4), 5*time.Second)
				at := l.nodes[0].at
				if len(at) < 2 {
					t.Fatal("no retry")
				}
				if wait := at[1] - at[0] - 2*networkDelay; wait < c.lo || wait > c.hi {
					t.Errorf("retry after %v, outside the expected range", wait)
				}
			})
		})
	}
}

// Runs in real time check response bodies only by this count: a response must contain the id of its call.
func TestForeignAnswers(t *testing.T) {
	for _, c := range []struct {
		name string
		body func(id string) string
		want bool
	}{
		{"own call", func(id string) string { return "peer=p call=" + id + " run=1 " }, false},
		{"another call", func(id string) string { return "peer=p call=" + id + "0 run=1 " }, true},
	} {
		withHarness(t, func(l *harness) {
			for _, n := range l.nodes {
				n.handle = func(k *nodeConn, m *http1.Message) {
					b := c.body(fieldValue(m, "X-Call-Id"))
					k.Write(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b))
				}
			}
			if got := l.runGroup(l.newGroup(world.Clients{}, 1), time.Second); got.Served == 0 || (got.Foreign > 0) != c.want {
				t.Errorf("body of %s: unexpected tally %+v", c.name, got)
			}
		})
	}
}
