package rules

import "slices"

// call is everything that a node does for one call ID.
type call struct {
	id       string
	node     *node
	requests []*request // that clients sent
	attempts []*attempt // written completely
	bodies   []digest   // that peers sent with status 200, and that reached the node
	rejected bool       // it was answered with 429 or 503, and must not run any more
	expiring bool       // it stands among those to be forgotten
}

// hasBody reports whether a peer sent this body for the call. It may be called
// on nil.
func (k *call) hasBody(body digest) bool { return k != nil && slices.Contains(k.bodies, body) }

// mayRun returns an attempt other than the given one that has run or may run;
// nil: there is none.
func (k *call) mayRun(other *attempt) *attempt {
	for _, a := range k.attempts {
		if a != other && !a.neverRan {
			return a
		}
	}
	return nil
}

// truncated reports whether an answer of a peer broke off. It may be called on
// nil.
func (k *call) truncated() bool {
	return k != nil && slices.ContainsFunc(k.attempts, func(a *attempt) bool { return a.truncated })
}

// busy reports whether any request or attempt of a call is still open.
func (k *call) busy() bool {
	return slices.ContainsFunc(k.requests, func(r *request) bool { return !r.settled }) ||
		slices.ContainsFunc(k.attempts, (*attempt).inFlight)
}

// dropCall forgets a call.
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
