package routing

import (
	"errors"
	"testing"
	"time"

	"olivebridge/balancer"
)

// TestEndpointsFollowWatch checks that addresses and draining states follow the lists. If a watch fails, the last list
// stays in use and the watch is restarted.
func TestEndpointsFollowWatch(t *testing.T) {
	lists := make(scriptedWatcher)
	r := newRouter(nil, fullList(7, 8))
	r.watcher = lists
	go r.Run(t.Context())
	upstream := func(id balancer.ServerID) Upstream {
		found := make(chan Upstream)
		r.post(inspectEvent(func(r *Router) { found <- *r.upstreams[id] }))
		return <-found
	}
	deliver := func(list EndpointList) {
		lists <- list
		lists <- EndpointList{Kind: balancer.UpdateDelta} // received only after the previous list has been posted
	}
	const grace = time.Second
	draining := fullList(7)
	draining.Kind = balancer.UpdateDelta
	draining.Endpoints[0].State = balancer.Draining
	at := draining.ReceivedAt
	deliver(draining)
	if u := upstream(7); !u.MaySend(at, grace) || u.MaySend(at.Add(grace*3/4), grace) {
		t.Error("a draining server must accept attempts at first, and none after 3/4 of its grace period")
	}
	if u := upstream(8); !u.MaySend(at.Add(time.Hour), grace) {
		t.Error("an update of server 7 changed the state of server 8")
	}
	lists <- errors.New("broken")
	moved := fullList(7)
	moved.Endpoints[0].Addr = "b:2"
	deliver(moved) // received by the watch that the Balancer restarts after its backoff
	if u := upstream(7); u.Addr != "b:2" || !u.MaySend(at.Add(time.Hour), grace) {
		t.Errorf("upstream with a new address: %+v", u)
	}
	if u := upstream(8); u.MaySend(at.Add(time.Hour), grace) {
		t.Error("a server that is missing from the full list still accepts attempts")
	}
	if r.counters.WatchFailures.Load() != 1 {
		t.Error("WatchFailures does not count the failed watch")
	}
}

// TestReplaceWatcher checks that a new Watcher is called at once, even during the backoff after a failure, and that
// events of the old watch are ignored.
func TestReplaceWatcher(t *testing.T) {
	first, second := make(scriptedWatcher), make(scriptedWatcher)
	r := newRouter(nil, fullList())
	r.watcher = first
	go r.Run(t.Context())
	first <- EndpointList{Kind: balancer.UpdateDelta}
	running := make(chan *watch, 1)
	r.post(inspectEvent(func(r *Router) { running <- r.watch }))
	old := <-running
	r.ReplaceWatcher(second)
	second <- fullList(7) // received, so its watch is running
	r.post(endpointsEvent{from: old, list: fullList(8)})
	r.post(endpointsEvent{from: old, err: errors.New("old watch ended")})
	second <- errors.New("broken")
	third := make(scriptedWatcher)
	r.ReplaceWatcher(third)
	third <- EndpointList{Kind: balancer.UpdateDelta} // received only if there is no backoff; otherwise the test hangs
	upstreams := make(chan int)
	r.post(inspectEvent(func(r *Router) {
		if r.upstreams[7] == nil {
			t.Error("server 7 of the new watch's list is missing")
		}
		upstreams <- len(r.upstreams)
	}))
	if n := <-upstreams; n != 1 || r.counters.WatchFailures.Load() > 1 {
		t.Errorf("got %d upstreams and %d watch failures, want 1 and at most 1", n, r.counters.WatchFailures.Load())
	}
}
