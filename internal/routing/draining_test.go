package routing

import (
	"testing"
	"time"

	"olivebridge/balancer"
)

// TestDrainingFollowsBalancer: an Upstream accepts first bytes for as long as the Balancer lets new work go to the
// server: where removed servers are still served, where they are not, and after a reload that changes which of it
// holds.
func TestDrainingFollowsBalancer(t *testing.T) {
	delta := func(state balancer.ServerState) EndpointList {
		list := listed(7)
		list.Kind = balancer.UpdateDelta
		list.Endpoints[0].State = state
		return list
	}
	drained, removed := delta(balancer.Draining), delta(balancer.Removed)
	missing, back := listed(8), listed(7)
	for name, c := range map[string]struct {
		before  bool // ServeRemoved at first
		after   bool // and by the reload after the lists
		lists   []EndpointList
		accepts bool
	}{
		"removed":                                {true, true, []EndpointList{removed}, true},
		"missing":                                {true, true, []EndpointList{missing}, true},
		"drained and removed":                    {true, true, []EndpointList{drained, removed}, false},
		"drained and missing":                    {true, true, []EndpointList{drained, missing}, false},
		"drained, missing and back":              {true, true, []EndpointList{drained, missing, back}, true},
		"missing, and now removed are served":    {false, true, []EndpointList{missing}, true},
		"missing, and now removed aren't served": {true, false, []EndpointList{missing}, false},
	} {
		r := newRouter(nil, listed(7, 8))
		r.settings.ServeRemoved = c.before
		lists := make(scriptedWatcher)
		r.watcher = lists
		go r.Run(t.Context())
		found := make(chan *Upstream)
		find := inspectEvent(func(r *Router) { found <- r.upstreams[7] })
		r.post(find)
		upstream := <-found // as an attempt has it that waits for its connection
		for _, list := range c.lists {
			lists <- list
		}
		lists <- EndpointList{Kind: balancer.UpdateDelta} // taken once those before it are posted
		settings := r.settings
		settings.ServeRemoved = c.after
		r.UpdateSettings(settings)
		r.post(find)
		<-found
		if accepts := upstream.MaySend(time.Now().Add(time.Hour), time.Second); accepts != c.accepts {
			t.Errorf("%s: accepts %v", name, accepts)
		}
	}
}
