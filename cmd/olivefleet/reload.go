package main

import (
	"fmt"
	"os"

	"olivebridge/internal/fleet/fleetfile"
	"olivebridge/internal/fleet/raftlog"
	"olivebridge/internal/protocol"
)

// Reload implements node.Fleet. In a running node only voters and the amounts of quotas may change.
func (f *fleetNode) Reload(c *protocol.Config) error {
	path := os.Getenv(protocol.EnvFleet)
	next, err := fleetfile.Load(path)
	if err != nil {
		return err
	}
	if change := f.file.ImmutableChange(next); change != "" {
		return fmt.Errorf("fleet file %s: %s cannot change in a running node", path, change)
	}
	f.file = next
	if f.calls != nil {
		f.calls.service.SetVoters(raftlog.VoterSet{Edition: next.Work.Edition, Names: next.Work.Voters})
	}
	if f.operations != nil {
		f.operations.SetVoters(raftlog.VoterSet{Edition: next.Operators.Edition, Names: next.Operators.Voters})
	}
	if f.quotas != nil {
		f.quotas.service.SetVoters(raftlog.VoterSet{Edition: next.Book.Edition, Names: next.Book.Voters})
		f.quotas.service.SetQuotas(newQuotas(next.Budgets, c.LongestDeadline))
	}
	return nil
}
