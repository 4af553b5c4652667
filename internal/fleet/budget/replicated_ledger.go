package budget

import "olivebridge/internal/fleet/raftlog"

// replicatedLedger is the ledger of a voter's process with the raft log that replicates it to all voters.
type replicatedLedger struct {
	*raftlog.Log
	state *ledger
}

// assignSeat returns a home's seat, and assigns one if it has none; 0: no seat is left. It proposes a raft log entry
// only if the home has no seat or its parts of the reserves have changed.
func (r *replicatedLedger) assignSeat(c seatCommand) (int, error) {
	if seat := r.state.seatOf(c.Home, c.Reserved); seat != 0 {
		return seat, nil
	}
	result, err := r.Propose(command{Seat: &c})
	seat, _ := result.(int)
	return seat, err
}

// grantCount proposes a raft log entry that grants a stock of a count or takes one back, and returns the grant.
func (r *replicatedLedger) grantCount(c countCommand) (CountGrant, error) {
	result, err := r.Propose(command{Count: &c})
	grant, _ := result.(CountGrant)
	return grant, err
}
