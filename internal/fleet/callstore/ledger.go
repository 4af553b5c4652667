// Package work keeps clients' work beyond the loss of the node that has it in hand: who has it, whether it may have run, and
// what came of it. ledger.go decides and is free of I/O, clock and goroutines; service.go carries it out over a log that the
// voters agree on. docs/TAKEOVER-DESIGN.md says why nothing runs twice.
package callstore

import (
	"container/heap"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"olivebridge/internal/fleet/mutant"
	"olivebridge/internal/fleet/raftlog"
)

// State is how a piece of work stands.
type State string

// The states. Work that nobody has begun, or that was forgotten, is not in the ledger.
const (
	Free     State = "free"     // it was begun, and surely has not run: whoever asks next may run it
	Running  State = "running"  // its owner may let it out: it may have run
	Answered State = "answered" // it has run, and what came of it is kept
	Unknown  State = "unknown"  // it may have run; nobody will ever run it again
)

// Outcome is a final answer.
type Outcome struct {
	Status      int                 `json:"status"`
	Header      map[string][]string `json:"header,omitempty"`
	Body        []byte              `json:"body,omitempty"`
	BodyOmitted bool                `json:"long,omitempty"` // the body was too long to be kept
}

// Owner is who may let a piece of work out: a node's incarnation, and which of the calls in it. No two calls have the same.
type Owner struct {
	Name        string `json:"name"`
	Incarnation string `json:"life"`
	Call        uint64 `json:"call"`
}

func (o Owner) process() process { return process{o.Name, o.Incarnation} }

// process is one incarnation of a node. Its names in the log are those that earlier programs wrote.
type process struct {
	Name        string `json:"Name"`
	Incarnation string `json:"Life"`
}

// piece is what the ledger has of a piece of work.
type piece struct {
	Print   string   `json:"print"` // of the request: another one under the same key is refused
	Owner   Owner    `json:"owner"`
	State   State    `json:"state"`
	Again   bool     `json:"again,omitempty"` // it may run more than once
	Tries   int      `json:"tries"`           // owners of whom it may have run
	Changed int64    `json:"changed"`         // by the ledger's clock
	Outcome *Outcome `json:"outcome,omitempty"`

	key   string
	place int // in aging
}

// Begin asks for the permission to let a piece of work out.
type BeginRequest struct {
	Key         string `json:"key"`
	Fingerprint string `json:"print"`
	Owner       Owner  `json:"owner"`
	Idempotent  bool   `json:"again,omitempty"`
	MaxOwners   int    `json:"most"` // owners of whom it may have run, at most
}

// End says what became of it.
type EndRequest struct {
	Key         string   `json:"key"`
	Owner       Owner    `json:"owner"`
	State       State    `json:"state"`
	Fingerprint string   `json:"print,omitempty"` // with Free, of work that the ledger may not have heard of
	Outcome     *Outcome `json:"outcome,omitempty"`
}

// Lost says that processes are gone for good: their work is nobody's.
type ReleaseRequest struct {
	Processes []process `json:"processes"`
}

// command is an entry of the log: one of the three. The limits go with it, since all voters have to come to the same state from
// the same log, also while their files differ for a while.
type command struct {
	Now    int64           `json:"now"`    // the ledger's clock, in milliseconds; it never runs backwards
	Limits Limits          `json:"limits"` // of whoever leads
	Begin  *BeginRequest   `json:"begin,omitempty"`
	End    *EndRequest     `json:"end,omitempty"`
	Lost   *ReleaseRequest `json:"lost,omitempty"`
}

// Verdict is what came of a Begin.
type BeginResult struct {
	Granted         bool     `json:"yours,omitempty"`   // the asker may let it out
	State           State    `json:"state,omitempty"`   // else, how it stands
	Owner           Owner    `json:"owner,omitzero"`    // of work that runs
	Outcome         *Outcome `json:"outcome,omitempty"` // of work that was answered
	KeyConflict     bool     `json:"other,omitempty"`   // the key belongs to another request
	StoreFull       bool     `json:"full,omitempty"`    // there is no room: nothing is forgotten before its time
	OwnersExhausted bool     `json:"over,omitempty"`    // as many owners as may have had it
}

// Limits bound the ledger.
type Limits struct {
	Retention  time.Duration `json:"window"` // for how long work is kept after its last change
	MaxEntries int           `json:"most"`   // pieces
}

// mostBytes bounds the bodies of all outcomes together, which every voter has in memory. Beyond it outcomes are kept without.
const mostBytes = 32 << 20

// ledger is the agreed state.
type ledger struct {
	mu     sync.Mutex
	Clock  int64             `json:"clock"`
	Pieces map[string]*piece `json:"pieces"`

	aging aging                       // what does not run, the longest unchanged first
	of    map[process]map[*piece]bool // what runs
	bytes int                         // of outcomes' bodies
}

func newLedger() *ledger {
	return &ledger{Pieces: map[string]*piece{}, of: map[process]map[*piece]bool{}}
}

// aging is a heap of pieces by their last change.
type aging []*piece

func (a aging) Len() int           { return len(a) }
func (a aging) Less(i, j int) bool { return a[i].Changed < a[j].Changed }
func (a aging) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].place, a[j].place = i, j
}

// Push implements heap.Interface.
func (a *aging) Push(x any) {
	p := x.(*piece)
	p.place = len(*a)
	*a = append(*a, p)
}

// Pop implements heap.Interface.
func (a *aging) Pop() any {
	n := len(*a) - 1
	p := (*a)[n]
	(*a)[n], *a = nil, (*a)[:n]
	return p
}

// Apply implements raft.FSM.
func (s *ledger) Apply(l *raft.Log) any {
	var c command
	err := json.Unmarshal(l.Data, &c)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Clock = max(s.Clock, c.Now); err == nil {
		s.forget(c.Limits)
	}
	switch {
	case err == nil && c.Begin != nil && c.Begin.Key != "":
		return s.begin(*c.Begin, c.Limits)
	case err == nil && c.End != nil:
		return s.end(*c.End, c.Limits)
	case err == nil && c.Lost != nil:
		return s.lost(*c.Lost)
	}
	return fmt.Errorf("log entry %d: %w", l.Index, errors.Join(err, errors.New("not of this form")))
}

// begin gives a permission, once: to whoever asks first for work that is new or free.
func (s *ledger) begin(c BeginRequest, l Limits) BeginResult {
	p := s.Pieces[c.Key]
	switch {
	case p == nil && len(s.Pieces) >= l.MaxEntries:
		return BeginResult{StoreFull: true}
	case p == nil:
		p = &piece{Print: c.Fingerprint, Again: c.Idempotent, key: c.Key}
	case p.Print != c.Fingerprint:
		return BeginResult{KeyConflict: true}
	case p.Owner == c.Owner && p.State == Running: // the same question, since its answer was lost
		return BeginResult{Granted: true}
	case p.State == Running && mutant.Active("claim-without-look"):
	case p.State != Free || p.Owner == c.Owner: // or it comes late, and its owner has given it up
		return BeginResult{State: p.State, Owner: p.Owner, Outcome: p.Outcome}
	case p.Tries >= max(c.MaxOwners, 1):
		return BeginResult{OwnersExhausted: true}
	}
	p.Tries++
	s.set(p, c.Owner, Running)
	return BeginResult{Granted: true}
}

// end takes what an owner says of its work, and reports whether it was its to say. What it says after it was given up is better
// than not to know, as long as nobody else has had the work: an outcome, or that nothing has run. A Begin that was given up
// before it came here finds that when it comes.
func (s *ledger) end(c EndRequest, l Limits) bool {
	p := s.Pieces[c.Key]
	if c.State == Free && (p != nil && p.State == Free || p == nil && c.Fingerprint != "" && len(s.Pieces) < l.MaxEntries) {
		if p == nil {
			p = &piece{Print: c.Fingerprint, key: c.Key}
		}
		s.set(p, c.Owner, Free)
		return true
	}
	if p == nil || p.Owner != c.Owner {
		return false
	}
	if p.State != Running && p.State != Unknown {
		return p.State == c.State
	}
	if c.State == Free { // it has not run: that owner counts for nothing
		p.Tries--
	}
	if p.Outcome = c.Outcome; p.Outcome != nil && s.bytes+len(p.Outcome.Body) > mostBytes {
		p.Outcome = &Outcome{Status: p.Outcome.Status, BodyOmitted: true}
	}
	s.bytes += p.size()
	s.set(p, p.Owner, c.State)
	if mutant.Active("outcome-forgotten") {
		s.forget(Limits{Retention: -time.Millisecond})
	}
	return true
}

// size is what a piece's outcome weighs.
func (p *piece) size() int {
	if p.Outcome == nil {
		return 0
	}
	return len(p.Outcome.Body)
}

// lost takes processes' work from them. What may have run, and must not run twice, stays unknown; of what may run again a former
// owner that returns has nothing to say any more.
func (s *ledger) lost(c ReleaseRequest) (n int) {
	for _, one := range c.Processes {
		for p := range s.of[one] {
			owner, state := p.Owner, Unknown
			if p.Again || mutant.Active("unknown-sent-again") {
				owner, state = Owner{}, Free
			}
			s.set(p, owner, state)
			n++
		}
	}
	return n
}

// set changes owner and state, and keeps the indexes.
func (s *ledger) set(p *piece, owner Owner, state State) {
	if s.Pieces[p.key] == p {
		s.unlist(p)
	}
	p.Owner, p.State, p.Changed = owner, state, s.Clock
	s.Pieces[p.key] = p
	s.list(p)
}

func (s *ledger) list(p *piece) {
	if p.State != Running {
		heap.Push(&s.aging, p)
		return
	}
	one := p.Owner.process()
	if s.of[one] == nil {
		s.of[one] = map[*piece]bool{}
	}
	s.of[one][p] = true
}

func (s *ledger) unlist(p *piece) {
	if p.State != Running {
		heap.Remove(&s.aging, p.place)
		return
	}
	all := s.of[p.Owner.process()]
	if delete(all, p); len(all) == 0 {
		delete(s.of, p.Owner.process())
	}
}

// forget drops what is older than the window. Work that runs is never forgotten.
func (s *ledger) forget(l Limits) {
	for end := s.Clock - l.Retention.Milliseconds(); len(s.aging) > 0 && s.aging[0].Changed < end; {
		p := heap.Pop(&s.aging).(*piece)
		s.bytes -= p.size()
		delete(s.Pieces, p.key)
	}
}

// owners are those that have work in hand.
func (s *ledger) owners() (all []process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for one := range s.of {
		all = append(all, one)
	}
	return all
}

// clock is the ledger's time.
func (s *ledger) clock() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Clock
}

// counts are how many pieces are in each state.
func (s *ledger) counts() map[State]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[State]int{}
	for _, p := range s.Pieces {
		all[p.State]++
	}
	return all
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
	if err := raftlog.DecodeSnapshot(r, "work", next); err != nil {
		return err
	}
	for key, p := range next.Pieces {
		p.key = key
		next.bytes += p.size()
		next.list(p)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Clock, s.Pieces, s.aging, s.of, s.bytes = next.Clock, next.Pieces, next.aging, next.of, next.bytes
	return nil
}
