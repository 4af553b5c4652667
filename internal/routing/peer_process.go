package routing

import (
	"time"

	"olivebridge/balancer"
)

const (
	// claimTimeoutDivisor is the divisor of a call's timeout that gives the time limit for the answer to its claim.
	claimTimeoutDivisor = 4
	// maxClaimTimeout is the longest time limit for the answer to a claim.
	maxClaimTimeout = 400 * time.Millisecond
)

// OpenCall is a call that is open in a process of the node.
type OpenCall struct {
	ClientRequestID string
	// ExpiresAt is the time at which the call has certainly ended, also if its end is never reported.
	ExpiresAt time.Time
	// Repeatable reports whether the call may run more than once.
	Repeatable bool
	// Ended reports whether the call has ended. It may have run, and must not run again until ExpiresAt.
	Ended bool
}

// PeerProcess is another process of this node, which exists during an upgrade: the predecessor or the successor of this
// process. Values must be comparable. The event loop calls the methods, which must not block; a message may be lost.
//
// The predecessor decides which calls may be opened, since each process alone knows only its own. It knows all open
// calls of the node: a process claims each call from its predecessor before it sends the first attempt. In the other
// direction a process reports the calls that it has opened, so that its successor still knows them if it dies.
type PeerProcess interface {
	// Claim asks the predecessor whether a call may be opened. It calls AnswerClaim with the same number.
	Claim(number uint64, call OpenCall)
	// AnswerClaim answers the successor's claim with this number.
	AnswerClaim(number uint64, granted bool)
	// Opened reports calls that have been opened, or that have ended and must not run again until they expire.
	Opened(calls []OpenCall)
	// Closed reports the end of a call that was claimed or reported as opened.
	Closed(clientRequestID string)
}

// Predecessor is the process of this node from which this process takes over.
type Predecessor struct {
	// Process is the predecessor; nil: there is none.
	Process PeerProcess
	// AnswersClaims reports whether the predecessor answers claims. One of an earlier build does not.
	AnswersClaims bool
}

// peerProcesses is the state of a Router that concerns the other processes of the node. It belongs to the event loop.
type peerProcesses struct {
	predecessor Predecessor
	successor   PeerProcess // nil: there is none
	// responsive reports whether the predecessor has answered the last claims in time.
	responsive bool
	claims     map[uint64]*pendingClaim // claims without an answer, by number
	lastClaim  uint64                   // number of the latest claim; 0: there was none
}

func newPeerProcesses(predecessor Predecessor) peerProcesses {
	return peerProcesses{
		predecessor: predecessor,
		responsive:  predecessor.AnswersClaims,
		claims:      map[uint64]*pendingClaim{},
	}
}

// claimResult is the result of a claim.
type claimResult uint8

const (
	claimGranted    claimResult = iota
	claimDenied                 // a call with the same id is open in another process
	claimUnanswered             // the predecessor did not answer in time
)

// pendingClaim is a claim that this process has sent to its predecessor, for a call of its own or of its successor.
type pendingClaim struct {
	number          uint64
	clientRequestID string
	fromSuccessor   bool
	timer           *time.Timer
	resolve         func(claimResult) // called once, unless the call has ended before
}

// openCall returns the call as it is reported to other processes.
func (c *openCall) openCall() OpenCall {
	return OpenCall{
		ClientRequestID: c.ClientRequestID,
		ExpiresAt:       c.ReceivedAt.Add(c.maxDuration() + watchdogDelay),
		Repeatable:      c.repeatable(),
	}
}

// claim asks the predecessor whether a call may be opened. resolve is called on the event loop with the result, after
// at most timeout.
func (r *Router) claim(call OpenCall, fromSuccessor bool, timeout time.Duration, resolve func(claimResult)) {
	p := &r.peers
	p.lastClaim++
	pending := &pendingClaim{
		number:          p.lastClaim,
		clientRequestID: call.ClientRequestID,
		fromSuccessor:   fromSuccessor,
		resolve:         resolve,
	}
	p.claims[pending.number] = pending
	if p.predecessor.AnswersClaims {
		p.predecessor.Process.Claim(pending.number, call)
	}
	pending.timer = time.AfterFunc(timeout, func() { r.post(claimTimeoutEvent{pending.number}) })
}

// claimLocalCall claims a call of this process, and admits or answers it once the claim has a result. It does not wait
// for a predecessor that answers no claims, since the end of that process says nothing about its earlier calls.
func (r *Router) claimLocalCall(call *openCall) {
	r.counters.Claims.Add(1)
	if !r.peers.predecessor.AnswersClaims || !r.peers.responsive && call.repeatable() {
		r.counters.ClaimsUnanswered.Add(1)
		r.resolveLocalClaim(call, claimUnanswered)
		return
	}
	call.claimed = true
	timeout := min(call.Timeout/claimTimeoutDivisor, maxClaimTimeout)
	r.claim(call.openCall(), false, timeout, func(result claimResult) { r.resolveLocalClaim(call, result) })
}

// resolveLocalClaim admits a call or answers it with an error. A call whose claim has no answer may be a duplicate of
// one that runs in the predecessor: it is admitted only if it may run twice. Otherwise its verdict is Failed and not
// Rejected, since a call with its id may run.
func (r *Router) resolveLocalClaim(call *openCall, result claimResult) {
	switch {
	case call.answered: // the client has disconnected
	case result == claimDenied:
		r.counters.ClaimsDenied.Add(1)
		call.claimed = false
		r.respond(call, Answer{Verdict: Duplicate})
		r.removeIfDone(call)
	case result == claimGranted, call.repeatable():
		r.admit(call)
	default:
		r.respond(call, Answer{Verdict: Failed, NeverSent: true})
		r.removeIfDone(call)
	}
}

// repeatable reports whether the call may run more than once.
func (c *openCall) repeatable() bool {
	return c.class != nil && c.class.Idempotency == balancer.Idempotent
}

// reportOpened reports an admitted call to the successor.
func (r *Router) reportOpened(call *openCall) {
	if r.peers.successor != nil && call.ClientRequestID != "" {
		call.reported = true
		r.peers.successor.Opened([]OpenCall{call.openCall()})
	}
}

// removeIfDone removes a call that has been answered and has no attempt in flight, and reports its end to the processes
// that know of the call.
func (r *Router) removeIfDone(call *openCall) {
	if !r.calls.removeIfDone(call) {
		return
	}
	now := time.Now()
	mustNotRunAgain := call.ClientRequestID != "" && !call.repeatable() && call.mayHaveRun()
	if mustNotRunAgain {
		r.calls.ended.add(call.ClientRequestID, now)
	}
	if call.claimed && r.peers.predecessor.Process != nil {
		reportEnded(r.peers.predecessor.Process, call, mustNotRunAgain, now)
	}
	if call.reported && r.peers.successor != nil {
		reportEnded(r.peers.successor, call, mustNotRunAgain, now)
	}
}

// reportEnded reports the end of a call to a process that knows of the call. One that must not run again is reported as
// opened for as long as it is remembered, which processes of earlier builds understand, too.
func reportEnded(process PeerProcess, call *openCall, mustNotRunAgain bool, now time.Time) {
	if mustNotRunAgain {
		process.Opened([]OpenCall{endedCall{call.ClientRequestID, now}.openCall()})
		return
	}
	process.Closed(call.ClientRequestID)
}

// stopClaims stops the timers of pending claims when Run returns.
func (r *Router) stopClaims() {
	for _, pending := range r.peers.claims {
		pending.timer.Stop()
	}
}
