package choices

import (
	"context"
	"testing"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/fleet/member"
	"olivebridge/internal/fleet/subset"
	"olivebridge/internal/routing"
)

// views is a channel from which Config.Next receives the views that a test sends.
type views chan *member.View

func (v views) next(ctx context.Context, _ uint64) (*member.View, error) {
	select {
	case view := <-v:
		return view, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// view returns a view of the node n1 whose members have the given states.
func view(number uint64, states map[string]member.State) *member.View {
	v := &member.View{Number: number, Self: "n1"}
	for _, name := range []string{"n1", "n2", "n3", "n4", "n5", "n6"} {
		if s, ok := states[name]; ok {
			v.Members = append(v.Members, member.Member{Name: name, State: s})
		}
	}
	return v
}

// The subset follows the views and the endpoint lists. Nodes that accept no new requests do not count, suspect nodes
// do, and a node without a membership uses all servers.
func TestChoiceFollowsViewsAndLists(t *testing.T) {
	source := make(views)
	s := New(Config{Name: "n1", Plan: subset.Plan{Copies: 2, MinServers: 1}, Next: source.next})
	choices := make(chan routing.Subset)
	s.Subscribe(func(chosen routing.Subset) {
		select {
		case choices <- chosen:
		case <-time.After(10 * time.Second):
		}
	})
	defer s.Close()
	var servers []balancer.Server
	for i := range 60 {
		servers = append(servers, balancer.Server{ID: balancer.ServerID(1000 + 7919*i), Weight: 1, State: balancer.Ready})
	}
	wait := func(event string, minSize, maxSize int) {
		t.Helper()
		select {
		case choice := <-choices:
			chosen := choice.Included
			if n := len(chosen); chosen == nil && maxSize > 0 || n < minSize || n > maxSize {
				t.Errorf("%s: %d servers are chosen, want %d to %d", event, n, minSize, maxSize)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%s: no choice within 10 s", event)
		}
	}
	s.EndpointsChanged(servers)
	wait("no node is known", 0, 0)
	all := map[string]member.State{}
	for _, n := range []string{"n1", "n2", "n3", "n4", "n5", "n6"} {
		all[n] = member.Alive
	}
	source <- view(1, all)
	wait("six nodes, two per server", 15, 25)
	all["n2"] = member.Suspect
	source <- view(2, all)
	wait("one node is suspect", 15, 25)
	all["n2"], all["n3"], all["n4"] = member.Dead, member.Left, member.Leaving
	source <- view(3, all)
	wait("three nodes are left", 32, 48)
	all["n5"] = member.Dead
	source <- view(4, all)
	wait("two nodes are left", 0, 0)
	source <- view(5, map[string]member.State{"n2": member.Alive, "n3": member.Alive, "n4": member.Alive})
	wait("this node has no membership", 0, 0)
	s.EndpointsChanged(servers[:1])
	wait("one server", 0, 0)
}

// The number of zones with working nodes is known only to a node that has a membership and is connected to a majority,
// and only if the group has all zones of the nodes.
func TestWorkingZones(t *testing.T) {
	s := New(Config{Name: "n1", Zones: map[string]int{"east": 0, "west": 1}})
	v := &member.View{Self: "n1"}
	for i, name := range []string{"n1", "n2", "n3", "n4", "n5"} {
		v.Members = append(v.Members, member.Member{Name: name, Zone: []string{"east", "west"}[i%2], State: member.Alive})
	}
	set := func(states ...member.State) *member.View {
		for i, state := range states {
			v.Members[i].State = state
		}
		return v
	}
	const alive, dead, left, leaving, suspect = member.Alive, member.Dead, member.Left, member.Leaving, member.Suspect
	for _, c := range []struct {
		states []member.State
		want   int
	}{
		{[]member.State{alive, alive, alive, alive, alive}, 2},
		{[]member.State{alive, dead, alive, left, alive}, 1},
		{[]member.State{alive, leaving, alive, dead, alive}, 1},
		{[]member.State{alive, suspect, alive, dead, alive}, 2},
		{[]member.State{alive, dead, dead, dead, alive}, 0}, // this node may be partitioned from the dead ones
		{[]member.State{dead, alive, alive, alive, alive}, 0},
	} {
		now := set(c.states...)
		if got := s.workingZones(now, workingNodes(now)); got != c.want {
			t.Errorf("%v: %d zones, want %d", c.states, got, c.want)
		}
	}
	v.Members[1].Zone = "elsewhere"
	now := set(alive, alive, alive, alive, alive)
	if got := s.workingZones(now, workingNodes(now)); got != 0 {
		t.Errorf("a node in a zone that the group does not have: %d zones, want 0", got)
	}
}
