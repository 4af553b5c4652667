package budget

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"sync"

	"github.com/hashicorp/raft"

	"olivebridge/internal/fleet/raftlog"
)

// The log that the voters agree on (package agreed) holds what must last: which home has which seat of the reserve. Who keeps the book is
// whoever they have elected. Leases are in the leader's memory alone: see docs/BUDGET-DESIGN.md.
// ledger is the agreed state.
type ledger struct {
	mu   sync.Mutex
	Of   map[string]int `json:"of"` // seats by home, from 1
	Next int            `json:"next"`
	// Kept is what each home's process may have of the reserve, by budget: amounts change, and a process may not hear of it.
	Kept   map[string]map[string]float64 `json:"kept"`
	Counts spending                      `json:"counts"`
}

// command is an entry of the log: one of the two.
type command struct {
	Seat  *seatCommand  `json:"seat,omitempty"`
	Count *countCommand `json:"count,omitempty"`
}

// seatCommand asks for a home's seat; with Seat it says that the home has had it.
type seatCommand struct {
	Home  string             `json:"home"`
	Seat  int                `json:"seat,omitempty"`
	Seats int                `json:"seats"`
	Kept  map[string]float64 `json:"kept,omitempty"` // units of the reserve that it may have from now on
}

func newLedger() *ledger {
	return &ledger{Of: map[string]int{}, Next: 1, Kept: map[string]map[string]float64{}, Counts: spending{map[string]map[int64]int64{}, map[string]lastCount{}}}
}

// seat is a home's seat, if what it keeps of the reserve is known to be this.
func (s *ledger) seat(home string, kept map[string]float64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !maps.Equal(s.Kept[home], kept) {
		return 0
	}
	return s.Of[home]
}

// beyond is what all homes may have of the reserve beyond what a seat has now, by budget.
func (s *ledger) beyond(now map[string]float64) map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[string]float64{}
	for _, kept := range s.Kept {
		for name, units := range kept {
			all[name] += max(units-now[name], 0)
		}
	}
	return all
}

// Apply implements raft.FSM.
func (s *ledger) Apply(l *raft.Log) any {
	var c command
	err := json.Unmarshal(l.Data, &c)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil && c.Seat != nil && c.Seat.Home != "":
		return s.sit(*c.Seat)
	case err == nil && c.Count != nil:
		return s.Counts.spend(*c.Count)
	}
	return fmt.Errorf("log entry %d: %w", l.Index, errors.Join(err, errors.New("not of this form")))
}

// sit gives a home its seat: once, and never to another home.
func (s *ledger) sit(c seatCommand) int {
	switch {
	case s.Of[c.Home] != 0:
	case c.Seat != 0 && !s.taken(c.Seat): // given by a log that was lost
		s.Of[c.Home] = c.Seat
		s.Next = max(s.Next, c.Seat+1)
	case c.Seat == 0 && s.Next <= c.Seats:
		s.Of[c.Home] = s.Next
		s.Next++
	}
	if s.Of[c.Home] != 0 {
		s.Kept[c.Home] = c.Kept
	}
	return s.Of[c.Home]
}

func (s *ledger) taken(seat int) bool {
	for _, n := range s.Of {
		if n == seat {
			return true
		}
	}
	return false
}

// Snapshot implements raft.FSM.
func (s *ledger) Snapshot() (raft.FSMSnapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return raftlog.EncodeSnapshot(s)
}

// Restore implements raft.FSM.
func (s *ledger) Restore(r io.ReadCloser) error {
	next := newLedger()
	if err := raftlog.DecodeSnapshot(r, "ledger", next); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Of, s.Next, s.Counts, s.Kept = next.Of, next.Next, next.Counts, next.Kept
	return nil
}

// book is this process's part in keeping the book.
type book struct {
	*raftlog.Log
	ledger *ledger
}

// seat gives a home its seat; 0: there is none left. It asks for agreement only the first time, and where amounts have changed.
func (b *book) seat(c seatCommand) (int, error) {
	if n := b.ledger.seat(c.Home, c.Kept); n != 0 {
		return n, nil
	}
	got, err := b.Propose(command{Seat: &c})
	n, _ := got.(int)
	return n, err
}

// count spends of a count.
func (b *book) count(c countCommand) (CountGrant, error) {
	got, err := b.Propose(command{Count: &c})
	g, _ := got.(CountGrant)
	return g, err
}
