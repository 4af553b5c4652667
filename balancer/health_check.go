package balancer

import (
	"cmp"
	"time"
)

// Active health checks step a saturating counter from 0 to counterMax, as in the design of
// vpp-maglev. A server is up if its counter is at least riseThreshold.
const (
	riseThreshold = 2 // number of passed checks from 0 to up
	fallThreshold = 3 // number of failed checks from counterMax to down
	counterMax    = riseThreshold + fallThreshold - 1

	// checkIntervalUp is the check interval of a server whose counter is counterMax.
	checkIntervalUp = 2 * time.Second
	// checkIntervalUnsettled is the check interval of a server whose counter is between 0 and
	// counterMax.
	checkIntervalUnsettled = 1 * time.Second
	// checkIntervalDown is the check interval of a server whose counter is 0.
	checkIntervalDown = 4 * time.Second
	// idleCheckInterval is the interval at which a node without traffic adds one health check to
	// the budget. It is also the maximum interval, if the budget suffices, between health checks of
	// a server that answers requests successfully.
	idleCheckInterval = 5 * time.Second
	// checkTimeout is the duration after which a check without a result counts as failed.
	checkTimeout = 1 * time.Second
	// presumedUpDuration is the duration after the node's start for which a server that was listed at
	// the start counts as up, even if no health check or request has shown its health.
	presumedUpDuration = 30 * time.Second

	// checksPerRequest is the maximum number of health checks that each request adds to the budget.
	checksPerRequest = 0.1
	// checkCostPerRequest is the maximum cost of the health checks that each request adds to the
	// budget, in the unit of Settings.HealthCheckCost.
	checkCostPerRequest = 0.0025
	// maxCheckTokens is the maximum number of unused health checks up to which requests fill the
	// budget.
	maxCheckTokens = 4.0
)

// health is the health state of a server.
type health struct {
	// unknown is set until a health check, a request or presumeUp sets counter for the first time.
	unknown bool
	// presumedUp is set if the server counts as up for presumedUpDuration while unknown is set,
	// because it was on the endpoint list when the node started.
	presumedUp bool
	// counter is the saturating counter of passes and failures.
	counter int
	// fractionalFailures is the sum of the weighted request failures that counter does not include
	// yet, because they do not add up to a whole failure.
	fractionalFailures float64
	nextCheckAt        Time
	checkSentAt        Time // send time of the check without a result; 0 if there is none
	// passesIgnoredUntil is the end of the period in which passed health checks are ignored because a
	// request failed.
	passesIgnoredUntil Time
	// passesIgnoredPeriod is the duration for which passed health checks are ignored after the next
	// failure. It doubles with each counted failure until the server answers successfully.
	passesIgnoredPeriod time.Duration
	// ejectedAt is the time at which the server left the lookup tables; 0 if the server is in them.
	ejectedAt Time
}

// checkInterval returns the interval of a server's health checks.
func (h *health) checkInterval() time.Duration {
	switch {
	case h.counter == counterMax:
		return checkIntervalUp
	case h.counter == 0 && !h.unknown:
		return checkIntervalDown
	default:
		return checkIntervalUnsettled
	}
}

// sendDueCheck sends the health check of the server at index position, if it is due and within the
// budget. A check beyond the budget is deferred and comes first in the next tick. A recent
// successful answer to a request counts as a passed check and delays the next one.
func (b *Balancer) sendDueCheck(s *server, position int) {
	if s.health.checkSentAt != 0 && b.now-s.health.checkSentAt >= Time(checkTimeout) {
		b.recordCheck(s, false)
	}
	interval := s.health.checkInterval()
	due := s.health.nextCheckAt
	if !s.ejected() && s.activity.succeededAt > b.now-Time(interval) {
		due += Time(idleCheckInterval - checkIntervalUp*maxJitterNumerator/jitterDenominator)
	}
	if s.health.checkSentAt != 0 || b.now < due {
		return
	}
	if b.checkTokens < 1 {
		b.firstDeferredCheck = cmp.Or(b.firstDeferredCheck, position)
		return
	}
	b.checkTokens--
	s.health.checkSentAt = b.now
	s.health.nextCheckAt = b.now + Time(b.random.jitter(interval))
	b.host.CheckHealth(s.ID)
}

// HandleHealthCheck handles the result of a health check. It ignores a check that never left this
// node.
func (b *Balancer) HandleHealthCheck(now Time, result HealthCheckResult) {
	b.now = now
	s := b.serversByID[result.Server]
	if s == nil {
		return
	}
	if s.health.checkSentAt == 0 || result.Result == NotSent {
		s.health.checkSentAt = 0
		return
	}
	b.recordCheck(s, result.Result == OK)
}

// recordCheck counts the result of a health check. It ignores a failed check if the server has
// answered a request successfully since the check was sent, and a passed check if a request to the
// server failed recently.
func (b *Balancer) recordCheck(s *server, passed bool) {
	answeredSince := !s.ejected() && s.activity.succeededAt > s.health.checkSentAt
	s.health.checkSentAt = 0
	if passed && b.now >= s.health.passesIgnoredUntil || !passed && !answeredSince {
		b.stepCounter(s, passed)
	}
}

// stepCounter counts a pass or a failure. The first result sets an unknown server up or down at
// once.
func (b *Balancer) stepCounter(s *server, passed bool) {
	h := &s.health
	switch {
	case h.unknown && passed:
		h.counter = riseThreshold
	case h.unknown:
		h.counter = riseThreshold - 1
	case passed:
		h.counter = min(h.counter+1, counterMax)
	default:
		h.counter = max(h.counter-1, 0)
	}
	h.unknown = false
	b.updateMembership(s)
}

// up reports whether a server's health permits it in the lookup tables.
func (b *Balancer) up(s *server) bool {
	if s.health.unknown {
		return s.health.presumedUp && b.now < b.startedAt+Time(presumedUpDuration)
	}
	return s.health.counter >= riseThreshold
}

// updateMembership ejects a server from the lookup tables or readmits it, depending on the endpoint
// list and the server's health.
func (b *Balancer) updateMembership(s *server) {
	member := b.mayUse(s) && b.up(s)
	if member != s.ejected() {
		return
	}
	b.tables.stale = true
	if !member {
		s.health.ejectedAt = b.now
		b.logf("server %x out of the table", uint64(s.ID))
		return
	}
	b.startRecovery(s)
	s.health.ejectedAt = 0
	s.activity.silentSince = b.now
	s.load.meanWait = 0
	s.load.limit = max(s.load.limit/readmittedLimitDivisor, 1)
}

// presumeUp sets a ready server up without a check result if the node may not send health checks or
// a check is overdue. Outcomes of requests then determine its health.
func (b *Balancer) presumeUp(s *server) {
	checksMissing := !b.settings.HealthChecks ||
		s.health.checkSentAt == 0 && b.now >= s.health.nextCheckAt+Time(checkIntervalUnsettled)
	if !checksMissing || s.State != Ready {
		return
	}
	if s.health.unknown || s.ejected() && b.now >= s.health.passesIgnoredUntil+Time(checkIntervalDown) {
		s.health.unknown = false
		s.health.counter = riseThreshold
	}
}
