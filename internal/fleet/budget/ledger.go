package budget

import (
	"encoding/json"
	"io"
	"maps"
	"sync"

	"github.com/hashicorp/raft"

	"olivebridge/internal/fleet/raftlog"
)

// ledger is the raft state machine of the voters. It has the state that must survive a change of the leader: the seats
// of the reserve and the units granted of counts. Leases are only in the leader's memory, see docs/BUDGET-DESIGN.md. It
// is stored in snapshots, so its JSON keys must not change.
type ledger struct {
	mu    sync.Mutex
	Seats map[string]int `json:"of"`   // seat numbers, from 1, by home
	Next  int            `json:"next"` // lowest seat number that was never assigned
	// Reserved is the part of each reserve that the process of each home may use, by home and quota. It is stored per
	// home because the amounts change, and a process may still use the old ones.
	Reserved map[string]map[string]float64 `json:"kept"`
	Counts   countLedger                   `json:"counts"`
}

var _ raft.FSM = (*ledger)(nil)

// command is an entry of the raft log. Exactly one field is set.
type command struct {
	Seat  *seatCommand  `json:"seat,omitempty"`
	Count *countCommand `json:"count,omitempty"`
}

// seatCommand assigns a seat to a home.
type seatCommand struct {
	Home  string `json:"home"`
	Seat  int    `json:"seat,omitempty"` // seat that the home stored earlier; 0: none
	Seats int    `json:"seats"`          // number of seats in the fleet
	// Reserved is the part of each reserve that the home's process may use once the command is committed, by quota.
	Reserved map[string]float64 `json:"kept,omitempty"`
}

// newLedger returns the ledger of an empty log.
func newLedger() *ledger {
	return &ledger{
		Seats:    map[string]int{},
		Next:     1,
		Reserved: map[string]map[string]float64{},
		Counts:   countLedger{Spent: map[string]map[int64]int64{}, Last: map[string]lastCountGrant{}},
	}
}

// seatOf returns a home's seat, provided that the ledger has the given parts of the reserves for it; 0: it has no seat,
// or other parts.
func (l *ledger) seatOf(home string, reserved map[string]float64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !maps.Equal(l.Reserved[home], reserved) {
		return 0
	}
	return l.Seats[home]
}

// excess returns, by quota, the sum over all homes of the amount by which a home's part of the reserve exceeds a seat's
// current part.
func (l *ledger) excess(currentParts map[string]float64) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	excess := map[string]float64{}
	for _, reserved := range l.Reserved {
		for name, units := range reserved {
			excess[name] += max(units-currentParts[name], 0)
		}
	}
	return excess
}

// Apply implements raft.FSM.
func (l *ledger) Apply(entry *raft.Log) any {
	var c command
	err := json.Unmarshal(entry.Data, &c)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil && c.Seat != nil && c.Seat.Home != "":
		return l.assignSeat(*c.Seat)
	case err == nil && c.Count != nil:
		return l.Counts.apply(*c.Count)
	}
	return raftlog.MalformedEntry(entry, err)
}

// assignSeat returns a home's seat, and assigns one if it has none. A seat is never reassigned to another home. It
// returns 0 if no seat is left, or the seat that the home stored earlier belongs to another home.
func (l *ledger) assignSeat(c seatCommand) int {
	switch {
	case l.Seats[c.Home] != 0:
	case c.Seat != 0 && !l.seatTaken(c.Seat): // assigned by an earlier log, which was lost
		l.Seats[c.Home] = c.Seat
		l.Next = max(l.Next, c.Seat+1)
	case c.Seat == 0 && l.Next <= c.Seats:
		l.Seats[c.Home] = l.Next
		l.Next++
	}
	if l.Seats[c.Home] != 0 {
		l.Reserved[c.Home] = c.Reserved
	}
	return l.Seats[c.Home]
}

// seatTaken reports whether a home has the seat.
func (l *ledger) seatTaken(seat int) bool {
	for _, assigned := range l.Seats {
		if assigned == seat {
			return true
		}
	}
	return false
}

// Snapshot implements raft.FSM.
func (l *ledger) Snapshot() (raft.FSMSnapshot, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return raftlog.EncodeSnapshot(l)
}

// Restore implements raft.FSM.
func (l *ledger) Restore(r io.ReadCloser) error {
	next := newLedger()
	if err := raftlog.DecodeSnapshot(r, "ledger", next); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Seats = next.Seats
	l.Next = next.Next
	l.Counts = next.Counts
	l.Reserved = next.Reserved
	return nil
}
