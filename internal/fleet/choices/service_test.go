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

// views returns views as a test makes them.
type views chan *member.View

func (v views) next(ctx context.Context, _ uint64) (*member.View, error) {
	select {
	case one := <-v:
		return one, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func view(number uint64, states map[string]member.State) *member.View {
	v := &member.View{Number: number, Self: "n1"}
	for _, name := range []string{"n1", "n2", "n3", "n4", "n5", "n6"} {
		if s, ok := states[name]; ok {
			v.Members = append(v.Members, member.Member{Name: name, State: s})
		}
	}
	return v
}

// A choice follows the views and the lists: a node that takes nothing new does not count, a suspect one does, and a
// node without a membership works with all servers.
func TestChoiceFollowsViewsAndLists(t *testing.T) {
	from := make(views)
	s := New(Config{Name: "n1", Plan: subset.Plan{Copies: 2, MinServers: 1}, Next: from.next})
	got := make(chan routing.Subset)
	s.Subscribe(func(chosen routing.Subset) {
		select {
		case got <- chosen:
		case <-time.After(10 * time.Second):
		}
	})
	defer s.Close()
	var servers []balancer.Server
	for i := range 60 {
		servers = append(servers, balancer.Server{ID: balancer.ServerID(1000 + 7919*i), Weight: 1, State: balancer.Ready})
	}
	wait := func(what string, least, most int) {
		t.Helper()
		select {
		case choice := <-got:
			chosen := choice.Included
			if n := len(chosen); chosen == nil && most > 0 || n < least || n > most {
				t.Errorf("%s: %d are chosen, %d to %d are wanted", what, n, least, most)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%s: nothing is told", what)
		}
	}
	s.EndpointsChanged(servers)
	wait("no node is known", 0, 0)
	all := map[string]member.State{}
	for _, n := range []string{"n1", "n2", "n3", "n4", "n5", "n6"} {
		all[n] = member.Alive
	}
	from <- view(1, all)
	wait("six nodes, two to a server", 15, 25)
	all["n2"] = member.Suspect
	from <- view(2, all)
	wait("one is suspect", 15, 25)
	all["n2"], all["n3"], all["n4"] = member.Dead, member.Left, member.Leaving
	from <- view(3, all)
	wait("three are left", 32, 48)
	all["n5"] = member.Dead
	from <- view(4, all)
	wait("two are left", 0, 0)
	from <- view(5, map[string]member.State{"n2": member.Alive, "n3": member.Alive, "n4": member.Alive})
	wait("this node has no membership", 0, 0)
	s.EndpointsChanged(servers[:1])
	wait("one server", 0, 0)
}

// A node counts the zones in which nodes work, as far as it can say.
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
		{[]member.State{alive, dead, dead, dead, alive}, 0}, // it may be cut off from them
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
		t.Errorf("a zone that the group does not know: %d", got)
	}
}
