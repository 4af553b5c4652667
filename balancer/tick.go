package balancer

import "time"

// tickInterval is the period of the tick timer.
const tickInterval = 50 * time.Millisecond

// HandleTimer handles the expiry of a timer that the Balancer set with Host.SetTimer.
func (b *Balancer) HandleTimer(now Time, timer uint64) {
	b.now = now
	if timer != tickTimer {
		b.hedge(b.requests[RequestID(timer-firstHedgeTimer)])
		return
	}
	b.host.SetTimer(tickInterval, tickTimer)
	b.pollDiscovery()
	b.releaseOvertaken()
	b.dispatchPending()
	b.measureThroughput()
	b.recentAttempts *= attemptDecay
	b.checkTokens += tickInterval.Seconds() / idleCheckInterval.Seconds()
	b.inspectServers()
}

// inspectServers updates every server once per tick. It starts with the first server whose health
// check was deferred in the last tick.
func (b *Balancer) inspectServers() {
	toleratedSilence := Time(maxSilenceLatencies * b.meanLatency * float64(time.Second))
	first := b.firstDeferredCheck
	b.firstDeferredCheck = 0
	for i := range b.servers {
		position := (first + i) % len(b.servers)
		s := b.servers[position]
		s.load.recentAttempts *= attemptDecay
		if !b.mayUse(s) {
			b.updateMembership(s)
			continue
		}
		b.ejectSilent(s, toleratedSilence)
		if b.settings.HealthChecks && !s.OutsideSubset {
			b.sendDueCheck(s, position)
		}
		b.presumeUp(s)
		b.updateMembership(s)
		if b.tableWeight(s) != s.table.weight {
			b.tables.stale = true
		}
	}
}
