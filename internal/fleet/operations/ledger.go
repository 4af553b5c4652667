package operations

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"

	"github.com/hashicorp/raft"

	"olivebridge/internal/fleet/mutant"
	"olivebridge/internal/fleet/raftlog"
)

const (
	// MaxServers is the limit on servers in one round.
	MaxServers = 1000
	// maxRounds is the limit on rounds in the ledger. The oldest round is dropped when a new one exceeds the limit.
	maxRounds = 16
)

// ledger is the replicated state machine. It implements raft.FSM.
type ledger struct {
	mu          sync.Mutex
	Version     uint64                `json:"version"` // increases by one with each change of Suspensions
	Suspensions map[string]Suspension `json:"out"`     // by server
	Rounds      []*Round              `json:"rounds"`  // oldest first
	NextRound   uint64                `json:"next"`    // ID of the next round
}

func newLedger() *ledger {
	return &ledger{Suspensions: map[string]Suspension{}, NextRound: 1}
}

// Apply implements raft.FSM. It returns a Result, or an error.
func (l *ledger) Apply(entry *raft.Log) any {
	var c command
	if err := json.Unmarshal(entry.Data, &c); err != nil {
		return raftlog.MalformedEntry(entry, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.Suspend != nil && c.Suspend.Server != "":
		return l.suspend(*c.Suspend)
	case c.Restore != nil:
		return l.restore(*c.Restore)
	case c.Begin != nil:
		return l.beginRound(*c.Begin)
	case c.Stop != nil:
		return l.stopRound(*c.Stop)
	case c.Advance != nil:
		return l.advance(*c.Advance)
	}
	return raftlog.MalformedEntry(entry, nil)
}

func (l *ledger) suspend(request ServerRequest) Result {
	if present, suspended := l.Suspensions[request.Server]; suspended {
		return Result{Text: fmt.Sprintf("%s is out already, %s", request.Server, present.reason())}
	}
	l.addSuspension(request.Server, Suspension{By: request.By})
	return Result{Text: fmt.Sprintf("%s is to be out at all nodes", request.Server)}
}

func (l *ledger) restore(request ServerRequest) Result {
	present, suspended := l.Suspensions[request.Server]
	switch {
	case !suspended:
		return Result{Text: request.Server + " is not out"}
	case present.Round != 0:
		return Result{Rejection: fmt.Sprintf("%s is out by round %d: stop that first", request.Server, present.Round)}
	}
	l.removeSuspension(request.Server)
	return Result{Text: request.Server + " is to be in use again at all nodes"}
}

func (l *ledger) addSuspension(server string, suspension Suspension) {
	l.Version++
	suspension.Version = l.Version
	l.Suspensions[server] = suspension
}

func (l *ledger) removeSuspension(server string) {
	l.Version++
	delete(l.Suspensions, server)
}

// runningRound returns the running round, or nil if there is none.
func (l *ledger) runningRound() *Round {
	for _, r := range l.Rounds {
		if r.State == Running {
			return r
		}
	}
	return nil
}

// roundByKey returns the round with the given key, or nil if there is none.
func (l *ledger) roundByKey(key string) *Round {
	for _, r := range l.Rounds {
		if r.Key == key {
			return r
		}
	}
	return nil
}

func (l *ledger) beginRound(request BeginRoundRequest) Result {
	if r := l.roundByKey(request.Key); r != nil {
		return Result{Text: "it was begun before: " + r.String()}
	}
	if r := l.runningRound(); r != nil {
		return Result{Rejection: "another runs: " + r.String()}
	}
	count := len(request.Servers)
	if count == 0 || count > MaxServers {
		return Result{Rejection: fmt.Sprintf("%d servers, not from 1 to %d", count, MaxServers)}
	}
	if distinct := slices.Compact(slices.Sorted(slices.Values(request.Servers))); len(distinct) != count {
		return Result{Rejection: "a server stands twice"}
	}
	r := &Round{
		ID:      l.NextRound,
		Key:     request.Key,
		By:      request.By,
		Servers: request.Servers,
		Hold:    request.Hold,
		Step:    Pending,
		State:   Running,
		Version: l.Version,
	}
	l.NextRound++
	l.Rounds = append(l.Rounds, r)
	l.Rounds = l.Rounds[max(len(l.Rounds)-maxRounds, 0):]
	return Result{Text: r.String()}
}

func (l *ledger) stopRound(request StopRoundRequest) Result {
	r := l.roundByKey(request.Key)
	if r == nil {
		return Result{Rejection: fmt.Sprintf("there is no round %q", request.Key)}
	}
	if r.State == Running {
		r.State = Stopped
		r.StopReason = request.Reason
		l.endSuspension(r)
	}
	return Result{Text: r.String()}
}

// endSuspension removes the suspension of a round's present server, if that round has suspended it.
func (l *ledger) endSuspension(r *Round) {
	if l.Suspensions[r.Server()].Round == r.ID {
		l.removeSuspension(r.Server())
	}
}

// advance advances a round by one step. It rejects a duplicate request, because the round has then left the request's
// position and step. A server that an operator has suspended is skipped and stays suspended.
func (l *ledger) advance(request AdvanceRequest) Result {
	r := l.runningRound()
	if r == nil || r.ID != request.Round || !r.isAt(request) && !mutant.Active("step-without-look") {
		return Result{Rejection: "it is elsewhere by now"}
	}
	switch request.From {
	case Pending:
		l.beginDraining(r)
	case Draining:
		r.Step = Drained
	case Drained:
		l.endSuspension(r)
		r.Step = Restoring
	case Restoring:
		r.toNextServer()
	}
	r.Version = l.Version
	return Result{Text: r.String()}
}

func (l *ledger) beginDraining(r *Round) {
	if _, suspended := l.Suspensions[r.Server()]; suspended {
		r.toNextServer()
		return
	}
	l.addSuspension(r.Server(), Suspension{Round: r.ID, By: r.By})
	r.Step = Draining
}

// contents returns copies of the parts of the ledger that nodes and operators read.
func (l *ledger) contents() (version uint64, suspensions map[string]Suspension, rounds []Round) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.Rounds {
		rounds = append(rounds, *r)
	}
	return l.Version, maps.Clone(l.Suspensions), rounds
}

// Snapshot implements raft.FSM.
func (l *ledger) Snapshot() (raft.FSMSnapshot, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return raftlog.EncodeSnapshot(l)
}

// Restore implements raft.FSM.
func (l *ledger) Restore(snapshot io.ReadCloser) error {
	next := newLedger()
	if err := raftlog.DecodeSnapshot(snapshot, "rounds", next); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Version = next.Version
	l.Suspensions = next.Suspensions
	l.Rounds = next.Rounds
	l.NextRound = next.NextRound
	return nil
}
