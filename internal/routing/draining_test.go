package routing

import (
	"testing"
	"time"

	"olivebridge/balancer"
)

// TestDrainingFollowsBalancer checks that an Upstream accepts new attempts exactly while the Balancer allows them, with
// ServeRemoved set, cleared and changed by a reload.
func TestDrainingFollowsBalancer(t *testing.T) {
	delta := func(state balancer.ServerState) EndpointList {
		list := fullList(7)
		list.Kind = balancer.UpdateDelta
		list.Endpoints[0].State = state
		return list
	}
	drained, removed := delta(balancer.Draining), delta(balancer.Removed)
	missing, back := fullList(8), fullList(7)
	for name, c := range map[string]struct {
		before  bool // ServeRemoved before the reload
		after   bool // ServeRemoved after the reload, which follows the lists
		lists   []EndpointList
		accepts bool
	}{
		"removed":                               {true, true, []EndpointList{removed}, true},
		"missing":                               {true, true, []EndpointList{missing}, true},
		"drained and removed":                   {true, true, []EndpointList{drained, removed}, false},
		"drained and missing":                   {true, true, []EndpointList{drained, missing}, false},
		"drained, missing and back":             {true, true, []EndpointList{drained, missing, back}, true},
		"missing, then ServeRemoved is set":     {false, true, []EndpointList{missing}, true},
		"missing, then ServeRemoved is cleared": {true, false, []EndpointList{missing}, false},
	} {
		r := newRouter(nil, fullList(7, 8))
		r.settings.ServeRemoved = c.before
		lists := make(scriptedWatcher)
		r.watcher = lists
		go r.Run(t.Context())
		found := make(chan *Upstream)
		find := inspectEvent(func(r *Router) { found <- r.upstreams[7] })
		r.post(find)
		upstream := <-found // the Upstream held by an attempt that waits for its connection
		for _, list := range c.lists {
			lists <- list
		}
		lists <- EndpointList{Kind: balancer.UpdateDelta} // received only after the previous lists have been posted
		settings := r.settings
		settings.ServeRemoved = c.after
		r.UpdateSettings(settings)
		r.post(find)
		<-found
		if accepts := upstream.MaySend(time.Now().Add(time.Hour), time.Second); accepts != c.accepts {
			t.Errorf("%s: unexpected result %v of MaySend", name, accepts)
		}
	}
}
