package callstore

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"olivebridge/internal/fleet/mutant"
	"olivebridge/internal/fleet/raftlog"
)

// maxOutcomeBytes bounds the bodies of all outcomes together, which every voter has in memory. Beyond it outcomes are
// stored without a body.
const maxOutcomeBytes = 32 << 20

// entry is what the ledger stores of a call.
type entry struct {
	Fingerprint string   `json:"print"`
	Owner       Owner    `json:"owner"`
	State       State    `json:"state"`
	Idempotent  bool     `json:"again,omitempty"`
	Owners      int      `json:"tries"`   // that may have sent the call
	ChangedAt   int64    `json:"changed"` // by the ledger's clock
	Outcome     *Outcome `json:"outcome,omitempty"`

	key       string
	heapIndex int // in the expiry queue, unless it runs
}

// bodySize is the size of the outcome's body.
func (e *entry) bodySize() int {
	if e.Outcome == nil {
		return 0
	}
	return len(e.Outcome.Body)
}

// ledger is the replicated state machine. It implements raft.FSM.
type ledger struct {
	mu      sync.Mutex
	Clock   int64             `json:"clock"` // milliseconds; it never runs backwards
	Entries map[string]*entry `json:"pieces"`

	index        entryIndex
	outcomeBytes int // of all outcomes' bodies
}

func newLedger() *ledger {
	return &ledger{Entries: map[string]*entry{}, index: newEntryIndex()}
}

// Apply implements raft.FSM. It returns a BeginResult for a begin, whether it was accepted (bool) for an end, the
// number of released calls (int) for a release, or an error.
func (l *ledger) Apply(logged *raft.Log) any {
	var c command
	err := json.Unmarshal(logged.Data, &c)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Clock = max(l.Clock, c.Now)
	if err != nil {
		return raftlog.MalformedEntry(logged, err)
	}
	l.expire(c.Limits)
	switch {
	case c.Begin != nil && c.Begin.Key != "":
		return l.begin(*c.Begin, c.Limits)
	case c.End != nil:
		return l.end(*c.End, c.Limits)
	case c.Release != nil:
		return l.release(*c.Release)
	}
	return raftlog.MalformedEntry(logged, nil)
}

// begin grants the permission to send a call once: to whoever asks first for a call that is new or free.
func (l *ledger) begin(request BeginRequest, limits Limits) BeginResult {
	e := l.Entries[request.Key]
	switch {
	case e == nil && len(l.Entries) >= limits.MaxEntries:
		return BeginResult{StoreFull: true}
	case e == nil:
		e = &entry{Fingerprint: request.Fingerprint, Idempotent: request.Idempotent, key: request.Key}
	case e.Fingerprint != request.Fingerprint:
		return BeginResult{KeyConflict: true}
	case e.Owner == request.Owner && e.State == Running: // repeated, since the response was lost
		return BeginResult{Granted: true}
	case e.State == Running && mutant.Active("claim-without-look"):
	case e.State != Free || e.Owner == request.Owner: // its owner gave it up before the request came here
		return BeginResult{State: e.State, Owner: e.Owner, Outcome: e.Outcome}
	case e.Owners >= max(request.MaxOwners, 1):
		return BeginResult{OwnersExhausted: true}
	}
	e.Owners++
	l.update(e, request.Owner, Running)
	return BeginResult{Granted: true}
}

// end takes what an owner says of its call, and reports whether it was accepted. A report that comes after the owner
// was given up is accepted as long as nobody else has had the call: an outcome, or that it did not run. A BeginRequest
// that was given up before it came here finds that when it comes.
func (l *ledger) end(request EndRequest, limits Limits) bool {
	e := l.Entries[request.Key]
	if request.State == Free && l.endUnsent(e, request, limits) {
		return true
	}
	if e == nil || e.Owner != request.Owner {
		return false
	}
	if e.State != Running && e.State != Unknown {
		return e.State == request.State
	}
	if request.State == Free { // it did not run: that owner does not count
		e.Owners--
	}
	l.storeOutcome(e, request.Outcome)
	l.update(e, e.Owner, request.State)
	if mutant.Active("outcome-forgotten") {
		l.expire(Limits{Retention: -time.Millisecond})
	}
	return true
}

// endUnsent frees a call that is free already, or that the ledger does not know; false if it is neither.
func (l *ledger) endUnsent(e *entry, request EndRequest, limits Limits) bool {
	switch {
	case e != nil && e.State == Free:
	case e == nil && request.Fingerprint != "" && len(l.Entries) < limits.MaxEntries:
		e = &entry{Fingerprint: request.Fingerprint, key: request.Key}
	default:
		return false
	}
	l.update(e, request.Owner, Free)
	return true
}

// storeOutcome stores an outcome, which may be nil, without its body if there is no room for that.
func (l *ledger) storeOutcome(e *entry, outcome *Outcome) {
	if outcome != nil && l.outcomeBytes+len(outcome.Body) > maxOutcomeBytes {
		outcome = &Outcome{Status: outcome.Status, BodyOmitted: true}
	}
	e.Outcome = outcome
	l.outcomeBytes += e.bodySize()
}

// release takes their calls from failed processes, and returns how many. A call that may have run and is not idempotent
// becomes unknown. An idempotent one loses its owner: if that returns, its report is not accepted any more.
func (l *ledger) release(request ReleaseRequest) (released int) {
	for _, failed := range request.Processes {
		for e := range l.index.running[failed] {
			owner, state := e.Owner, Unknown
			if e.Idempotent || mutant.Active("unknown-sent-again") {
				owner, state = Owner{}, Free
			}
			l.update(e, owner, state)
			released++
		}
	}
	return released
}

// update changes owner and state of an entry, which may be new, and keeps the index.
func (l *ledger) update(e *entry, owner Owner, state State) {
	if l.Entries[e.key] == e {
		l.index.remove(e)
	}
	e.Owner = owner
	e.State = state
	e.ChangedAt = l.Clock
	l.Entries[e.key] = e
	l.index.add(e)
}

// expire drops what did not change for the retention. A call that runs never expires.
func (l *ledger) expire(limits Limits) {
	oldest := l.Clock - limits.Retention.Milliseconds()
	for {
		e := l.index.popOlderThan(oldest)
		if e == nil {
			return
		}
		l.outcomeBytes -= e.bodySize()
		delete(l.Entries, e.key)
	}
}

// owners are the processes that have calls running.
func (l *ledger) owners() []process {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []process
	for owner := range l.index.running {
		all = append(all, owner)
	}
	return all
}

// now is the ledger's clock.
func (l *ledger) now() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Clock
}

// countByState is how many calls are in each state.
func (l *ledger) countByState() map[State]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[State]int{}
	for _, e := range l.Entries {
		counts[e.State]++
	}
	return counts
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
	if err := raftlog.DecodeSnapshot(snapshot, "work", next); err != nil {
		return err
	}
	for key, e := range next.Entries {
		e.key = key
		next.outcomeBytes += e.bodySize()
		next.index.add(e)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Clock = next.Clock
	l.Entries = next.Entries
	l.index = next.index
	l.outcomeBytes = next.outcomeBytes
	return nil
}
