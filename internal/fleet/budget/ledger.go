package budget

import (
	"encoding/json"
	"io"
	"maps"
	"sync"

	"github.com/hashicorp/raft"

	"olivebridge/internal/fleet/raftlog"
)

// ledger is the state machine of the voters' log: it has what must last, which is who has which seat of the reserve,
// and what was granted of counts. Leases are in the leader's memory alone: see docs/BUDGET-DESIGN.md. It is stored in
// snapshots: the keys of the JSON stay.
type ledger struct {
	mu    sync.Mutex
	Seats map[string]int `json:"of"`   // by home, from 1
	Next  int            `json:"next"` // the next seat that nobody has
	// Reserved is what each home's process may have of the reserve, by home and quota: amounts change, and a process may
	// not have learned of it.
	Reserved map[string]map[string]float64 `json:"kept"`
	Counts   countLedger                   `json:"counts"`
}

var _ raft.FSM = (*ledger)(nil)

// command is an entry of the log: one of the two.
type command struct {
	Seat  *seatCommand  `json:"seat,omitempty"`
	Count *countCommand `json:"count,omitempty"`
}

// seatCommand assigns a seat to a home.
type seatCommand struct {
	Home  string `json:"home"`
	Seat  int    `json:"seat,omitempty"` // that the home has had; 0: none
	Seats int    `json:"seats"`          // how many there are
	// Reserved is what its process may have of the reserve from now on, by quota.
	Reserved map[string]float64 `json:"kept,omitempty"`
}

func newLedger() *ledger {
	return &ledger{
		Seats:    map[string]int{},
		Next:     1,
		Reserved: map[string]map[string]float64{},
		Counts:   countLedger{Spent: map[string]map[int64]int64{}, Last: map[string]lastCountGrant{}},
	}
}

// seatOf returns a home's seat, if what it may have of the reserve is known to be this; 0: it has none, or that is
// something else.
func (l *ledger) seatOf(home string, reserved map[string]float64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !maps.Equal(l.Reserved[home], reserved) {
		return 0
	}
	return l.Seats[home]
}

// excess is what all homes together may have of the reserve beyond what a seat has now, by quota.
func (l *ledger) excess(seat map[string]float64) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	excess := map[string]float64{}
	for _, reserved := range l.Reserved {
		for name, units := range reserved {
			excess[name] += max(units-seat[name], 0)
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

// assignSeat gives a home its seat: once, and never one that another home has. It returns 0 if there is none left.
func (l *ledger) assignSeat(c seatCommand) int {
	switch {
	case l.Seats[c.Home] != 0:
	case c.Seat != 0 && !l.seatTaken(c.Seat): // assigned by a log that was lost
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

func (l *ledger) seatTaken(seat int) bool {
	for _, taken := range l.Seats {
		if taken == seat {
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
