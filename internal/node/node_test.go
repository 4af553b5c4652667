package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

func config() *protocol.Config {
	class := balancer.Class{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, Idempotency: balancer.NonIdempotent}
	entry := routing.Endpoint{Server: balancer.Server{ID: 7, Weight: 1, State: balancer.Ready}, Name: "s-7", Addr: "peer:1"}
	return &protocol.Config{
		Name: "n1", Listen: "node:1", Discovery: "discovery:1", Cores: 1, MemoryMB: 64, Sockets: 256, Seed: 1,
		Settings: balancer.Settings{
			Classes: []balancer.Class{class}, Nodes: 1, SlowStart: time.Second, InitialCapacity: 0.2, OverloadFactor: 3, OverloadWindow: time.Second,
			MaxAttempts: 3, RetryAfter: true, MaxRetryAfter: time.Second, CancelAttempts: true, DrainGrace: time.Second, PollDiscovery: true,
			PollInterval: time.Second, HealthChecks: true,
		},
		NameIndex:      protocol.NameIndex{Classes: map[string]int{"book": 0}, Methods: []string{"POST"}},
		ConnectTimeout: 75 * time.Millisecond, IdleTimeout: 10 * time.Second, LongestDeadline: 2 * time.Second,
		KnownEndpoints: routing.EndpointList{Endpoints: []routing.Endpoint{entry}}, KnownEndpointsVersion: 4,
	}
}

// wrapped sees the tries on their way to the carrier.
type wrapped struct {
	routing.Transport
	tries chan routing.Attempt
}

func (w wrapped) RoundTrip(ctx context.Context, t routing.Attempt) routing.AttemptResult {
	w.tries <- t
	return w.Transport.RoundTrip(ctx, t)
}

// stage is a node in a bubble, with all that it hangs on.
type stage struct {
	*Node
	memory  *memory
	client  *http.Client
	tries   chan routing.Attempt
	asked   chan string // of discoveries
	arrived chan bool   // at the peer, under /held
	release chan bool   // of these
	ids     atomic.Int64
}

// play runs f in a bubble, which panics at its end if any goroutine is left.
func play(t *testing.T, f func(t *testing.T, s *stage)) {
	synctest.Test(t, func(t *testing.T) {
		s := &stage{memory: &memory{ports: map[string]chan net.Conn{}}, tries: make(chan routing.Attempt, 100),
			asked: make(chan string, 1000), arrived: make(chan bool), release: make(chan bool)}
		serve := func(addr string, h http.HandlerFunc) {
			l, _ := s.memory.listen(addr)
			server := &http.Server{Handler: h}
			go server.Serve(l)
			t.Cleanup(func() { server.Close() })
		}
		for _, addr := range []string{"discovery:1", "discovery:2"} {
			serve(addr, func(w http.ResponseWriter, r *http.Request) {
				s.asked <- addr + r.RequestURI
				if addr == "discovery:2" { // its watch ends, on a connection that is still good
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				select {
				case <-time.After(2 * time.Second):
				case <-r.Context().Done():
				}
				io.WriteString(w, `{"version":4,"full":false,"servers":[]}`)
			})
		}
		serve("peer:1", func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body) // or net/http does not notice that the node has gone
			if r.URL.Path == "/held" {
				s.arrived <- true
				select {
				case <-s.release:
				case <-r.Context().Done():
				}
			}
			io.WriteString(w, r.Header.Get(protocol.HeaderCallID))
		})
		s.client = &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return s.memory.dial(ctx, addr)
		}}}
		var err error
		s.Node, err = Start(config(), Options{Listen: s.memory.listen, Dial: s.memory.dial,
			WrapCarrier: func(c routing.Transport) routing.Transport { return wrapped{c, s.tries} }})
		if err != nil {
			t.Fatal(err)
		}
		f(t, s)
		s.client.CloseIdleConnections()
		time.Sleep(time.Second)
		if n := s.memory.open(); n > 0 {
			t.Errorf("%d ends of connections are left open", n)
		}
		if _, err := s.Resources(t.Context()); err == nil {
			t.Error("the decisions go on")
		}
	})
}

// ask sends one call; status 0: it got no answer.
func (s *stage) ask(path string) (status int, body string) { return s.askWithin(path, "1.5") }

// askWithin gives the call so many seconds.
func (s *stage) askWithin(path, budget string) (status int, body string) {
	req, _ := http.NewRequest("POST", "http://node:1"+path, strings.NewReader("paid"))
	for name, v := range map[string]string{"X-Call-Id": fmt.Sprint("9b", s.ids.Add(1)), "X-Call-Class": "book", "X-Budget": budget} {
		req.Header.Set(name, v)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// TestDrain: a planned end answers what is open and leaves nothing behind.
func TestDrain(t *testing.T) {
	play(t, func(t *testing.T, s *stage) {
		if status, body := s.ask("/api"); status != 200 || body != "9b1" {
			t.Errorf("%d %q", status, body)
		}
		if try := <-s.tries; try.RequestID != 1 || try.Number != 0 {
			t.Errorf("call %d, attempt %d", try.RequestID, try.Number)
		}
		if r, err := s.Resources(t.Context()); err != nil || r != (Resources{Servers: 1, Timers: 1, Watching: true, ClientConns: 1, ServerConns: 1}) {
			t.Errorf("at rest: %+v, %v", r, err)
		}
		safe := config() // its only class, that is
		safe.NameIndex.Methods = []string{"GET"}
		s.Reload(safe)
		if status, _ := s.ask("/api"); status != 405 {
			t.Errorf("a POST of a class that is safe by now: %d", status)
		}
		moved := config()
		moved.Discovery = "discovery:2"
		s.Reload(moved)
		for uri := range s.asked {
			if uri == "discovery:2"+protocol.PathEndpoints {
				break
			}
		}
		status := make(chan int)
		go func() {
			got, _ := s.ask("/held")
			status <- got
		}()
		<-s.arrived
		if r, err := s.Resources(t.Context()); err != nil || r.OpenCalls != 1 || r.CallIDs != 1 || r.Attempts != 1 {
			t.Errorf("with one call open: %+v, %v", r, err)
		}
		drained := make(chan bool)
		go func() {
			s.Drain()
			close(drained)
		}()
		time.Sleep(time.Second)
		s.release <- true
		if got := <-status; got != 200 {
			t.Errorf("the open call: %d", got)
		}
		<-drained
		s.Drain() // of a node that has ended returns
		if status, _ := s.ask("/api"); status != 0 {
			t.Errorf("after the end: %d", status)
		}
	})
}

// TestDrainOutlastsAReload: calls that came with the times of settings before are waited for as long as those allow.
func TestDrainOutlastsAReload(t *testing.T) {
	play(t, func(t *testing.T, s *stage) {
		reload := func(longest time.Duration) {
			c := config()
			c.LongestDeadline = longest
			s.Reload(c)
		}
		reload(30 * time.Second)
		status := make(chan int)
		go func() {
			got, _ := s.askWithin("/held", "30")
			status <- got
		}()
		<-s.arrived
		reload(time.Second)
		reload(2 * time.Second)
		time.AfterFunc(20*time.Second, func() { s.release <- true })
		s.Drain()
		if got := <-status; got != 200 {
			t.Errorf("the open call: %d", got)
		}
	})
}

// TestAbort: a node that ends at once answers nothing, also in the middle of a
// planned end, and all that it started ends too.
func TestAbort(t *testing.T) {
	for _, draining := range []bool{false, true} {
		play(t, func(t *testing.T, s *stage) {
			answer := make(chan int)
			go func() {
				status, _ := s.ask("/held")
				answer <- status
			}()
			<-s.arrived
			drained := make(chan bool)
			if draining {
				go func() {
					s.Drain()
					close(drained)
				}()
				time.Sleep(100 * time.Millisecond)
			} else {
				close(drained)
			}
			before := time.Now()
			s.Abort()
			if got := <-answer; got != 0 {
				t.Errorf("the open call got %d", got)
			}
			<-drained
			if d := time.Since(before); d > 100*time.Millisecond {
				t.Errorf("the end took %v", d)
			}
			select {
			case err := <-s.Failed():
				t.Errorf("an end that was asked for counts as failure: %v", err)
			default:
			}
		})
	}
}
