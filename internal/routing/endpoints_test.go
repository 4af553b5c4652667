package routing

import (
	"context"
	"testing"
	"time"

	"olivebridge/balancer"
)

// TestReadyFromInitialEndpoints: a node that starts with a list is ready from its first moment, also where Run gets no
// processor yet: the calls wait for it.
func TestReadyFromInitialEndpoints(t *testing.T) {
	removed := listed(7)
	removed.Endpoints[0].State = balancer.Removed
	for name, c := range map[string]struct {
		initial EndpointList
		ready   bool
	}{
		"a list":          {listed(7), true},
		"an empty list":   {EndpointList{}, false},
		"removed servers": {removed, false},
	} {
		if r := newRouter(nil, c.initial); r.Ready() != c.ready {
			t.Errorf("%s: ready %v", name, r.Ready())
		}
	}
}

// TestReadyOnceEndpointsAreKnown: a node that knows no server must not be sent clients yet.
func TestReadyOnceEndpointsAreKnown(t *testing.T) {
	lists := make(scriptedWatcher)
	r := newRouter(nil, listed())
	r.watcher = lists
	go r.Run(t.Context())
	for _, list := range []EndpointList{listed(), listed(7)} {
		lists <- list
		lists <- EndpointList{Kind: balancer.UpdateDelta} // taken once the one before it is posted
		ready := make(chan bool)
		r.post(inspectEvent(func(r *Router) { ready <- r.Ready() }))
		if got := <-ready; got != (len(list.Endpoints) > 0) {
			t.Errorf("ready: %v with %d servers", got, len(list.Endpoints))
		}
	}
}

// TestForgottenServersAreDropped: a server that the Balancer has forgotten is not remembered by the Router either.
func TestForgottenServersAreDropped(t *testing.T) {
	r := newRouter(nil, listed(7, 8))
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if err := r.Run(ctx); err != nil { // it takes the list and ends; the test does the rest
		t.Fatal(err)
	}
	r.updateEndpoints(listed(8))
	if len(r.upstreams) != 2 {
		t.Error("a server that was just removed is not known")
	}
	r.balancer.HandleServers(r.now()+balancer.Time(time.Hour), balancer.UpdateDelta, nil)
	r.updateEndpoints(EndpointList{Kind: balancer.UpdateDelta})
	if len(r.upstreams) != 1 || r.upstreams[8] == nil {
		t.Errorf("remembered: %v", r.upstreams)
	}
}
