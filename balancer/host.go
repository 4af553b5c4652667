package balancer

import "time"

// Host carries out what a Balancer decides. The Balancer calls it from within
// its own methods, on the caller's goroutine; a Host must not call back into the
// Balancer, and must not block.
type Host interface {
	// Send starts the next attempt of a request; attempts of a request count
	// from 0. The host abandons the attempt at the client's deadline and reports
	// its end by HandleOutcome, exactly once. Where validUntil is not 0, the host
	// asks MayBegin if the first byte would leave then or later, and in any case
	// if the server has restarted since; an attempt that may not begin ends as
	// NotSent.
	Send(id RequestID, to ServerID, validUntil Time)
	// Cancel asks to stop waiting for the numbered attempt. Its outcome is still
	// reported.
	Cancel(id RequestID, attempt int)
	// Reject answers a request finally: it had no effect, and trying again is
	// harmless, best after retryAfter (0: no advice).
	Reject(id RequestID, retryAfter time.Duration)
	// Fail answers a request finally and promises nothing: it may have run.
	Fail(id RequestID)
	// CheckHealth sends one active health check; the result comes by
	// HandleHealthCheck.
	CheckHealth(to ServerID)
	// Watch asks discovery for the changes missed and all further ones; they come
	// by HandleServers.
	Watch()
	// SetTimer asks for a call of HandleTimer with the same timer after delay.
	SetTimer(delay time.Duration, timer uint64)
	// Log adds a line for the operators.
	Log(line string)
}
