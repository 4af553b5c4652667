package routing

import (
	"context"
	"testing"
	"time"

	"olivebridge/balancer"
)

// TestReadyFromInitialEndpoints checks that a node with an initial list is ready immediately, even before Run is
// scheduled; calls wait for Run.
func TestReadyFromInitialEndpoints(t *testing.T) {
	removed := fullList(7)
	removed.Endpoints[0].State = balancer.Removed
	for name, c := range map[string]struct {
		initial EndpointList
		ready   bool
	}{
		"a list":          {fullList(7), true},
		"an empty list":   {EndpointList{}, false},
		"removed servers": {removed, false},
	} {
		if r := newRouter(nil, c.initial); r.Ready() != c.ready {
			t.Errorf("%s: unexpected result %v of Ready", name, r.Ready())
		}
	}
}

// TestReadyOnceEndpointsAreKnown checks that a node without a known server is not ready, so it receives no clients yet.
func TestReadyOnceEndpointsAreKnown(t *testing.T) {
	lists := make(scriptedWatcher)
	r := newRouter(nil, fullList())
	r.watcher = lists
	go r.Run(t.Context())
	for _, list := range []EndpointList{fullList(), fullList(7)} {
		lists <- list
		lists <- EndpointList{Kind: balancer.UpdateDelta} // received only after the previous list has been posted
		ready := make(chan bool)
		r.post(inspectEvent(func(r *Router) { ready <- r.Ready() }))
		if got := <-ready; got != (len(list.Endpoints) > 0) {
			t.Errorf("Ready returned %v with %d servers in the list", got, len(list.Endpoints))
		}
	}
}

// TestForgottenServersAreDropped checks that the Router removes a server that the Balancer has forgotten.
func TestForgottenServersAreDropped(t *testing.T) {
	r := newRouter(nil, fullList(7, 8))
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if err := r.Run(ctx); err != nil { // Run reads the initial list and returns; the test then acts as the event loop
		t.Fatal(err)
	}
	r.updateEndpoints(fullList(8))
	if len(r.upstreams) != 2 {
		t.Error("the Router dropped server 7 at once, although the Balancer has not forgotten it yet")
	}
	r.balancer.HandleServers(r.now()+balancer.Time(time.Hour), balancer.UpdateDelta, nil)
	r.updateEndpoints(EndpointList{Kind: balancer.UpdateDelta})
	if len(r.upstreams) != 1 || r.upstreams[8] == nil {
		t.Errorf("got upstreams %v, want server 8 only", r.upstreams)
	}
}
