package routing

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"olivebridge/balancer"
)

// maxUploadTime is the longest that a streamed body may take to come: 32 MB at a little over 16 kB a second.
const maxUploadTime = 32 * time.Minute

// openCall is a call in the table. Its fields belong to the goroutine of Run, but for those that say otherwise.
type openCall struct {
	Call                      // never changes
	id     balancer.RequestID // never changes once the call is in the table
	answer Answer             // written once, before waiter is signalled; then read by the front end
	waiter *answerWaiter      // of the front end
	// answered: the answer is given, or nobody waits for one.
	answered bool
	done     atomic.Bool // the same, for the Transport
	deadline balancer.Time
	class    *balancer.Class // as the settings had it when the call came; nil: there is no such class
	attempts []*runningAttempt
	inFlight int // attempts whose outcome is not known
	// firstAttempt and attemptsArray save allocations: most calls have no more than two attempts.
	firstAttempt  runningAttempt
	attemptsArray [2]*runningAttempt
}

// maxDuration is how long after ReceivedAt the call is over at the latest.
func (c *openCall) maxDuration() time.Duration {
	if c.StreamsBody {
		return c.Timeout + maxUploadTime
	}
	return c.Timeout
}

// finish notes that the call needs no answer any more.
func (c *openCall) finish() {
	c.answered = true
	c.done.Store(true)
}

// deliver lets the front end go on with an answer.
func (c *openCall) deliver(answer Answer) {
	c.answer = answer
	c.waiter.answered <- struct{}{}
}

// callTable holds the open calls: those that wait for their answer, and those with attempts in flight. It belongs to
// the goroutine of Run.
type callTable struct {
	byID             map[balancer.RequestID]*openCall
	clientRequestIDs map[string]struct{}
	lastID           balancer.RequestID
}

func newCallTable() callTable {
	return callTable{
		byID:             map[balancer.RequestID]*openCall{},
		clientRequestIDs: map[string]struct{}{},
	}
}

// isDuplicate reports whether a call with the same client request id is open.
func (t *callTable) isDuplicate(call *openCall) bool {
	_, open := t.clientRequestIDs[call.ClientRequestID]
	return open && call.ClientRequestID != ""
}

// add enters a call and numbers it.
func (t *callTable) add(call *openCall) {
	t.clientRequestIDs[call.ClientRequestID] = struct{}{}
	t.lastID++
	call.id = t.lastID
	t.byID[call.id] = call
}

// removeIfDone drops a call that is answered and has no attempt in flight.
func (t *callTable) removeIfDone(call *openCall) {
	if call.answered && call.inFlight == 0 && t.byID[call.id] == call {
		delete(t.byID, call.id)
		delete(t.clientRequestIDs, call.ClientRequestID)
	}
}

// attemptsInFlight counts the attempts in flight of all calls for which match holds.
func (t *callTable) attemptsInFlight(match func(*runningAttempt) bool) int {
	count := 0
	for _, call := range t.byID {
		for _, attempt := range call.attempts {
			if !attempt.finished && match(attempt) {
				count++
			}
		}
	}
	return count
}

// cancelAll ends the attempts of all calls, in the order of the calls.
func (t *callTable) cancelAll(cause error) {
	for _, id := range slices.Sorted(maps.Keys(t.byID)) {
		for _, attempt := range t.byID[id].attempts {
			attempt.cancel(cause)
		}
	}
}
