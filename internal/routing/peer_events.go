package routing

import (
	"maps"
	"slices"
	"time"
)

// AttachSuccessor makes the Router answer the claims of a successor and report open calls to it, until EndPeer.
func (r *Router) AttachSuccessor(p PeerProcess) { r.post(successorEvent{p}) }

type successorEvent struct{ successor PeerProcess }

func (e successorEvent) handle(r *Router) {
	r.peers.successor = e.successor
	calls := append(r.calls.openInOtherProcesses(), r.calls.ended.openCalls(time.Now())...)
	for _, id := range slices.Sorted(maps.Keys(r.calls.byID)) {
		call := r.calls.byID[id]
		if call.admitted && call.ClientRequestID != "" {
			call.reported = true
			calls = append(calls, call.openCall())
		}
	}
	if len(calls) > 0 {
		e.successor.Opened(calls)
	}
}

// PredecessorAnswers makes the Router claim its calls from a predecessor of which it did not know that it answers.
func (r *Router) PredecessorAnswers(p PeerProcess) { r.post(predecessorEvent{p}) }

type predecessorEvent struct{ predecessor PeerProcess }

func (e predecessorEvent) handle(r *Router) {
	if r.peers.predecessor.Process == e.predecessor {
		r.peers.predecessor.AnswersClaims = true
		r.peers.responsive = true
	}
}

// HandleClaim handles a claim of the successor. The Router answers it with PeerProcess.AnswerClaim, unless its own
// predecessor does not answer in time.
func (r *Router) HandleClaim(from PeerProcess, number uint64, call OpenCall) {
	r.post(claimEvent{from, number, call})
}

type claimEvent struct {
	from   PeerProcess
	number uint64
	call   OpenCall
}

func (e claimEvent) handle(r *Router) {
	if r.calls.isTaken(e.call.ClientRequestID, time.Now()) {
		r.counters.ClaimsRefused.Add(1)
		e.from.AnswerClaim(e.number, false)
		return
	}
	r.calls.addOtherProcess(e.from, e.call)
	if r.peers.predecessor.Process == nil {
		e.from.AnswerClaim(e.number, true)
		return
	}
	r.claim(e.call, true, maxClaimTimeout, func(result claimResult) {
		if result == claimDenied {
			r.calls.removeOtherProcess(e.from, e.call.ClientRequestID)
		}
		if result != claimUnanswered {
			e.from.AnswerClaim(e.number, result == claimGranted)
		}
	})
}

// HandleClaimResult handles the predecessor's answer to a claim.
func (r *Router) HandleClaimResult(number uint64, granted bool) {
	r.post(claimResultEvent{number, granted})
}

type claimResultEvent struct {
	number  uint64
	granted bool
}

func (e claimResultEvent) handle(r *Router) {
	r.peers.responsive = r.peers.predecessor.AnswersClaims
	result := claimDenied
	if e.granted {
		result = claimGranted
	}
	r.resolveClaim(e.number, result)
}

// claimTimeoutEvent reports that the time limit for the answer to a claim has passed.
type claimTimeoutEvent struct{ number uint64 }

func (e claimTimeoutEvent) handle(r *Router) {
	if _, waiting := r.peers.claims[e.number]; !waiting {
		return
	}
	r.counters.ClaimsUnanswered.Add(1)
	if r.peers.responsive {
		r.log.Warn("predecessor does not answer", "calls", "those that must not run twice fail until it answers or ends")
	}
	r.peers.responsive = false
	r.resolveClaim(e.number, claimUnanswered)
}

// resolveClaim passes a result to a claim that waits for it.
func (r *Router) resolveClaim(number uint64, result claimResult) {
	pending := r.peers.claims[number]
	if pending == nil {
		return
	}
	delete(r.peers.claims, number)
	pending.timer.Stop()
	pending.resolve(result)
}

// HandleOpened records calls that another process has opened.
func (r *Router) HandleOpened(from PeerProcess, calls []OpenCall) { r.post(openedEvent{from, calls}) }

type openedEvent struct {
	from  PeerProcess
	calls []OpenCall
}

func (e openedEvent) handle(r *Router) {
	for _, call := range e.calls {
		if call.Ended {
			r.calls.removeOtherProcess(e.from, call.ClientRequestID)
			r.calls.ended.addReported(call.ClientRequestID, time.Now())
		} else {
			r.calls.addOtherProcess(e.from, call)
		}
		r.denyClaims(call.ClientRequestID)
	}
	if successor := r.peers.successor; successor != nil && successor != e.from {
		successor.Opened(e.calls)
	}
	if predecessor := r.peers.predecessor; predecessor.AnswersClaims && predecessor.Process != e.from {
		predecessor.Process.Opened(e.calls)
	}
}

// denyClaims denies the claims that wait for a call which the predecessor has reported. The call may end before the
// claims are answered, and the predecessor with it.
func (r *Router) denyClaims(clientRequestID string) {
	for _, number := range slices.Sorted(maps.Keys(r.peers.claims)) {
		if r.peers.claims[number].clientRequestID == clientRequestID {
			r.resolveClaim(number, claimDenied)
		}
	}
}

// HandleClosed removes a call that another process has claimed or reported as opened, and has ended.
func (r *Router) HandleClosed(from PeerProcess, clientRequestID string) {
	r.post(closedEvent{from, clientRequestID})
}

type closedEvent struct {
	from            PeerProcess
	clientRequestID string
}

func (e closedEvent) handle(r *Router) {
	if !r.calls.removeOtherProcess(e.from, e.clientRequestID) {
		return
	}
	switch e.from {
	case r.peers.successor:
		if r.peers.predecessor.AnswersClaims {
			r.peers.predecessor.Process.Closed(e.clientRequestID)
		}
	case r.peers.predecessor.Process:
		if r.peers.successor != nil {
			r.peers.successor.Closed(e.clientRequestID)
		}
	}
}

// EndPeer handles the end of another process. Those of its open calls that must not run twice may still run at their
// servers, and so count as open until they expire; the others may run again. After the end of the predecessor this
// process decides on all claims, also on those that wait.
func (r *Router) EndPeer(p PeerProcess) { r.post(peerEndedEvent{p}) }

type peerEndedEvent struct{ process PeerProcess }

func (e peerEndedEvent) handle(r *Router) {
	for _, id := range r.calls.repeatableIn(e.process) {
		closedEvent{e.process, id}.handle(r)
	}
	switch e.process {
	case r.peers.successor:
		r.peers.successor = nil
	case r.peers.predecessor.Process:
		r.peers.predecessor = Predecessor{}
		r.peers.responsive = false
		for _, number := range slices.Sorted(maps.Keys(r.peers.claims)) {
			result := claimGranted
			if r.reportedByOther(r.peers.claims[number]) {
				result = claimDenied
			}
			r.resolveClaim(number, result)
		}
	}
	r.scheduleExpiry()
}

// reportedByOther reports whether the call of a claim is open in another process than the one that claims it.
func (r *Router) reportedByOther(claim *pendingClaim) bool {
	other, open := r.calls.inOtherProcess[claim.clientRequestID]
	ownClaim := claim.fromSuccessor && other.process == r.peers.successor
	return open && !ownClaim && time.Now().Before(other.ExpiresAt)
}

// expiryInterval is the interval at which expired calls of ended processes are removed.
const expiryInterval = time.Second

// expiryEvent removes expired calls of other processes.
type expiryEvent struct{}

func (expiryEvent) handle(r *Router) { r.scheduleExpiry() }

// scheduleExpiry removes expired calls of other processes, now and at intervals while any are left and no other process
// runs.
func (r *Router) scheduleExpiry() {
	r.calls.removeExpired(time.Now())
	if len(r.calls.inOtherProcess) > 0 && r.peers.successor == nil && r.peers.predecessor.Process == nil {
		time.AfterFunc(expiryInterval, func() { r.post(expiryEvent{}) })
	}
}
