package routing

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"olivebridge/balancer"
)

// maxUploadTime is the maximum duration for which the body of a streamed call may be received. It allows 32 MB at
// slightly more than 16 kB per second.
const maxUploadTime = 32 * time.Minute

// openCall is a call that Handle has received, with the state that the call table keeps of it. Its fields belong to the
// event loop unless their comments say otherwise.
type openCall struct {
	Call                      // immutable
	id     balancer.RequestID // immutable once the call is in the table
	answer Answer             // written once before waiter is signalled, then read by the front end
	waiter *answerWaiter      // used by the front end to wait for the answer
	// answered is set once the call has an answer or its client no longer waits for one.
	answered bool
	done     atomic.Bool // same meaning as answered, read by the Transport
	deadline balancer.Time
	// bodyReceivedAt is the time from which the timeout of a streamed call counts; zero: not yet known, or not streamed.
	bodyReceivedAt time.Time
	// bodyDeadline is the timer that ends the attempts of a streamed call; nil until bodyReceivedAt is set.
	bodyDeadline *time.Timer
	class        *balancer.Class // from the settings at admission; nil if Call.Class is out of range
	attempts     []*runningAttempt
	inFlight     int // number of attempts without an outcome
	// admitted is set once the Balancer has the call; before, its claim may wait for an answer.
	admitted bool
	// claimed is set while the predecessor counts the call as open in this process, reported while the successor does.
	claimed  bool
	reported bool
	// firstAttempt and attemptsArray avoid allocations, since most calls make at most two attempts.
	firstAttempt  runningAttempt
	attemptsArray [2]*runningAttempt
}

// endsAt returns the time at which the timeout of the call ends, as far as it is known.
func (c *openCall) endsAt() time.Time {
	if !c.bodyReceivedAt.IsZero() {
		return c.bodyReceivedAt.Add(c.Timeout)
	}
	return c.ReceivedAt.Add(c.maxDuration())
}

// maxDuration returns the maximum duration from ReceivedAt to the end of the call.
func (c *openCall) maxDuration() time.Duration {
	if c.StreamsBody {
		return c.Timeout + maxUploadTime
	}
	return c.Timeout
}

// mayHaveRun reports whether a server may have run the call.
func (c *openCall) mayHaveRun() bool {
	return slices.ContainsFunc(c.attempts, func(a *runningAttempt) bool {
		return !a.finished || !a.result.Result.NeverRan()
	})
}

// finish records that the call no longer needs an answer.
func (c *openCall) finish() {
	c.answered = true
	c.done.Store(true)
	if c.bodyDeadline != nil {
		c.bodyDeadline.Stop()
	}
}

// deliver stores the answer and wakes the front end's goroutine.
func (c *openCall) deliver(answer Answer) {
	c.answer = answer
	c.waiter.answered <- struct{}{}
}

// callTable holds the open calls: calls without an answer and calls with attempts in flight. It belongs to the event
// loop.
type callTable struct {
	byID             map[balancer.RequestID]*openCall
	clientRequestIDs map[string]struct{}
	lastID           balancer.RequestID
	ended            endedCalls
	otherProcessCalls
}

func newCallTable(maxEndedCallBytes int64) callTable {
	return callTable{
		byID:              map[balancer.RequestID]*openCall{},
		clientRequestIDs:  map[string]struct{}{},
		ended:             newEndedCalls(maxEndedCallBytes),
		otherProcessCalls: newOtherProcessCalls(),
	}
}

// isTaken reports whether another call must not run with this client request id: a call with it is open or, if that
// must not run twice, may have run. It covers other processes of the node as far as this one knows their calls. The
// empty id is never taken.
func (t *callTable) isTaken(clientRequestID string, now time.Time) bool {
	if clientRequestID == "" {
		return false
	}
	_, open := t.clientRequestIDs[clientRequestID]
	return open || t.ended.contains(clientRequestID, now) || t.isOpenElsewhere(clientRequestID)
}

// add assigns the next id to a call and inserts the call into the table.
func (t *callTable) add(call *openCall) {
	t.clientRequestIDs[call.ClientRequestID] = struct{}{}
	t.lastID++
	call.id = t.lastID
	t.byID[call.id] = call
}

// removeIfDone removes a call that has been answered and has no attempt in flight. It reports whether it removed the
// call.
func (t *callTable) removeIfDone(call *openCall) bool {
	if !call.answered || call.inFlight > 0 || t.byID[call.id] != call {
		return false
	}
	delete(t.byID, call.id)
	delete(t.clientRequestIDs, call.ClientRequestID)
	return true
}

// attemptsInFlight returns the number of attempts in flight, over all calls, for which match returns true.
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

// cancelAll cancels the attempts of all calls in ascending order of call ids.
func (t *callTable) cancelAll(cause error) {
	for _, id := range slices.Sorted(maps.Keys(t.byID)) {
		for _, attempt := range t.byID[id].attempts {
			attempt.cancel(cause)
		}
	}
}
