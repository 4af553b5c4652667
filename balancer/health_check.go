package balancer

import (
	"cmp"
	"time"
)

// Active health checks step a saturating counter, as in the vpp-maglev design:
// it runs from 0 to counterMax, and from riseThreshold on the server is Up.
const (
	riseThreshold = 2 // passes from 0 to Up
	fallThreshold = 3 // failures from counterMax to Down
	counterMax    = riseThreshold + fallThreshold - 1

	// checkIntervalUp is the interval of checks of a server at counterMax.
	checkIntervalUp = 2 * time.Second
	// checkIntervalUnsettled is that of one whose counter is between its ends.
	checkIntervalUnsettled = 1 * time.Second
	// checkIntervalDown is that of one at 0.
	checkIntervalDown = 4 * time.Second
	// idleCheckInterval is the time in which a node without traffic sends one
	// check, and a bound on the pause that good answers to real work allow.
	idleCheckInterval = 5 * time.Second
	// checkTimeout is when a check without a result has failed.
	checkTimeout = 1 * time.Second
	// startupTrust is how long a started node takes ready servers for Up of which
	// it has no result.
	startupTrust = 30 * time.Second

	// checksPerRequest bounds health checks by the traffic.
	checksPerRequest = 0.1
	// checkCostPerRequest bounds what they take off the result of a request.
	checkCostPerRequest = 0.0025
	// maxCheckTokens is how many checks may be saved up.
	maxCheckTokens = 4.0
)

// health is what is known of a server's health.
type health struct {
	// unknown is set until the first result.
	unknown bool
	// presumedUp is set with unknown where the server counts as Up for
	// startupTrust: the node has started with it on its list.
	presumedUp bool
	// counter is the saturating counter of passes and failures.
	counter int
	// failureCredit is failures of real work that are not yet a whole one.
	failureCredit float64
	nextCheckAt   Time
	checkSentAt   Time // of the check without a result; 0: none
	// distrustUntil is until when passed checks prove nothing, since real work
	// failed.
	distrustUntil Time
	// distrustPeriod is how long the next failure makes that; it doubles with
	// each until an answer comes.
	distrustPeriod time.Duration
	// ejectedAt is when the server left the lookup tables; 0: it is in them.
	ejectedAt Time
}

// checkInterval is the interval of a server's checks.
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

// sendDueCheck sends the health check of the server at a position, if one is due
// and within the budget; one beyond it goes first on the next tick. A fresh good
// answer to real work stands in for a passed check.
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
		b.checkFrom = cmp.Or(b.checkFrom, position)
		return
	}
	b.checkTokens--
	s.health.checkSentAt = b.now
	s.health.nextCheckAt = b.now + Time(b.random.jitter(interval))
	b.host.CheckHealth(s.ID)
}

// HandleHealthCheck takes the result of a health check. One that never left this
// node says nothing of the server.
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

// recordCheck counts the result of a check. A failed check of a server that has
// answered real work since proves nothing; nor does a passed one of a server
// that lately failed real work.
func (b *Balancer) recordCheck(s *server, passed bool) {
	answeredSince := !s.ejected() && s.activity.succeededAt > s.health.checkSentAt
	s.health.checkSentAt = 0
	if passed && b.now >= s.health.distrustUntil || !passed && !answeredSince {
		b.stepCounter(s, passed)
	}
}

// stepCounter counts a pass or a failure. The first result of all decides.
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

// up reports whether a server's health lets it into the lookup tables.
func (b *Balancer) up(s *server) bool {
	if s.health.unknown {
		return s.health.presumedUp && b.now < b.startedAt+Time(startupTrust)
	}
	return s.health.counter >= riseThreshold
}

// updateMembership ejects a server from the lookup tables or readmits it, by the
// endpoint list and its health.
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

// presumeUp takes the endpoint list's word for a server of which no check tells:
// real work will.
func (b *Balancer) presumeUp(s *server) {
	checksMissing := !b.settings.HealthChecks ||
		s.health.checkSentAt == 0 && b.now >= s.health.nextCheckAt+Time(checkIntervalUnsettled)
	if !checksMissing || s.State != Ready {
		return
	}
	if s.health.unknown || s.ejected() && b.now >= s.health.distrustUntil+Time(checkIntervalDown) {
		s.health.unknown = false
		s.health.counter = riseThreshold
	}
}
