// Package rounds keeps operators' work over many nodes beyond the loss of any of them: servers that the whole fleet keeps out of
// use, and rounds through many servers, out, empty, back, the next. ledger.go decides and is free of I/O, clock and
// goroutines; service.go carries it out over a log that the voters agree on.
package rounds

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"olivebridge/internal/fleet/agreed"
	"olivebridge/internal/fleet/mutant"
)

// Step is how far a round is with its present server.
type Step string

// The steps, in their order.
const (
	Waits   Step = "waits"   // nothing was done yet
	Leaves  Step = "leaves"  // it is kept out of use; nodes are told, and end what they have there
	Empty   Step = "empty"   // no node has anything there; it is held out
	Returns Step = "returns" // it is in use again; nodes are told
)

// State is how a round stands.
type State string

// The states.
const (
	Runs    State = "runs"
	Stopped State = "stopped" // by an operator; the server that was out is back in use
	Done    State = "done"
)

// Out is a server that the whole fleet keeps out of use.
type Out struct {
	Version uint64 `json:"version"`         // of the ledger, from which on it is
	Round   uint64 `json:"round,omitempty"` // which has it out; 0: an operator's own word
	By      string `json:"by"`
}

// Round is one through some servers, one after the other.
type Round struct {
	ID      uint64        `json:"id"`
	Key     string        `json:"key"` // by which operators name it: said twice it is begun once
	By      string        `json:"by"`
	Servers []string      `json:"servers"`
	Hold    time.Duration `json:"hold"` // for how long each is held out once it is empty
	At      int           `json:"at"`   // the present server
	Step    Step          `json:"step"`
	State   State         `json:"state"`
	Version uint64        `json:"version"` // of the ledger, at the last step
	Why     string        `json:"why,omitempty"`
}

// Server is the present one; "": the round is over.
func (r *Round) Server() string {
	if r.At < len(r.Servers) {
		return r.Servers[r.At]
	}
	return ""
}

// MostServers bounds a round, keptRounds those that are known.
const (
	MostServers = 1000
	keptRounds  = 16
)

// command is an entry of the log: one of them.
type command struct {
	Suspend *Word  `json:"suspend,omitempty"`
	Restore *Word  `json:"restore,omitempty"`
	Begin   *Begin `json:"begin,omitempty"`
	Stop    *Stop  `json:"stop,omitempty"`
	Move    *Move  `json:"move,omitempty"`
}

// Word is an operator's word of one server.
type Word struct {
	Server string `json:"server"`
	By     string `json:"by"` // the node at whose door it was said
}

// Begin begins a round.
type Begin struct {
	Key     string        `json:"key"`
	By      string        `json:"by"`
	Servers []string      `json:"servers"`
	Hold    time.Duration `json:"hold"`
}

// Stop ends one before its time.
type Stop struct {
	Key string `json:"key"`
	Why string `json:"why"`
}

// Move takes a round one step further, if it is where the mover saw it.
type Move struct {
	ID   uint64 `json:"id"`
	At   int    `json:"at"`
	From Step   `json:"from"`
}

// ledger is the agreed state.
type ledger struct {
	mu      sync.Mutex
	Version uint64         `json:"version"` // rises with each change of Out
	Out     map[string]Out `json:"out"`
	Rounds  []*Round       `json:"rounds"` // in the order of their beginning
	Next    uint64         `json:"next"`
}

func newLedger() *ledger { return &ledger{Out: map[string]Out{}, Next: 1} }

// Answer is what came of a command: a text for operators, or why it was not done.
type Answer struct {
	Text string
	No   string
}

// Apply implements raft.FSM.
func (l *ledger) Apply(e *raft.Log) any {
	var c command
	err := json.Unmarshal(e.Data, &c)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil && c.Suspend != nil && c.Suspend.Server != "":
		return l.suspend(*c.Suspend)
	case err == nil && c.Restore != nil:
		return l.restore(*c.Restore)
	case err == nil && c.Begin != nil:
		return l.begin(*c.Begin)
	case err == nil && c.Stop != nil:
		return l.stop(*c.Stop)
	case err == nil && c.Move != nil:
		return l.move(*c.Move)
	}
	return fmt.Errorf("log entry %d: %w", e.Index, errors.Join(err, errors.New("not of this form")))
}

func (l *ledger) suspend(w Word) Answer {
	if o, out := l.Out[w.Server]; out {
		return Answer{Text: fmt.Sprintf("%s is out already, %s", w.Server, o.why())}
	}
	l.put(w.Server, Out{By: w.By})
	return Answer{Text: fmt.Sprintf("%s is to be out at all nodes", w.Server)}
}

func (o Out) why() string {
	if o.Round != 0 {
		return fmt.Sprintf("by round %d", o.Round)
	}
	return "by a word at " + o.By
}

func (l *ledger) restore(w Word) Answer {
	o, out := l.Out[w.Server]
	switch {
	case !out:
		return Answer{Text: w.Server + " is not out"}
	case o.Round != 0:
		return Answer{No: fmt.Sprintf("%s is out by round %d: stop that first", w.Server, o.Round)}
	}
	l.take(w.Server)
	return Answer{Text: w.Server + " is to be in use again at all nodes"}
}

func (l *ledger) put(server string, o Out) {
	l.Version++
	o.Version = l.Version
	l.Out[server] = o
}

func (l *ledger) take(server string) {
	l.Version++
	delete(l.Out, server)
}

// running is the round that runs; nil: none does.
func (l *ledger) running() *Round {
	for _, r := range l.Rounds {
		if r.State == Runs {
			return r
		}
	}
	return nil
}

func (l *ledger) begin(b Begin) Answer {
	for _, r := range l.Rounds {
		if r.Key == b.Key {
			return Answer{Text: "it was begun before: " + r.String()}
		}
	}
	if r := l.running(); r != nil {
		return Answer{No: "another runs: " + r.String()}
	}
	sorted := slices.Sorted(slices.Values(b.Servers))
	switch {
	case len(b.Servers) == 0 || len(b.Servers) > MostServers:
		return Answer{No: fmt.Sprintf("%d servers, not from 1 to %d", len(b.Servers), MostServers)}
	case len(slices.Compact(sorted)) != len(b.Servers):
		return Answer{No: "a server stands twice"}
	}
	r := &Round{ID: l.Next, Key: b.Key, By: b.By, Servers: b.Servers, Hold: b.Hold, Step: Waits, State: Runs, Version: l.Version}
	l.Next++
	l.Rounds = append(l.Rounds, r)
	l.Rounds = l.Rounds[max(len(l.Rounds)-keptRounds, 0):]
	return Answer{Text: r.String()}
}

func (l *ledger) stop(s Stop) Answer {
	for _, r := range l.Rounds {
		if r.Key != s.Key {
			continue
		}
		if r.State == Runs {
			r.State, r.Why = Stopped, s.Why
			if o := l.Out[r.Server()]; o.Round == r.ID {
				l.take(r.Server())
			}
		}
		return Answer{Text: r.String()}
	}
	return Answer{No: fmt.Sprintf("there is no round %q", s.Key)}
}

// move takes a step, once: whoever comes second finds that the round is elsewhere by then. A server that is out by an operator's
// own word is passed over, and stays out.
func (l *ledger) move(m Move) Answer {
	r := l.running()
	if r == nil || r.ID != m.ID || r.At != m.At && !mutant.Active("step-without-look") || r.Step != m.From && !mutant.Active("step-without-look") {
		return Answer{No: "it is elsewhere by now"}
	}
	server := r.Server()
	switch m.From {
	case Waits:
		if _, out := l.Out[server]; out {
			l.next(r)
			break
		}
		l.put(server, Out{Round: r.ID, By: r.By})
		r.Step = Leaves
	case Leaves:
		r.Step = Empty
	case Empty:
		if l.Out[server].Round == r.ID {
			l.take(server)
		}
		r.Step = Returns
	case Returns:
		l.next(r)
	}
	r.Version = l.Version
	return Answer{Text: r.String()}
}

func (l *ledger) next(r *Round) {
	if r.At, r.Step = r.At+1, Waits; r.At >= len(r.Servers) {
		r.State = Done
	}
}

// String is the round for operators.
func (r *Round) String() string {
	text := fmt.Sprintf("round %q, begun at %s: ", r.Key, r.By)
	switch r.State {
	case Done:
		return text + fmt.Sprintf("done, %d servers", len(r.Servers))
	case Stopped:
		return text + fmt.Sprintf("stopped after %d of %d servers: %s", r.At, len(r.Servers), r.Why)
	}
	return text + fmt.Sprintf("server %d of %d, %s, %s", r.At+1, len(r.Servers), r.Server(), r.Step)
}

// view is what nodes and operators are shown.
func (l *ledger) view() (version uint64, out map[string]Out, rounds []Round) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.Rounds {
		rounds = append(rounds, *r)
	}
	return l.Version, maps.Clone(l.Out), rounds
}

// Snapshot implements raft.FSM.
func (l *ledger) Snapshot() (raft.FSMSnapshot, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return agreed.Freeze(l)
}

// Restore implements raft.FSM.
func (l *ledger) Restore(r io.ReadCloser) error {
	next := newLedger()
	if err := agreed.Thaw(r, "rounds", next); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Version, l.Out, l.Rounds, l.Next = next.Version, next.Out, next.Rounds, next.Next
	return nil
}

// Report is what a node said last.
type Report struct {
	Incarnation string
	Version     uint64         // of the ledger, that it goes by
	Busy        map[string]int // tries that it has open at servers that are out
	Age         time.Duration
}

// Member is a node that may still act, as the leader believes.
type Member struct {
	Name        string
	Incarnation string
	Predecessor bool // another process of it may have something in hand, of which it does not know
}

// reportFor is for how long a report counts.
const reportFor = 2 * time.Second

// Ready reports whether a round may go on with its step, by what all nodes said; if not, which nodes it waits for. held is for
// how long it has been seen in its step. Whoever reports counts, also one that is no member, or not yet: a node that is back at
// another address serves clients for some seconds before the others have it.
func Ready(r Round, members []Member, reports map[string]Report, held time.Duration) (ok bool, waits []string) {
	if r.Step == Waits {
		return true, nil
	}
	if r.Step == Empty {
		return held >= r.Hold, nil
	}
	late := func(said Report, predecessor bool) bool {
		busy := r.Step == Leaves && (predecessor || said.Busy[r.Server()] > 0)
		return said.Version < r.Version || busy && !mutant.Active("busy-not-asked")
	}
	for _, m := range members {
		said, known := reports[m.Name]
		if !known || said.Incarnation != m.Incarnation || said.Age > reportFor || late(said, m.Predecessor) {
			waits = append(waits, m.Name)
		}
	}
	for name, said := range reports {
		member := slices.ContainsFunc(members, func(m Member) bool { return m.Name == name })
		if !member && said.Age <= reportFor && late(said, false) {
			waits = append(waits, name)
		}
	}
	slices.Sort(waits)
	return len(waits) == 0, waits
}
