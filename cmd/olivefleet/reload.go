package main

import (
	"fmt"
	"os"

	"olivebridge/internal/fleet/fleetfile"
	"olivebridge/internal/fleet/raftlog"
	"olivebridge/internal/protocol"
)

// Reload implements node.Fleet. In a running node only voters, the amounts of quotas and, in the configuration, the
// idempotency of classes may change.
func (f *fleetNode) Reload(c *protocol.Config) error {
	path := os.Getenv(protocol.EnvFleet)
	next, err := fleetfile.Load(path)
	if err != nil {
		return err
	}
	if change := f.file.ImmutableChange(next); change != "" {
		return fmt.Errorf("fleet file %s: %s cannot change in a running node", path, change)
	}
	var classes idempotentClasses
	if f.calls != nil {
		if classes, err = newIdempotentClasses(next.Work.Classes, c); err != nil {
			return err
		}
	}
	f.file = next
	if f.calls != nil {
		f.calls.idempotent.Store(&classes)
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
