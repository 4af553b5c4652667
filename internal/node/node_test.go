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

func testConfig() *protocol.Config {
	class := balancer.Class{
		LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, Idempotency: balancer.NonIdempotent}
	endpoint := routing.Endpoint{
		Server: balancer.Server{ID: 7, Weight: 1, State: balancer.Ready}, Name: "s-7", Addr: "server:1"}
	return &protocol.Config{
		Name: "n1", Listen: "node:1", Discovery: "discovery:1", Cores: 1, MemoryMB: 64, Sockets: 256, Seed: 1,
		Settings: balancer.Settings{
			Classes: []balancer.Class{class}, Nodes: 1, SlowStart: time.Second, InitialCapacity: 0.2, OverloadFactor: 3,
			OverloadWindow: time.Second, MaxAttempts: 3, RetryAfter: true, MaxRetryAfter: time.Second,
			CancelAttempts: true, DrainGrace: time.Second, PollDiscovery: true, PollInterval: time.Second,
			HealthChecks: true,
		},
		NameIndex:      protocol.NameIndex{Classes: map[string]int{"book": 0}, Methods: []string{"POST"}},
		ConnectTimeout: 75 * time.Millisecond, IdleTimeout: 10 * time.Second, LongestDeadline: 2 * time.Second,
		KnownEndpoints: routing.EndpointList{Endpoints: []routing.Endpoint{endpoint}}, KnownEndpointsVersion: 4,
	}
}

// attemptRecorder wraps a transport and sends each attempt to attempts before the transport makes it.
type attemptRecorder struct {
	routing.Transport
	attempts chan routing.Attempt
}

func (r attemptRecorder) RoundTrip(ctx context.Context, a routing.Attempt) routing.AttemptResult {
	r.attempts <- a
	return r.Transport.RoundTrip(ctx, a)
}

// testNode is a node on a memory network and a virtual clock, with a client, a server and two discovery services. The
// server holds requests under /held until the test releases them.
type testNode struct {
	*Node
	network           *memoryNetwork
	client            *http.Client
	attempts          chan routing.Attempt
	discoveryRequests chan string // receives the address and URI of each request to discovery
	arrived           chan bool   // receives a value when the server has received a request under /held
	release           chan bool   // each value sent makes the server answer one of these requests
	ids               atomic.Int64
}

// runNode runs f with a new testNode on a virtual clock. f must shut the node down: runNode checks that no connection
// is left open, and synctest fails the test if a goroutine is left.
func runNode(t *testing.T, f func(t *testing.T, s *testNode)) {
	synctest.Test(t, func(t *testing.T) {
		s := &testNode{
			network: newMemoryNetwork(), attempts: make(chan routing.Attempt, 100),
			discoveryRequests: make(chan string, 1000), arrived: make(chan bool), release: make(chan bool)}
		serve := func(addr string, h http.HandlerFunc) {
			l, _ := s.network.listen(addr)
			server := &http.Server{Handler: h}
			go server.Serve(l)
			t.Cleanup(func() { server.Close() })
		}
		for _, addr := range []string{"discovery:1", "discovery:2"} {
			serve(addr, func(w http.ResponseWriter, r *http.Request) {
				s.discoveryRequests <- addr + r.RequestURI
				if addr == "discovery:2" { // the watch fails while its connection stays usable
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
		serve("server:1", func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body) // with the body unread, net/http would not notice that the node has disconnected
			if r.URL.Path == "/held" {
				s.arrived <- true
				select {
				case <-s.release:
				case <-r.Context().Done():
				}
			}
			io.WriteString(w, r.Header.Get(protocol.HeaderCallID))
		})
		dial := func(ctx context.Context, _, addr string) (net.Conn, error) { return s.network.dial(ctx, addr) }
		s.client = &http.Client{Transport: &http.Transport{DialContext: dial}}
		var err error
		s.Node, err = Start(testConfig(), Options{Listen: s.network.listen, Dial: s.network.dial,
			WrapTransport: func(c routing.Transport) routing.Transport { return attemptRecorder{c, s.attempts} }})
		if err != nil {
			t.Fatal(err)
		}
		f(t, s)
		s.client.CloseIdleConnections()
		time.Sleep(time.Second)
		if n := s.network.openConns(); n > 0 {
			t.Errorf("%d connection ends are open after the shutdown, want 0", n)
		}
		if _, err := s.Resources(t.Context()); err == nil {
			t.Error("the router still answers after the shutdown, want an error")
		}
	})
}

// call sends one call with a timeout of 1.5 s and returns the response; status 0: there was no response, and body is
// the error.
func (s *testNode) call(path string) (status int, body string) { return s.callWithTimeout(path, "1.5") }

// callWithTimeout is call with a timeout in seconds.
func (s *testNode) callWithTimeout(path, timeout string) (status int, body string) {
	req, _ := http.NewRequest("POST", "http://node:1"+path, strings.NewReader("paid"))
	req.Header.Set(protocol.HeaderCallID, fmt.Sprint("9b", s.ids.Add(1)))
	req.Header.Set(protocol.HeaderClass, "book")
	req.Header.Set(protocol.HeaderTimeout, timeout)
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// TestDrain: a graceful shutdown answers open calls, and leaves no connection, goroutine or timer.
func TestDrain(t *testing.T) {
	runNode(t, func(t *testing.T, s *testNode) {
		if status, body := s.call("/api"); status != 200 || body != "9b1" {
			t.Errorf("got status %d, body %q; want status 200 and the call's id 9b1", status, body)
		}
		if attempt := <-s.attempts; attempt.RequestID != 1 || attempt.Number != 0 {
			t.Errorf("got call %d, attempt %d; want call 1, attempt 0", attempt.RequestID, attempt.Number)
		}
		idle := Resources{Servers: 1, Timers: 1, Watching: true, ClientConns: 1, ServerConns: 1}
		if r, err := s.Resources(t.Context()); err != nil || r != idle {
			t.Errorf("resources of an idle node: %+v, %v", r, err)
		}
		idempotent := testConfig()
		idempotent.NameIndex.Methods = []string{"GET"}
		s.Reload(idempotent)
		if status, _ := s.call("/api"); status != 405 {
			t.Errorf("POST of a class that a reload made idempotent: got status %d, want 405", status)
		}
		moved := testConfig()
		moved.Discovery = "discovery:2"
		s.Reload(moved)
		for uri := range s.discoveryRequests {
			if uri == "discovery:2"+protocol.PathEndpoints {
				break
			}
		}
		status := make(chan int)
		go func() {
			got, _ := s.call("/held")
			status <- got
		}()
		<-s.arrived
		if r, err := s.Resources(t.Context()); err != nil || r.OpenCalls != 1 || r.CallIDs != 1 || r.Attempts != 1 {
			t.Errorf("resources with one call open: %+v, %v", r, err)
		}
		drained := make(chan bool)
		go func() {
			s.Drain()
			close(drained)
		}()
		time.Sleep(time.Second)
		s.release <- true
		if got := <-status; got != 200 {
			t.Errorf("call open during the shutdown: got status %d, want 200", got)
		}
		<-drained
		s.Drain() // a second Drain returns
		if status, _ := s.call("/api"); status != 0 {
			t.Errorf("call after the shutdown: got status %d, want no response", status)
		}
	})
}

// TestDrainAfterReload: Drain waits for calls that arrived before a reload as long as the settings of that time allow,
// although the new settings have a shorter deadline.
func TestDrainAfterReload(t *testing.T) {
	runNode(t, func(t *testing.T, s *testNode) {
		reload := func(longest time.Duration) {
			c := testConfig()
			c.LongestDeadline = longest
			s.Reload(c)
		}
		reload(30 * time.Second)
		status := make(chan int)
		go func() {
			got, _ := s.callWithTimeout("/held", "30")
			status <- got
		}()
		<-s.arrived
		reload(time.Second)
		reload(2 * time.Second)
		time.AfterFunc(20*time.Second, func() { s.release <- true })
		s.Drain()
		if got := <-status; got != 200 {
			t.Errorf("call from before the reload: got status %d, want 200", got)
		}
	})
}

// TestAbort: Abort leaves open calls unanswered and ends all goroutines of the node, also during a graceful shutdown.
func TestAbort(t *testing.T) {
	for _, draining := range []bool{false, true} {
		runNode(t, func(t *testing.T, s *testNode) {
			openCall := make(chan int)
			go func() {
				status, _ := s.call("/held")
				openCall <- status
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
			if got := <-openCall; got != 0 {
				t.Errorf("open call: got status %d, want no response", got)
			}
			<-drained
			if d := time.Since(before); d > 100*time.Millisecond {
				t.Errorf("Abort and the end of Drain took %v, want at most 100ms", d)
			}
			select {
			case err := <-s.Failed():
				t.Errorf("Failed received %v after Abort, want nothing", err)
			default:
			}
		})
	}
}
