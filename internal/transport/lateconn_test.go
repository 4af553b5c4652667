package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"olivebridge/brain"
	"olivebridge/internal/routing"
)

// still is an upstream group that never changes.
type still struct{}

func (still) Watch(ctx context.Context, told func(routing.Group)) error {
	<-ctx.Done()
	return ctx.Err()
}

// decided is a router that runs over two peers of one zone, each of which serves its connections so, and a carrier.
func decided(t *testing.T, k *Carrier, class brain.Class, serve func(net.Conn)) *routing.Router {
	t.Helper()
	class.Aim, class.Deadline, class.Worth = 10*time.Second, 20*time.Second, 1
	known := routing.Group{Kind: brain.Full, At: time.Now()}
	for id := range brain.ServerID(2) {
		known.Entries = append(known.Entries, routing.Entry{Addr: listenOn(t, serve).Addr,
			Server: brain.Server{ID: id + 1, Weight: 1, State: brain.Ready}})
	}
	r := routing.New(routing.Config{Seed: 1, Known: known, Carrier: k, Watcher: still{}, Log: slog.New(slog.DiscardHandler),
		Settings: brain.Settings{Classes: []brain.Class{class}, Nodes: 1, TryLimit: 3, Cancel: true}})
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

// TestLateConnections: a further try of a class whose repeats are dropped for a while must not leave once that is over,
// counted from the first try that may have run, though it was decided in time and its connection came up later. None is
// bound where nothing can have run.
func TestLateConnections(t *testing.T) {
	const window = 300 * time.Millisecond
	token := brain.Class{Effect: brain.Token, Scope: brain.ScopeZone, Window: window}
	long, pure := token, token
	long.Window, pure.Effect = time.Minute, brain.Pure
	refused := errors.New("refused")
	for name, c := range map[string]struct {
		class brain.Class
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
			k, _ := newCarrier(time.Minute)
			k.pool.dial = func(ctx context.Context, addr string) (net.Conn, error) {
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
			r := decided(t, k, c.class, func(conn net.Conn) {
				for in := bufio.NewReader(conn); ; {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					answer := ok
					if reached.Add(1) == 1 && c.first == nil {
						answer = "HTTP/1.1 500 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
					}
					io.WriteString(conn, answer)
				}
			})
			try := tryOf(nil, "GET", "")
			a, _ := r.Take(t.Context(), routing.Call{Name: "9b", Tenant: -1, Arrived: time.Now(), Budget: 20 * time.Second,
				Payload: try.Payload})
			if a.Verdict != c.want || reached.Load() != c.reach {
				t.Errorf("%v, and %d requests reached a peer; want %v and %d", a.Verdict, reached.Load(), c.want, c.reach)
			}
		})
	}
}
