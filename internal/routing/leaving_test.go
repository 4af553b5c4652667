package routing

import (
	"testing"
	"time"

	"olivebridge/balancer"
)

// TestLeavingAsDecided: at the first byte a peer is open for as long as the decisions let new work go to it, where servers
// that discovery drops stay, where they do not, and after a reload that changes which of it holds.
func TestLeavingAsDecided(t *testing.T) {
	entry := func(state balancer.ServerState) Group {
		g := listed(7)
		g.Kind, g.Entries[0].State = balancer.UpdateDelta, state
		return g
	}
	drains, gone, missing, back := entry(balancer.Draining), entry(balancer.Removed), listed(8), listed(7)
	for name, c := range map[string]struct {
		stay, reload bool // DroppedStay, and by the reload behind the lists
		lists        []Group
		open         bool
	}{
		"dropped":                    {true, true, []Group{gone}, true},
		"left out":                   {true, true, []Group{missing}, true},
		"drained and dropped":        {true, true, []Group{drains, gone}, false},
		"drained and left out":       {true, true, []Group{drains, missing}, false},
		"and back":                   {true, true, []Group{drains, missing, back}, true},
		"dropped, and now they stay": {false, true, []Group{missing}, true},
		"dropped, and now they go":   {true, false, []Group{missing}, false},
	} {
		r := newRouter(nil, listed(7, 8))
		r.set.ServeRemoved = c.stay
		lists := make(scripted)
		r.watcher = lists
		go r.Run(t.Context())
		seen := make(chan *Peer)
		find := look(func(r *Router) { seen <- r.peers[7] })
		r.post(find)
		held := <-seen // by a try that waits for its connection
		for _, g := range c.lists {
			lists <- g
		}
		lists <- Group{Kind: balancer.UpdateDelta} // the last is taken once those before it are posted
		set := r.set
		set.ServeRemoved = c.reload
		r.Set(set)
		r.post(find)
		<-seen
		if open := held.OpenFor(time.Now().Add(time.Hour), time.Second); open != c.open {
			t.Errorf("%s: open %v", name, open)
		}
	}
}
