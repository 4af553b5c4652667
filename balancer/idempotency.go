package balancer

import "slices"

// mayRepeat reports whether the numbered attempt of a request may go to a server
// without a second effect. Each earlier attempt that is outstanding or may have run
// restricts it.
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
		if !b.repeatIsHarmless(r, earlier, s) {
			return false
		}
	}
	return true
}

// repeatIsHarmless reports whether a server may be sent a request that an
// earlier attempt may have run. The class binds as it was on arrival; a
// deduplication window that settings have shortened since binds at once.
func (b *Balancer) repeatIsHarmless(r *request, earlier *attempt, s *server) bool {
	switch r.admittedClass.Idempotency {
	case Idempotent:
		return true
	case IdempotencyKeyed:
		window := min(r.admittedClass.DedupWindow, r.class.DedupWindow)
		return b.now < earlier.sentAt+Time(window) && r.admittedClass.sharesDuplicates(earlier.server, s)
	default:
		return false
	}
}

// sharesDuplicates reports whether one server drops what the other has run.
func (c *Class) sharesDuplicates(one, other *server) bool {
	switch c.DedupScope {
	case DedupFleet:
		return true
	case DedupCell:
		return one.Zone == other.Zone && one.Cell == other.Cell
	default:
		return one.Zone == other.Zone
	}
}

// clientMayRetry reports whether the client may send the request again without
// a second effect, which is what a rejection promises.
func (r *request) clientMayRetry() bool {
	c := r.admittedClass
	if c.Idempotency == Idempotent || c.Idempotency == IdempotencyKeyed && c.DedupScope == DedupFleet {
		return true
	}
	return !slices.ContainsFunc(r.made(), func(a attempt) bool { return !a.neverRan })
}
