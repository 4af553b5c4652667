package balancer

import "slices"

// mayRepeat reports whether the numbered attempt of a request may go to server s without the risk
// of a second effect. Every earlier attempt that is outstanding or may have run restricts the
// choice.
func (b *Balancer) mayRepeat(r *request, s *server, attempt int) bool {
	for i := range attempt {
		earlier := &r.attempts[i]
		if earlier.server == s {
			return false
		}
		if earlier.neverRan {
			continue
		}
		if earlier.outstanding && !b.settings.Hedging {
			return false
		}
		if !b.repeatAllowed(r, earlier, s) {
			return false
		}
	}
	return true
}

// repeatAllowed reports whether server s may receive a request that an earlier attempt may have
// run. The idempotency of the class at arrival applies, but a deduplication window that
// UpdateSettings has shortened since then applies at once.
func (b *Balancer) repeatAllowed(r *request, earlier *attempt, s *server) bool {
	switch r.admittedClass.Idempotency {
	case Idempotent:
		return true
	case IdempotencyKeyed:
		window := min(r.admittedClass.DedupWindow, r.class.DedupWindow)
		return b.now < earlier.sentAt+Time(window) && r.admittedClass.sharesDeduplication(earlier.server, s)
	default:
		return false
	}
}

// sharesDeduplication reports whether each of the two servers drops requests that the other has
// run.
func (c *Class) sharesDeduplication(one, other *server) bool {
	switch c.DedupScope {
	case DedupFleet:
		return true
	case DedupCell:
		return one.Zone == other.Zone && one.Cell == other.Cell
	default:
		return one.Zone == other.Zone
	}
}

// clientMayRetry reports whether the client may send the request again without a second effect, as
// a rejection promises.
func (r *request) clientMayRetry() bool {
	c := r.admittedClass
	if c.Idempotency == Idempotent || c.Idempotency == IdempotencyKeyed && c.DedupScope == DedupFleet {
		return true
	}
	return !slices.ContainsFunc(r.sentAttempts(), func(a attempt) bool { return !a.neverRan })
}
