package routing

import (
	"errors"
	"testing"
	"time"

	"olivebridge/balancer"
)

// TestEndpointsFollowWatch: addresses and draining marks follow the lists; a broken watch leaves the last list standing
// and is begun again.
func TestEndpointsFollowWatch(t *testing.T) {
	lists := make(scriptedWatcher)
	r := newRouter(nil, listed(7, 8))
	r.watcher = lists
	go r.Run(t.Context())
	upstream := func(id balancer.ServerID) Upstream {
		found := make(chan Upstream)
		r.post(inspectEvent(func(r *Router) { found <- *r.upstreams[id] }))
		return <-found
	}
	deliver := func(list EndpointList) {
		lists <- list
		lists <- EndpointList{Kind: balancer.UpdateDelta} // taken once the one before it is posted
	}
	const grace = time.Second
	draining := listed(7)
	draining.Kind = balancer.UpdateDelta
	draining.Endpoints[0].State = balancer.Draining
	at := draining.ReceivedAt
	deliver(draining)
	if u := upstream(7); !u.MaySend(at, grace) || u.MaySend(at.Add(grace*3/4), grace) {
		t.Error("a draining server has the grace, no longer")
	}
	if u := upstream(8); !u.MaySend(at.Add(time.Hour), grace) {
		t.Error("a change of one server changed another")
	}
	lists <- errors.New("broken")
	moved := listed(7)
	moved.Endpoints[0].Addr = "b:2"
	deliver(moved) // after the Balancer's backoff the watch has begun again
	if u := upstream(7); u.Addr != "b:2" || !u.MaySend(at.Add(time.Hour), grace) {
		t.Errorf("moved: %+v", u)
	}
	if u := upstream(8); u.MaySend(at.Add(time.Hour), grace) {
		t.Error("a server missing from the full list still accepts attempts")
	}
	if r.counters.WatchFailures.Load() != 1 {
		t.Error("the broken watch did not count")
	}
}

// TestReplaceWatcher: another watcher is called at once, also during the backoff after a failure, and nothing of the
// old one counts any more.
func TestReplaceWatcher(t *testing.T) {
	first, second := make(scriptedWatcher), make(scriptedWatcher)
	r := newRouter(nil, listed())
	r.watcher = first
	go r.Run(t.Context())
	first <- EndpointList{Kind: balancer.UpdateDelta}
	running := make(chan *watch, 1)
	r.post(inspectEvent(func(r *Router) { running <- r.watch }))
	old := <-running
	r.ReplaceWatcher(second)
	second <- listed(7) // its watch runs
	r.post(endpointsEvent{from: old, list: listed(8)})
	r.post(endpointsEvent{from: old, err: errors.New("the old one's end")})
	second <- errors.New("broken")
	third := make(scriptedWatcher)
	r.ReplaceWatcher(third)
	third <- EndpointList{Kind: balancer.UpdateDelta} // without the backoff after a failure: the test would hang
	upstreams := make(chan int)
	r.post(inspectEvent(func(r *Router) {
		if r.upstreams[7] == nil {
			t.Error("the new list is not there")
		}
		upstreams <- len(r.upstreams)
	}))
	if n := <-upstreams; n != 1 || r.counters.WatchFailures.Load() > 1 {
		t.Errorf("%d upstreams, %d failures", n, r.counters.WatchFailures.Load())
	}
}
