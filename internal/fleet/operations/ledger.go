// Package rounds keeps operators' work over many nodes beyond the loss of any of them: servers that the whole fleet keeps out of
// use, and rounds through many servers, out, empty, back, the next. ledger.go decides and is free of I/O, clock and
// goroutines; service.go carries it out over a log that the voters agree on.
package operations

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

	"olivebridge/internal/fleet/mutant"
	"olivebridge/internal/fleet/raftlog"
)

// Step is how far a round is with its present server.
type Step string

// The steps, in their order.
const (
	Pending   Step = "waits"   // nothing was done yet
	Draining  Step = "leaves"  // it is kept out of use; nodes are told, and end what they have there
	Drained   Step = "empty"   // no node has anything there; it is held out
	Restoring Step = "returns" // it is in use again; nodes are told
)

// State is how a round stands.
type State string

// The states.
const (
	Running State = "runs"
	Stopped State = "stopped" // by an operator; the server that was out is back in use
	Done    State = "done"
)

// Out is a server that the whole fleet keeps out of use.
type Suspension struct {
	Version uint64 `json:"version"`         // of the ledger, from which on it is
	Round   uint64 `json:"round,omitempty"` // which has it out; 0: an operator's own word
	By      string `json:"by"`
}

// Round is one through some servers, one after the other.
type Round struct {
	ID         uint64        `json:"id"`
	Key        string        `json:"key"` // by which operators name it: said twice it is begun once
	By         string        `json:"by"`
	Servers    []string      `json:"servers"`
	Hold       time.Duration `json:"hold"` // for how long each is held out once it is empty
	Position   int           `json:"at"`   // the present server
	Step       Step          `json:"step"`
	State      State         `json:"state"`
	Version    uint64        `json:"version"` // of the ledger, at the last step
	StopReason string        `json:"why,omitempty"`
}

// Server is the present one; "": the round is over.
func (r *Round) Server() string {
	if r.Position < len(r.Servers) {
		return r.Servers[r.Position]
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
	Suspend *ServerRequest     `json:"suspend,omitempty"`
	Restore *ServerRequest     `json:"restore,omitempty"`
	Begin   *BeginRoundRequest `json:"begin,omitempty"`
	Stop    *StopRoundRequest  `json:"stop,omitempty"`
	Move    *AdvanceRequest    `json:"move,omitempty"`
}

// Word is an operator's word of one server.
type ServerRequest struct {
	Server string `json:"server"`
	By     string `json:"by"` // the node at whose door it was said
}

// Begin begins a round.
type BeginRoundRequest struct {
	Key     string        `json:"key"`
	By      string        `json:"by"`
	Servers []string      `json:"servers"`
	Hold    time.Duration `json:"hold"`
}

// Stop ends one before its time.
type StopRoundRequest struct {
	Key string `json:"key"`
	Why string `json:"why"`
}

// Move takes a round one step further, if it is where the mover saw it.
type AdvanceRequest struct {
	Round    uint64 `json:"id"`
	Position int    `json:"at"`
	From     Step   `json:"from"`
}

// ledger is the agreed state.
type ledger struct {
	mu      sync.Mutex
	Version uint64                `json:"version"` // rises with each change of Out
	Out     map[string]Suspension `json:"out"`
	Rounds  []*Round              `json:"rounds"` // in the order of their beginning
	Next    uint64                `json:"next"`
}

func newLedger() *ledger { return &ledger{Out: map[string]Suspension{}, Next: 1} }

// Answer is what came of a command: a text for operators, or why it was not done.
type Result struct {
	Text      string `json:"Text"`
	Rejection string `json:"No"`
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

func (l *ledger) suspend(w ServerRequest) Result {
	if o, out := l.Out[w.Server]; out {
		return Result{Text: fmt.Sprintf("%s is out already, %s", w.Server, o.why())}
	}
	l.put(w.Server, Suspension{By: w.By})
	return Result{Text: fmt.Sprintf("%s is to be out at all nodes", w.Server)}
}

func (o Suspension) why() string {
	if o.Round != 0 {
		return fmt.Sprintf("by round %d", o.Round)
	}
	return "by a word at " + o.By
}

func (l *ledger) restore(w ServerRequest) Result {
	o, out := l.Out[w.Server]
	switch {
	case !out:
		return Result{Text: w.Server + " is not out"}
	case o.Round != 0:
		return Result{Rejection: fmt.Sprintf("%s is out by round %d: stop that first", w.Server, o.Round)}
	}
	l.take(w.Server)
	return Result{Text: w.Server + " is to be in use again at all nodes"}
}

func (l *ledger) put(server string, o Suspension) {
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
		if r.State == Running {
			return r
		}
	}
	return nil
}

func (l *ledger) begin(b BeginRoundRequest) Result {
	for _, r := range l.Rounds {
		if r.Key == b.Key {
			return Result{Text: "it was begun before: " + r.String()}
		}
	}
	if r := l.running(); r != nil {
		return Result{Rejection: "another runs: " + r.String()}
	}
	sorted := slices.Sorted(slices.Values(b.Servers))
	switch {
	case len(b.Servers) == 0 || len(b.Servers) > MostServers:
		return Result{Rejection: fmt.Sprintf("%d servers, not from 1 to %d", len(b.Servers), MostServers)}
	case len(slices.Compact(sorted)) != len(b.Servers):
		return Result{Rejection: "a server stands twice"}
	}
	r := &Round{ID: l.Next, Key: b.Key, By: b.By, Servers: b.Servers, Hold: b.Hold, Step: Pending, State: Running, Version: l.Version}
	l.Next++
	l.Rounds = append(l.Rounds, r)
	l.Rounds = l.Rounds[max(len(l.Rounds)-keptRounds, 0):]
	return Result{Text: r.String()}
}

func (l *ledger) stop(s StopRoundRequest) Result {
	for _, r := range l.Rounds {
		if r.Key != s.Key {
			continue
		}
		if r.State == Running {
			r.State, r.StopReason = Stopped, s.Why
			if o := l.Out[r.Server()]; o.Round == r.ID {
				l.take(r.Server())
			}
		}
		return Result{Text: r.String()}
	}
	return Result{Rejection: fmt.Sprintf("there is no round %q", s.Key)}
}

// move takes a step, once: whoever comes second finds that the round is elsewhere by then. A server that is out by an operator's
// own word is passed over, and stays out.
func (l *ledger) move(m AdvanceRequest) Result {
	r := l.running()
	if r == nil || r.ID != m.Round || r.Position != m.Position && !mutant.Active("step-without-look") || r.Step != m.From && !mutant.Active("step-without-look") {
		return Result{Rejection: "it is elsewhere by now"}
	}
	server := r.Server()
	switch m.From {
	case Pending:
		if _, out := l.Out[server]; out {
			l.next(r)
			break
		}
		l.put(server, Suspension{Round: r.ID, By: r.By})
		r.Step = Draining
	case Draining:
		r.Step = Drained
	case Drained:
		if l.Out[server].Round == r.ID {
			l.take(server)
		}
		r.Step = Restoring
	case Restoring:
		l.next(r)
	}
	r.Version = l.Version
	return Result{Text: r.String()}
}

func (l *ledger) next(r *Round) {
	if r.Position, r.Step = r.Position+1, Pending; r.Position >= len(r.Servers) {
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
		return text + fmt.Sprintf("stopped after %d of %d servers: %s", r.Position, len(r.Servers), r.StopReason)
	}
	return text + fmt.Sprintf("server %d of %d, %s, %s", r.Position+1, len(r.Servers), r.Server(), r.Step)
}

// view is what nodes and operators are shown.
func (l *ledger) view() (version uint64, out map[string]Suspension, rounds []Round) {
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
	return raftlog.EncodeSnapshot(l)
}

// Restore implements raft.FSM.
func (l *ledger) Restore(r io.ReadCloser) error {
	next := newLedger()
	if err := raftlog.DecodeSnapshot(r, "rounds", next); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Version, l.Out, l.Rounds, l.Next = next.Version, next.Out, next.Rounds, next.Next
	return nil
}

// Report is what a node said last.
type NodeReport struct {
	Incarnation string
	Version     uint64         // of the ledger, that it goes by
	OpenCalls   map[string]int // tries that it has open at servers that are out
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
func CanAdvance(r Round, members []Member, reports map[string]NodeReport, held time.Duration) (ok bool, waits []string) {
	if r.Step == Pending {
		return true, nil
	}
	if r.Step == Drained {
		return held >= r.Hold, nil
	}
	late := func(said NodeReport, predecessor bool) bool {
		busy := r.Step == Draining && (predecessor || said.OpenCalls[r.Server()] > 0)
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
