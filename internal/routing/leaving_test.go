package routing

import (
	"testing"
	"time"

	"olivebridge/balancer"
)

// TestLeavingAsDecided: at the first byte a peer is open for as long as the decisions let new work go to it, where servers
// that discovery drops stay, where they do not, and after a reload that changes which of it holds.
func TestLeavingAsDecided(t *testing.T) {
	entry := func(state balancer.ServerState) EndpointList {
		g := listed(7)
		g.Kind, g.Endpoints[0].State = balancer.UpdateDelta, state
		return g
	}
	drains, gone, missing, back := entry(balancer.Draining), entry(balancer.Removed), listed(8), listed(7)
	for name, c := range map[string]struct {
		stay, reload bool // DroppedStay, and by the reload behind the lists
		lists        []EndpointList
		open         bool
	}{
		"dropped":                    {true, true, []EndpointList{gone}, true},
		"left out":                   {true, true, []EndpointList{missing}, true},
		"drained and dropped":        {true, true, []EndpointList{drains, gone}, false},
		"drained and left out":       {true, true, []EndpointList{drains, missing}, false},
		"and back":                   {true, true, []EndpointList{drains, missing, back}, true},
		"dropped, and now they stay": {false, true, []EndpointList{missing}, true},
		"dropped, and now they go":   {true, false, []EndpointList{missing}, false},
	} {
		r := newRouter(nil, listed(7, 8))
		r.set.ServeRemoved = c.stay
		lists := make(scripted)
		r.watcher = lists
		go r.Run(t.Context())
		seen := make(chan *Upstream)
		find := look(func(r *Router) { seen <- r.peers[7] })
		r.post(find)
		held := <-seen // by a try that waits for its connection
		for _, g := range c.lists {
			lists <- g
		}
		lists <- EndpointList{Kind: balancer.UpdateDelta} // the last is taken once those before it are posted
		set := r.set
		set.ServeRemoved = c.reload
		r.UpdateSettings(set)
		r.post(find)
		<-seen
		if open := held.MaySend(time.Now().Add(time.Hour), time.Second); open != c.open {
			t.Errorf("%s: open %v", name, open)
		}
	}
}
