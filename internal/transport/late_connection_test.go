package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/routing"
)

// staticEndpoints is an endpoint list that never changes.
type staticEndpoints struct{}

// Watch implements routing.Watcher.
func (staticEndpoints) Watch(ctx context.Context, told func(routing.EndpointList)) error {
	<-ctx.Done()
	return ctx.Err()
}

// newRouter is a router that runs over a transport and servers of one zone that have just started, each of which
// serves its connections by a function.
func newRouter(t *testing.T, transport *UpstreamTransport, set balancer.Settings, servers int,
	serve func(net.Conn)) *routing.Router {
	t.Helper()
	class := &set.Classes[0]
	class.LatencyObjective, class.Deadline, class.PriorityWeight = 10*time.Second, 20*time.Second, 1
	set.Nodes, set.MaxAttempts, set.CancelAttempts = 1, 3, true
	known := routing.EndpointList{Kind: balancer.UpdateFull, ReceivedAt: time.Now()}
	for id := range balancer.ServerID(servers) {
		known.Endpoints = append(known.Endpoints, routing.Endpoint{Addr: startServer(t, serve).Addr,
			Server: balancer.Server{
				ID:        id + 1,
				Weight:    1,
				State:     balancer.Ready,
				StartedAt: balancer.Time(known.ReceivedAt.UnixNano()),
			}})
	}
	r := routing.New(routing.Config{
		Seed:             1,
		InitialEndpoints: known,
		Transport:        transport,
		Watcher:          staticEndpoints{},
		Log:              slog.New(slog.DiscardHandler),
		Settings:         set,
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- r.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return r
}

// TestLateConnectionAfterDedupWindow: a retry of a class with a dedup window must not be sent once that is over,
// counted from the first attempt that may have run, though it was decided in time and its connection came up later.
// No retry is bound where nothing can have run.
func TestLateConnectionAfterDedupWindow(t *testing.T) {
	const window = 300 * time.Millisecond
	token := balancer.Class{Idempotency: balancer.IdempotencyKeyed, DedupScope: balancer.DedupZone, DedupWindow: window}
	long, pure := token, token
	long.DedupWindow, pure.Idempotency = time.Minute, balancer.Idempotent
	refused := errors.New("refused")
	for name, c := range map[string]struct {
		class balancer.Class
		late  int64 // the connection that comes up after the window
		first error // of the first connection
		want  routing.Verdict
		reach int64 // requests that reach peers
	}{
		"the second, and the first has failed":   {token, 2, nil, routing.Failed, 1},
		"the second, in a long window":           {long, 2, nil, routing.Served, 2},
		"the second, of a class that may repeat": {pure, 2, nil, routing.Served, 2},
		"the second, and the first never ran":    {token, 2, refused, routing.Served, 1},
		"the first, and nothing has left before": {token, 1, nil, routing.Failed, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var dials, reached atomic.Int64
			begun := make(chan time.Time, 1)
			transport, _ := newTestTransport(time.Minute)
			transport.pool.dial = func(ctx context.Context, addr string) (net.Conn, error) {
				n := dials.Add(1)
				if n == 1 {
					begun <- time.Now()
				}
				if n == c.late {
					at := <-begun
					time.Sleep(time.Until(at.Add(window + 20*time.Millisecond)))
				}
				if n == 1 && c.first != nil {
					return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
				}
				return dialTCP(ctx, addr)
			}
			r := newRouter(t, transport, balancer.Settings{Classes: []balancer.Class{c.class}}, 2, func(conn net.Conn) {
				for in := bufio.NewReader(conn); ; {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					answer := okResponse
					if reached.Add(1) == 1 && c.first == nil {
						answer = "HTTP/1.1 500 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
					}
					io.WriteString(conn, answer)
				}
			})
			try := newAttempt(nil, "GET", "")
			a, _ := r.Handle(t.Context(), routing.Call{
				ClientRequestID: "9b",
				Tenant:          -1,
				ReceivedAt:      time.Now(),
				Timeout:         20 * time.Second,
				Payload:         try.Payload,
			})
			if a.Verdict != c.want || reached.Load() != c.reach {
				t.Errorf("%v, and %d requests reached a server; want %v and %d", a.Verdict, reached.Load(), c.want, c.reach)
			}
		})
	}
}

// TestLateConnectionToWarmingServer: a call's connection comes up after the half of the overload window for which
// its warming server had an allowance. Where that of the present half has been spent meanwhile, no byte of the call
// is sent and it is rejected at once.
func TestLateConnectionToWarmingServer(t *testing.T) {
	const half = time.Second
	whole := callHead + "Content-Length: 0\r\n\r\n"
	upload := callHead + "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000)
	for name, c := range map[string]struct {
		raw    string
		spent  bool
		status int
	}{
		"spent":              {whole, true, 503},
		"spent, an upload":   {upload, true, 503},
		"in hand":            {whole, false, 200},
		"in hand, an upload": {upload, false, 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var dials, reached atomic.Int64
			opened, up := make(chan bool), make(chan bool)
			transport, _ := newTestTransport(time.Minute)
			transport.pool.dial = func(ctx context.Context, addr string) (net.Conn, error) {
				if dials.Add(1) == 1 {
					close(opened)
					<-up
				}
				return dialTCP(ctx, addr)
			}
			r := newRouter(t, transport, balancer.Settings{
				Classes:         make([]balancer.Class, 1),
				RetryAfter:      true,
				MaxRetryAfter:   time.Second,
				InitialCapacity: 0.5,
				SlowStart:       time.Hour,
				OverloadFactor:  2.5,
				WarmThroughput:  2,
				OverloadWindow:  2 * half, // one call in each half
			}, 1, func(conn net.Conn) {
				for in := bufio.NewReader(conn); ; {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					reached.Add(1)
					io.Copy(io.Discard, req.Body)
					io.WriteString(conn, okResponse)
				}
			})
			patient := func(ctx context.Context, call routing.Call) (routing.Answer, bool) {
				call.ClientRequestID, call.Tenant, call.Timeout = "", -1, 20*time.Second
				return r.Handle(ctx, call)
			}
			go func() {
				defer close(up)
				if <-opened; !c.spent {
					time.Sleep(half)
					return
				}
				other := routing.Call{ReceivedAt: time.Now(), Payload: newAttempt(nil, "GET", "").Payload}
				if a, _ := patient(t.Context(), other); a.Verdict != routing.Served { // it waits for the next half
					t.Errorf("the call that spends it is %v", a.Verdict)
				}
			}()
			addr, _, _ := newTestFrontend(t, 10, patient)
			resp, _ := dialClient(t, addr).roundTrip(t, c.raw)
			retryAfter := resp.Header.Get("Retry-After")
			if resp.StatusCode != c.status || (retryAfter != "") != (c.status == 503) || reached.Load() != 1 {
				t.Errorf("%s, to retry after %q s, and %d requests reached the server",
					resp.Status, retryAfter, reached.Load())
			}
		})
	}
}
