package balancer

import "time"

// Host carries out the actions that a Balancer decides on. The Balancer calls Host from within its
// own methods, on the caller's goroutine. A Host must not call the Balancer from these methods and
// must not block.
type Host interface {
	// Send starts the next attempt of a request; the attempts of a request are numbered from 0. The
	// host abandons the attempt at the client's deadline and reports its end to HandleOutcome exactly
	// once. The host calls MayBegin before the first byte leaves if validUntil is not 0 and has been
	// reached, and in any case if the server has restarted since Send. An attempt that MayBegin
	// refuses ends with NotSent.
	Send(id RequestID, to ServerID, validUntil Time)
	// Cancel asks the host to stop waiting for the numbered attempt. The host still reports its
	// outcome.
	Cancel(id RequestID, attempt int)
	// Reject gives a request its final answer, a rejection. The rejection promises the client that
	// the request had no effect and that a retry is safe, preferably after retryAfter; 0 means no
	// advice.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail gives a request its final answer, a failure: the request may have run.
	Fail(id RequestID)
	// CheckHealth sends one active health check. The host passes the result to HandleHealthCheck.
	CheckHealth(to ServerID)
	// Watch asks discovery for all changes that the node has missed and for all later ones. The host
	// passes them to HandleServers.
	Watch()
	// SetTimer asks the host to call HandleTimer with the same timer after delay.
	SetTimer(delay time.Duration, timer uint64)
	// Log writes one log line for operators.
	Log(line string)
}
