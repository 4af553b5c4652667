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

// staticWatcher is a Watcher of an endpoint list that never changes: it delivers nothing.
type staticWatcher struct{}

// Watch implements routing.Watcher.
func (staticWatcher) Watch(ctx context.Context, deliver func(routing.EndpointList)) error {
	<-ctx.Done()
	return ctx.Err()
}

// newRouter starts a router over a transport and a number of servers in one zone. The servers have just started, and
// each runs serve for its connections.
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
		Watcher:          staticWatcher{},
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

// TestLateConnectionAfterDedupWindow: a retry of a class with a deduplication window is decided in time, but its
// connection is established late. The retry must not be sent after the window, which starts with the first attempt that
// may have run. If no attempt may have run, the window does not restrict the retry.
func TestLateConnectionAfterDedupWindow(t *testing.T) {
	const window = 300 * time.Millisecond
	keyed := balancer.Class{Idempotency: balancer.IdempotencyKeyed, DedupScope: balancer.DedupZone, DedupWindow: window}
	long, idempotent := keyed, keyed
	long.DedupWindow, idempotent.Idempotency = time.Minute, balancer.Idempotent
	refused := errors.New("refused")
	for name, c := range map[string]struct {
		class       balancer.Class
		lateDial    int64 // index of the connection that is established after the window
		firstError  error // error of the first connection
		want        routing.Verdict
		wantReached int64 // number of requests that reach a server
	}{
		"second is late, first attempt failed": {keyed, 2, nil, routing.Failed, 1},
		"second is late, long window":          {long, 2, nil, routing.Served, 2},
		"second is late, idempotent class":     {idempotent, 2, nil, routing.Served, 2},
		"second is late, first never ran":      {keyed, 2, refused, routing.Served, 1},
		"first is late, no earlier attempt":    {keyed, 1, nil, routing.Failed, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var dials, reached atomic.Int64
			firstDial := make(chan time.Time, 1)
			transport, _ := newTestTransport(time.Minute)
			transport.pool.dial = func(ctx context.Context, addr string) (net.Conn, error) {
				n := dials.Add(1)
				if n == 1 {
					firstDial <- time.Now()
				}
				if n == c.lateDial {
					at := <-firstDial
					time.Sleep(time.Until(at.Add(window + 20*time.Millisecond)))
				}
				if n == 1 && c.firstError != nil {
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
					if reached.Add(1) == 1 && c.firstError == nil {
						answer = "HTTP/1.1 500 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
					}
					io.WriteString(conn, answer)
				}
			})
			attempt := newAttempt(nil, "GET", "")
			a, _ := r.Handle(t.Context(), routing.Call{
				ClientRequestID: "9b",
				Tenant:          -1,
				ReceivedAt:      time.Now(),
				Timeout:         20 * time.Second,
				Payload:         attempt.Payload,
			})
			if a.Verdict != c.want || reached.Load() != c.wantReached {
				t.Errorf("verdict %v, %d requests reached a server; want %v and %d",
					a.Verdict, reached.Load(), c.want, c.wantReached)
			}
		})
	}
}

// TestLateConnectionToWarmingServer: the overload window is divided into halves, and the warming server of a call has
// an allowance for each. The call's connection is established in a later half. If the allowance of that half is already
// used up, no byte of the call is sent and the call is rejected at once.
func TestLateConnectionToWarmingServer(t *testing.T) {
	const half = time.Second
	complete := callHead + "Content-Length: 0\r\n\r\n"
	upload := callHead + "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000)
	for name, c := range map[string]struct {
		raw    string
		usedUp bool
		status int
	}{
		"used up":                      {complete, true, 503},
		"used up, with upload":         {upload, true, 503},
		"still available":              {complete, false, 200},
		"still available, with upload": {upload, false, 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var dials, reached atomic.Int64
			dialing, establish := make(chan bool), make(chan bool)
			transport, _ := newTestTransport(time.Minute)
			transport.pool.dial = func(ctx context.Context, addr string) (net.Conn, error) {
				if dials.Add(1) == 1 {
					close(dialing)
					<-establish
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
				OverloadWindow:  2 * half, // allows one call in each half
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
			handle := func(ctx context.Context, call routing.Call) (routing.Answer, bool) {
				call.ClientRequestID, call.Tenant, call.Timeout = "", -1, 20*time.Second
				return r.Handle(ctx, call)
			}
			go func() {
				defer close(establish)
				if <-dialing; !c.usedUp {
					time.Sleep(half)
					return
				}
				other := routing.Call{ReceivedAt: time.Now(), Payload: newAttempt(nil, "GET", "").Payload}
				if a, _ := handle(t.Context(), other); a.Verdict != routing.Served { // waits for the next half
					t.Errorf("the call that uses up the allowance has the verdict %v, want served", a.Verdict)
				}
			}()
			addr, _, _ := newTestFrontend(t, 10, handle)
			resp, _ := dialClient(t, addr).roundTrip(t, c.raw)
			retryAfter := resp.Header.Get("Retry-After")
			if resp.StatusCode != c.status || (retryAfter != "") != (c.status == 503) || reached.Load() != 1 {
				t.Errorf("status %s, Retry-After %q, %d requests reached the server",
					resp.Status, retryAfter, reached.Load())
			}
		})
	}
}
