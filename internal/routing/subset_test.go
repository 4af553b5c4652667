package routing

import (
	"slices"
	"testing"

	"olivebridge/balancer"
)

// recordingSelector records the arguments of EndpointsChanged.
type recordingSelector struct{ lists [][]balancer.Server }

func (s *recordingSelector) EndpointsChanged(ready []balancer.Server) {
	s.lists = append(s.lists, ready)
}
func (s *recordingSelector) Subscribe(func(Subset)) {}

func (s *recordingSelector) ObserveResult(balancer.ServerID, balancer.Time, balancer.Result, bool) {}

func readyServers(ids ...balancer.ServerID) []balancer.Server {
	var servers []balancer.Server
	for _, id := range ids {
		servers = append(servers, balancer.Server{ID: id, State: balancer.Ready, Weight: 1})
	}
	return servers
}

func suspendedIDs(servers []balancer.Server) []balancer.ServerID {
	var ids []balancer.ServerID
	for _, server := range servers {
		if server.OutsideSubset {
			ids = append(ids, server.ID)
		}
	}
	return ids
}

// TestSubsetSuspendsOtherServers checks that servers outside the subset are marked in every kind of update, and that
// the selector receives only servers that accept new work.
func TestSubsetSuspendsOtherServers(t *testing.T) {
	selector := &recordingSelector{}
	subset := subsetState{selector: selector}
	got := subset.apply(balancer.UpdateCached, readyServers(1, 2, 3))
	if len(got) != 3 || len(suspendedIDs(got)) != 0 {
		t.Errorf("without a subset: got %+v, want all servers unmarked", got)
	}
	subset.current.Included = map[balancer.ServerID]bool{1: true}
	got = subset.apply(balancer.UpdateFull, readyServers(1, 2, 3))
	if ids := suspendedIDs(got); !slices.Equal(ids, []balancer.ServerID{2, 3}) {
		t.Errorf("full list: servers %v are outside the subset, want 2 and 3", ids)
	}
	draining := balancer.Server{ID: 2, State: balancer.Draining}
	got = subset.apply(balancer.UpdateDelta, append([]balancer.Server{draining}, readyServers(4)...))
	if got[0].State != balancer.Draining || !slices.Equal(suspendedIDs(got), []balancer.ServerID{2, 4}) {
		t.Errorf("delta: got %+v, want draining server 2 and server 4 outside the subset", got)
	}
	subset.apply(balancer.UpdateDelta, []balancer.Server{{ID: 3, State: balancer.Removed}})
	last := selector.lists[len(selector.lists)-1]
	slices.SortFunc(last, func(a, b balancer.Server) int { return int(a.ID) - int(b.ID) })
	if !slices.Equal(last, readyServers(1, 4)) {
		t.Errorf("selector received %+v, want servers 1 and 4", last)
	}
	none := subsetState{}
	if got := none.apply(balancer.UpdateFull, readyServers(1)); !slices.Equal(got, readyServers(1)) {
		t.Errorf("without a selector: got %+v, want the servers unchanged", got)
	}
	for zones, want := range map[int]int{0: 2, 1: 1, 2: 2, 3: 2} {
		subset.current.ActiveZones = zones
		if got := subset.settings(balancer.Settings{Zones: 2}).Zones; got != want {
			t.Errorf("%d active zones, 2 zones in the settings: the Balancer gets %d zones", zones, got)
		}
	}
}
