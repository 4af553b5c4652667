package rules

import (
	"slices"
	"time"
)

// call records the requests and attempts with one call ID at one node.
type call struct {
	id       string
	node     *node
	requests []*request // from clients
	attempts []*attempt // that the node wrote completely
	bodies   []digest   // bodies of answers with status 200 that have reached the node
	expiring bool       // it is queued in Judge.expiring
}

// hasBody reports whether a peer sent this body with status 200 for the call.
// The receiver may be nil.
func (k *call) hasBody(body digest) bool { return k != nil && slices.Contains(k.bodies, body) }

// attemptsOf returns the number of attempts of a request. Where several requests have the same ID, these are the
// attempts that began after the request was sent completely.
func (k *call) attemptsOf(r *request) int {
	if len(k.requests) == 1 {
		return len(k.attempts)
	}
	count := 0
	for _, a := range k.attempts {
		if a.begunAt >= r.acceptedAt {
			count++
		}
	}
	return count
}

// mayRun returns an attempt other than the given one that has run or may still
// run, or nil if there is none.
func (k *call) mayRun(other *attempt) *attempt {
	for _, a := range k.attempts {
		if a != other && !a.neverRan {
			return a
		}
	}
	return nil
}

// truncated reports whether a peer's answer to an attempt was truncated. The
// receiver may be nil.
func (k *call) truncated() bool {
	return k != nil && slices.ContainsFunc(k.attempts, func(a *attempt) bool { return a.truncated })
}

// answersInParts records that a peer is about to send the answer to an attempt in parts.
func (k *call) answersInParts(peer string) {
	for _, a := range k.attempts {
		if a.conn.name == peer && !a.finished && !a.inParts {
			a.inParts = true
			a.answerStart = a.conn.backward.sent
		}
	}
}

// isAnswering reports whether an answer in parts to any attempt has been arriving at the node for a duration. The
// receiver may be nil.
func (k *call) isAnswering(now, duration time.Duration) bool {
	return k != nil && slices.ContainsFunc(k.attempts, func(a *attempt) bool { return a.isAnswering(now, duration) })
}

// busy reports whether any request or attempt of the call is still open.
func (k *call) busy() bool {
	return slices.ContainsFunc(k.requests, func(r *request) bool { return !r.settled || r.isArriving() }) ||
		slices.ContainsFunc(k.attempts, (*attempt).inFlight)
}

// dropCall removes a call and its attempts from the judge's state.
func (j *Judge) dropCall(k *call) {
	if k.node.calls[k.id] == k {
		delete(k.node.calls, k.id)
	}
	rest := slices.DeleteFunc(j.sentAttempts[k.id], func(a *attempt) bool { return a.call == k })
	j.sentAttempts[k.id] = rest
	if len(rest) == 0 {
		delete(j.sentAttempts, k.id)
	}
}
