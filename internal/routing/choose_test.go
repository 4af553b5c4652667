package routing

import (
	"slices"
	"testing"

	"olivebridge/balancer"
)

// chooser is told of lists, and nothing else.
type chooser struct{ listed [][]balancer.Server }

func (c *chooser) EndpointsChanged(all []balancer.Server) { c.listed = append(c.listed, all) }
func (c *chooser) Subscribe(func(Subset))                 {}

func (c *chooser) ObserveResult(balancer.ServerID, balancer.Time, balancer.Result, bool) {}

// TestChosen: what is not chosen is shown standing aside, as lists and choices come; the chooser hears of those alone that take
// new work.
func TestChosen(t *testing.T) {
	by := &chooser{}
	c := chosen{by: by}
	ready := func(ids ...balancer.ServerID) (all []balancer.Server) {
		for _, id := range ids {
			all = append(all, balancer.Server{ID: id, State: balancer.Ready, Weight: 1})
		}
		return all
	}
	aside := func(all []balancer.Server) (ids []balancer.ServerID) {
		for _, s := range all {
			if s.Suspended {
				ids = append(ids, s.ID)
			}
		}
		return ids
	}
	if got := c.take(balancer.UpdateCached, ready(1, 2, 3)); len(got) != 3 || len(aside(got)) != 0 {
		t.Errorf("nothing is chosen yet: %+v", got)
	}
	c.now.Included = map[balancer.ServerID]bool{1: true}
	if got := aside(c.take(balancer.UpdateFull, ready(1, 2, 3))); !slices.Equal(got, []balancer.ServerID{2, 3}) {
		t.Errorf("a whole list: %v stand aside", got)
	}
	drains := balancer.Server{ID: 2, State: balancer.Draining}
	if got := c.take(balancer.UpdateDelta, append([]balancer.Server{drains}, ready(4)...)); got[0].State != balancer.Draining ||
		!slices.Equal(aside(got), []balancer.ServerID{2, 4}) {
		t.Errorf("changes: %+v", got)
	}
	c.take(balancer.UpdateDelta, []balancer.Server{{ID: 3, State: balancer.Removed}})
	last := by.listed[len(by.listed)-1]
	slices.SortFunc(last, func(a, b balancer.Server) int { return int(a.ID) - int(b.ID) })
	if !slices.Equal(last, ready(1, 4)) {
		t.Errorf("the chooser heard of %+v", last)
	}
	none := chosen{}
	if got := none.take(balancer.UpdateFull, ready(1)); !slices.Equal(got, ready(1)) {
		t.Errorf("without a chooser: %+v", got)
	}
	for zones, want := range map[int]int{0: 2, 1: 1, 2: 2, 3: 2} {
		c.now.ActiveZones = zones
		if got := c.settings(balancer.Settings{Zones: 2}).Zones; got != want {
			t.Errorf("nodes work in %d zones of 2: the decisions are told of %d", zones, got)
		}
	}
}
