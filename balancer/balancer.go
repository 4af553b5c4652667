package balancer

import (
	"math"
	"time"
)

// The timers that a Balancer sets by Host.SetTimer.
const (
	tickTimer       uint64 = 1 // the regular tick
	firstHedgeTimer uint64 = 2 // and on: a request's hedge, by its ID
)

// minSeconds and minSum keep divisors away from zero.
const (
	minSeconds = 1e-3
	minSum     = 1e-9
)

// Balancer decides for one node. Its methods are not safe for concurrent use:
// one goroutine owns it.
type Balancer struct {
	settings  Settings
	host      Host
	now       Time // of the event being handled
	startedAt Time
	random    randomSource
	logLimit  logLimiter

	classes []class
	tenants []tenant

	servers     []*server // ordered by ID
	serversByID map[ServerID]*server
	tables      lookupTables
	discovery   discoveryState

	requests map[RequestID]*request
	pending  []*request // those that wait for capacity, highest limitShare first

	retryTokens float64 // retries that the budget allows
	hedgeTokens float64 // hedged requests that the budget allows
	checkTokens float64 // health checks that the budget allows
	// checkFrom is the position of the first server whose health check was due
	// and not in the budget.
	checkFrom int

	meanLatency     float64 // seconds
	meanWork        float64 // seconds, of requests answered well
	medianWait      float64 // as a share of the latency objective
	medianUpdatedAt Time
	// sheddingPressure is how much is shed, from 0 (nothing) to 1 (all that may be).
	sheddingPressure float64
	overtakenShare   float64 // share of attempts that were overtaken
	lastSuccessAt    Time
	recentAttempts   float64 // attempts sent, decaying with attemptWindow

	// warmThroughput is in requests a second for each unit of capacity.
	warmThroughput       float64
	throughputMeasuredAt Time
}

// initialRetryTokens is what the retry budget holds at the start.
const initialRetryTokens = 3

// New starts a node's decisions at now. The endpoint list follows by
// HandleServers, as UpdateCached where the node has one from before.
func New(settings Settings, seed uint64, now Time, host Host) (*Balancer, error) {
	if len(settings.Classes) == 0 {
		return nil, ErrNoClasses
	}
	b := &Balancer{
		settings:             settings.normalized(),
		host:                 host,
		now:                  now,
		startedAt:            now,
		random:               newRandomSource(seed),
		serversByID:          map[ServerID]*server{},
		requests:             map[RequestID]*request{},
		tables:               lookupTables{stale: true},
		discovery:            discoveryState{nextPollAt: now},
		retryTokens:          initialRetryTokens,
		warmThroughput:       settings.WarmThroughput,
		throughputMeasuredAt: now,
		meanWork:             math.Inf(1),
	}
	for _, c := range settings.Classes {
		k := newClass(&c)
		b.classes = append(b.classes, k)
		b.meanLatency = max(b.meanLatency, k.meanLatency)
		b.meanWork = min(b.meanWork, k.meanWork)
	}
	for _, t := range settings.Tenants {
		b.tenants = append(b.tenants, newTenant(t, now))
	}
	b.rankClasses()
	host.SetTimer(tickInterval, tickTimer)
	b.pollDiscovery()
	return b, nil
}

// secondsSince is the time from an instant to now, in seconds.
func (b *Balancer) secondsSince(at Time) float64 { return time.Duration(b.now - at).Seconds() }
