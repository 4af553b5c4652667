package balancer

import (
	"math"
	"time"
)

// Values of the timer argument of Host.SetTimer and HandleTimer.
const (
	tickTimer       uint64 = 1 // the periodic tick
	firstHedgeTimer uint64 = 2 // plus the RequestID: the hedged request of that request
)

// minSeconds and minSum are lower bounds of divisors, to avoid division by zero.
const (
	minSeconds = 1e-3
	minSum     = 1e-9
)

// Balancer makes the decisions of one node. Its methods are not safe for concurrent use: one
// goroutine owns it.
type Balancer struct {
	settings  Settings
	host      Host
	now       Time // time of the event being handled
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
	pending  []*request // requests that wait for capacity, by descending limitShare

	retryTokens float64 // number of retries left in the retry budget
	hedgeTokens float64 // number of hedged requests left in their budget
	checkTokens float64 // number of health checks left in their budget
	// firstDeferredCheck is the index in servers of the first server whose due health check exceeded
	// the budget in the last tick; 0 if no check was deferred.
	firstDeferredCheck int

	meanLatency     float64 // seconds
	meanWork        float64 // expected work of a successful request, in seconds
	medianWait      float64 // median wait of an answer, as a share of the latency objective
	medianUpdatedAt Time
	// sheddingPressure is the intensity of load shedding, from 0 (no request is shed) to 1 (maximum).
	sheddingPressure float64
	overtakenShare   float64 // share of attempts that were overtaken, see silenceOvertaken
	lastSuccessAt    Time
	recentAttempts   float64 // number of attempts sent, with exponential decay over attemptWindow

	// warmThroughput is the throughput of warm servers for requests of this node, in requests per
	// second per unit of capacity.
	warmThroughput       float64
	throughputMeasuredAt Time
}

// initialRetryTokens is the number of retries in the retry budget of a new Balancer.
const initialRetryTokens = 3

// New returns a Balancer that makes decisions from now on. It sets the tick timer and, if
// Settings.PollDiscovery is set, calls Host.Watch. The host passes the endpoint list to
// HandleServers; a node that stored a list before a restart passes it with UpdateCached first. New
// returns ErrNoClasses if settings has no classes.
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

// secondsSince returns the time elapsed from at to the current event, in seconds.
func (b *Balancer) secondsSince(at Time) float64 { return time.Duration(b.now - at).Seconds() }
