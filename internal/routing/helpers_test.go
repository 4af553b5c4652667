package routing

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"olivebridge/balancer"
)

// Indices of the classes of testSettings.
const (
	idempotentClass = iota
	nonIdempotentClass
)

func testSettings() balancer.Settings {
	idempotent := balancer.Class{
		LatencyObjective: 10 * time.Second,
		Deadline:         20 * time.Second,
		PriorityWeight:   1,
		Idempotency:      balancer.Idempotent,
	}
	nonIdempotent := idempotent
	nonIdempotent.Idempotency = balancer.NonIdempotent
	return balancer.Settings{
		Classes:         []balancer.Class{idempotent, nonIdempotent},
		Nodes:           1,
		SlowStart:       time.Second,
		InitialCapacity: 0.2,
		OverloadFactor:  3,
		OverloadWindow:  time.Second,
		MaxAttempts:     3,
		RetryAfter:      true,
		MaxRetryAfter:   time.Second,
		CancelAttempts:  true,
		DrainGrace:      time.Second,
		PollDiscovery:   true,
		PollInterval:    time.Second,
	}
}

// transportFunc is a Transport that calls a function for each attempt. Its health checks always succeed.
type transportFunc func(context.Context, Attempt) AttemptResult

func (f transportFunc) RoundTrip(ctx context.Context, attempt Attempt) AttemptResult {
	return f(ctx, attempt)
}
func (f transportFunc) CheckHealth(context.Context, *Upstream) balancer.Result { return balancer.OK }

// idleWatcher is a Watcher that never delivers a list.
type idleWatcher struct{}

func (idleWatcher) Watch(ctx context.Context, _ func(EndpointList)) error {
	<-ctx.Done()
	return ctx.Err()
}

// scriptedWatcher delivers the lists that a test sends and ends with an error that it sends.
type scriptedWatcher chan any

func (w scriptedWatcher) Watch(ctx context.Context, deliver func(EndpointList)) error {
	for {
		select {
		case next := <-w:
			if err, ok := next.(error); ok {
				return err
			}
			deliver(next.(EndpointList))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// fullList returns a full list of ready endpoints.
func fullList(ids ...balancer.ServerID) EndpointList {
	list := EndpointList{Kind: balancer.UpdateFull, ReceivedAt: time.Now()}
	for _, id := range ids {
		server := balancer.Server{ID: id, Weight: 1, State: balancer.Ready}
		list.Endpoints = append(list.Endpoints, Endpoint{Server: server, Addr: "a:1"})
	}
	return list
}

func newRouter(transport transportFunc, initial EndpointList) *Router {
	return New(Config{
		Settings:         testSettings(),
		Seed:             1,
		InitialEndpoints: initial,
		Transport:        transport,
		Watcher:          idleWatcher{},
		Log:              slog.New(slog.DiscardHandler),
	})
}

// startRouter runs a Router until the test ends.
func startRouter(t *testing.T, transport transportFunc, initial EndpointList) *Router {
	t.Helper()
	r := newRouter(transport, initial)
	ctx, stop := context.WithCancel(t.Context())
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

func newCall(class int, timeout time.Duration) Call {
	return Call{Class: class, Tenant: -1, ReceivedAt: time.Now(), Timeout: timeout, Payload: "request payload"}
}

// inspectEvent calls a function on the event loop's goroutine.
type inspectEvent func(*Router)

func (e inspectEvent) handle(r *Router) { e(r) }

// fillQueue fills the queue of events.
func fillQueue(r *Router) {
	for len(r.events) < queueLength {
		r.events <- &timerEvent{}
	}
}

// sameError reports whether a and b are the identical error value; a wrapped error does not count.
func sameError(a, b error) bool { return any(a) == any(b) }
