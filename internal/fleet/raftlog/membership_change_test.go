package raftlog

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestNextChange checks that repeated changes end, and end at the wanted voters if all of these are reachable. The
// leader must never remove itself, an unreachable server must never become a voter or the leader, and a wanted server
// must never be removed.
func TestNextChange(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	rapid.Check(t, func(t *rapid.T) {
		some := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 5, rapid.ID[string])
		voters, wanted := some.Draw(t, "voters"), some.Draw(t, "want")
		dead := rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID[string]).Draw(t, "dead")
		leader := rapid.SampledFrom(voters).Draw(t, "self")
		reachable := func(name string) bool { return name == leader || !slices.Contains(dead, name) }
		var nonvoters []string
		remove := func(server string) {
			voters = slices.DeleteFunc(voters, func(name string) bool { return name == server })
			nonvoters = slices.DeleteFunc(nonvoters, func(name string) bool { return name == server })
		}
		for range 30 {
			change := NextChange(Membership{Leader: leader, Voters: voters, Nonvoters: nonvoters}, wanted, reachable)
			server := change.Server
			switch change.Kind {
			case NoChange:
				if server != "" {
					t.Fatalf("NoChange with a server: %+v", change)
				}
				allReachable := !slices.ContainsFunc(wanted, func(w string) bool { return !reachable(w) })
				for _, name := range names {
					if slices.Contains(voters, name) != slices.Contains(wanted, name) && allReachable {
						t.Fatalf("final voters %v, nonvoters %v, want %v; unreachable %v, leader %s",
							voters, nonvoters, wanted, dead, leader)
					}
				}
				return
			case RemoveServer:
				if server == leader || slices.Contains(wanted, server) {
					t.Fatalf("server %s is removed; leader %s, wanted voters %v", server, leader, wanted)
				}
				remove(server)
			case AddNonvoter:
				nonvoters = append(nonvoters, server)
			case PromoteToVoter:
				if !reachable(server) {
					t.Fatalf("promotion of an unreachable server: %+v, voters %v, unreachable %v", change, voters, dead)
				}
				remove(server)
				voters = append(voters, server)
			case TransferLeadership:
				if !reachable(server) || !slices.Contains(voters, server) {
					t.Fatalf("transfer to an unreachable server or nonvoter: %+v, voters %v, unreachable %v", change, voters, dead)
				}
				leader = server
			}
		}
		t.Fatal("the changes have not ended after 30 steps")
	})
}
