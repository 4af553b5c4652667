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

// maxOutcomeBytes is the limit on the total size of all stored bodies, in bytes. Every voter keeps the bodies in
// memory. An outcome whose body would exceed the limit is stored without the body.
const maxOutcomeBytes = 32 << 20

// entry is the ledger's entry for one call.
type entry struct {
	Fingerprint string   `json:"print"`
	Owner       Owner    `json:"owner"`
	State       State    `json:"state"`
	Idempotent  bool     `json:"again,omitempty"`
	Owners      int      `json:"tries"`   // number of owners that may have sent the call
	ChangedAt   int64    `json:"changed"` // time of the last change by the ledger's clock, in milliseconds
	Outcome     *Outcome `json:"outcome,omitempty"`

	key       string
	heapIndex int // index in the expiryQueue; unused while the call is running
}

// bodySize returns the size of the outcome's body in bytes, 0 without an outcome.
func (e *entry) bodySize() int {
	if e.Outcome == nil {
		return 0
	}
	return len(e.Outcome.Body)
}

// ledger is the replicated state machine. It implements raft.FSM.
type ledger struct {
	mu      sync.Mutex
	Clock   int64             `json:"clock"`  // time of the last command in milliseconds; never decreases
	Entries map[string]*entry `json:"pieces"` // by idempotency key

	index        entryIndex
	outcomeBytes int // total size of all stored bodies
}

func newLedger() *ledger {
	return &ledger{Entries: map[string]*entry{}, index: newEntryIndex()}
}

// Apply implements raft.FSM. It returns a BeginResult for a BeginRequest, a bool for an EndRequest that reports whether
// it was accepted, the number of released calls as an int for a ReleaseRequest, or an error.
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

// begin grants permission to send a call to the first owner that requests it while the call is new or free.
func (l *ledger) begin(request BeginRequest, limits Limits) BeginResult {
	e := l.Entries[request.Key]
	switch {
	case e == nil && len(l.Entries) >= limits.MaxEntries:
		return BeginResult{StoreFull: true}
	case e == nil:
		e = &entry{Fingerprint: request.Fingerprint, Idempotent: request.Idempotent, key: request.Key}
	case e.Fingerprint != request.Fingerprint:
		return BeginResult{KeyConflict: true}
	case e.Owner == request.Owner && e.State == Running: // a retry after the response was lost
		return BeginResult{Granted: true}
	case e.State == Running && mutant.Active("claim-without-look"):
	case e.State != Free || e.Owner == request.Owner: // a free call of this owner: its report of Free arrived first
		return BeginResult{State: e.State, Owner: e.Owner, Outcome: e.Outcome}
	case e.Owners >= max(request.MaxOwners, 1):
		return BeginResult{OwnersExhausted: true}
	}
	e.Idempotent = request.Idempotent // a reload may have changed the class since the last owner
	e.Owners++
	l.update(e, request.Owner, Running)
	return BeginResult{Granted: true}
}

// end applies an owner's report on its call, and reports whether it was accepted. A report from an owner whose process
// has been released, whether an outcome or that the call did not run, is accepted as long as no other owner has been
// granted the call. A report of Free is also stored if the owner's BeginRequest has not arrived yet: begin then rejects
// that request when it arrives.
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
	if request.State == Free { // the call was not sent, so this owner does not count towards MaxOwners
		e.Owners--
	}
	l.storeOutcome(e, request.Outcome)
	l.update(e, e.Owner, request.State)
	if mutant.Active("outcome-forgotten") {
		l.expire(Limits{Retention: -time.Millisecond})
	}
	return true
}

// endUnsent stores a report of Free for a call that is already free, or for a new call if the report has a fingerprint
// and the ledger has room. It returns false in all other cases.
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

// storeOutcome stores an outcome, which may be nil. It omits the body if that would exceed maxOutcomeBytes.
func (l *ledger) storeOutcome(e *entry, outcome *Outcome) {
	if outcome != nil && l.outcomeBytes+len(outcome.Body) > maxOutcomeBytes {
		outcome = &Outcome{Status: outcome.Status, BodyOmitted: true}
	}
	e.Outcome = outcome
	l.outcomeBytes += e.bodySize()
}

// release releases the running calls of failed processes and returns the number of these calls. A call that is not
// idempotent becomes Unknown, because it may have run. An idempotent call becomes Free and loses its owner, so that a
// late outcome from that owner is rejected.
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

// update sets the owner and state of an entry, adds the entry if it is new, and updates the index.
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

// expire deletes the entries that have not changed for limits.Retention. A running call never expires.
func (l *ledger) expire(limits Limits) {
	cutoff := l.Clock - limits.Retention.Milliseconds()
	for {
		e := l.index.popChangedBefore(cutoff)
		if e == nil {
			return
		}
		l.outcomeBytes -= e.bodySize()
		delete(l.Entries, e.key)
	}
}

// owningProcesses returns the processes that own running calls, in no particular order.
func (l *ledger) owningProcesses() []process {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []process
	for owner := range l.index.running {
		all = append(all, owner)
	}
	return all
}

// now returns the ledger's clock in milliseconds.
func (l *ledger) now() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Clock
}

// countByState returns the number of calls in each state.
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
