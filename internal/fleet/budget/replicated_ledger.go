package budget

import "olivebridge/internal/fleet/raftlog"

// replicatedLedger is the ledger of a voter's process, with the log that keeps it the same at all voters.
type replicatedLedger struct {
	*raftlog.Log
	state *ledger
}

// assignSeat gives a home its seat; 0: there is none left. The voters are asked only the first time, and where the
// amounts have changed.
func (r *replicatedLedger) assignSeat(c seatCommand) (int, error) {
	if seat := r.state.seatOf(c.Home, c.Reserved); seat != 0 {
		return seat, nil
	}
	result, err := r.Propose(command{Seat: &c})
	seat, _ := result.(int)
	return seat, err
}

// grantCount grants a stock of a count, or takes one back.
func (r *replicatedLedger) grantCount(c countCommand) (CountGrant, error) {
	result, err := r.Propose(command{Count: &c})
	grant, _ := result.(CountGrant)
	return grant, err
}
