package balancer

import (
	"errors"
	"time"
)

// ErrNoClasses is returned by New for settings without classes.
var ErrNoClasses = errors.New("balancer: settings have no classes")

// ErrClassesChanged is returned by UpdateSettings where classes or tenants were
// added or removed. The settings in force stay as they were.
var ErrClassesChanged = errors.New("balancer: classes or tenants are more or fewer than before")

// Idempotency says whether a request may run more than once.
type Idempotency uint8

// The degrees of idempotency.
const (
	NonIdempotent    Idempotency = iota // must never run twice
	IdempotencyKeyed                    // servers drop duplicates within the class's DedupScope, for its DedupWindow
	Idempotent                          // may run any number of times
)

// DedupScope says which servers drop the duplicates of an IdempotencyKeyed request.
type DedupScope uint8

// The scopes.
const (
	DedupCell  DedupScope = iota // those of the cell that got the first attempt
	DedupZone                    // those of its zone
	DedupFleet                   // all servers
)

// Class is one kind of request.
type Class struct {
	// LatencyObjective is the time within which an answer earns its full weight.
	LatencyObjective time.Duration
	// ObjectivePerWork extends the objective by this multiple of the request's
	// work; 0: the objective is the same for all.
	ObjectivePerWork float64
	// Deadline is how long a client waits over all its tries.
	Deadline time.Duration
	// PriorityWeight is what an answer is worth against those of other classes.
	PriorityWeight float64
	// LateWeightShare is the share of PriorityWeight that an answer after the
	// objective earns. The Balancer does not use it.
	LateWeightShare float64
	// Idempotency says whether attempts may be repeated.
	Idempotency Idempotency
	// DedupScope and DedupWindow bind the retries of an IdempotencyKeyed request.
	// A window of 0 allows none.
	DedupScope  DedupScope
	DedupWindow time.Duration
	// Streaming answers are not hedged.
	Streaming bool
}

// Tenant is one customer.
type Tenant struct {
	// Share is the tenant's share of the fleet's capacity. The Balancer does not
	// use it: Quota holds what follows from it.
	Share float64
	// Quota is in requests a second over all nodes; 0: unlimited. A quota of no
	// requests at all is the least value above 0.
	Quota float64
}

// Settings are what a node is told when it starts and by UpdateSettings.
type Settings struct {
	// Classes are the kinds of request; at least one.
	Classes []Class
	// Tenants are the customers; none: no quotas.
	Tenants []Tenant
	// Nodes is the number of load-balancing nodes, this one included; 0 counts as 1.
	Nodes int
	// WeightPerWork is set where PriorityWeight counts for each unit of work
	// rather than for each request.
	WeightPerWork bool
	// OverQuotaWeightShare is what is left of a request's weight beyond its
	// tenant's quota. The Balancer does not use it: see overQuotaLimitShare.
	OverQuotaWeightShare float64
	// LiveWeights is set where listed weights sink with a server's load.
	LiveWeights bool
	// PollDiscovery is set where the endpoint list comes only when asked for.
	PollDiscovery bool
	// PollInterval is the longest pause between polls without a watch; it bounds
	// the pause after a failed one. 0: the shortest pause.
	PollInterval time.Duration
	// DrainGrace is how long attempts may still reach a draining or removed
	// server after the node was notified. The host enforces it.
	DrainGrace time.Duration
	// ServeRemoved is set where a server that is removed without having drained
	// may still be used.
	ServeRemoved bool
	// InitialCapacity is the share of its capacity that a server has at least
	// when it starts.
	InitialCapacity float64
	// SlowStart is the time after which a started server is warm at the latest;
	// 0: servers are warm at once.
	SlowStart time.Duration
	// OverloadFactor is the multiple of its present capacity beyond which a
	// warming server fails.
	OverloadFactor float64
	// OverloadWindow is the time over which that load is counted.
	OverloadWindow time.Duration
	// MaxAttempts bounds the attempts of a request; below 1 counts as 1, and
	// more than the package's own bound as that.
	MaxAttempts int
	// HealthChecks is set where servers may be checked actively.
	HealthChecks bool
	// Zone is this node's own.
	Zone uint8
	// Zones is the number of zones; below 2: locality does not matter.
	Zones int
	// CrossZoneCost is taken off the result if every request crosses zones once.
	CrossZoneCost float64
	// HealthCheckCost is taken off the result for one health check a request.
	HealthCheckCost float64
	// CancelAttempts is set where attempts may be cancelled.
	CancelAttempts bool
	// Hedging is set where a request may have more than one attempt in flight.
	Hedging bool
	// RetryAfter is set where rejections carry advice when to return.
	RetryAfter bool
	// MaxRetryAfter bounds that advice.
	MaxRetryAfter time.Duration
	// WarmThroughput is what Balancer.WarmThroughput of the node's previous
	// process returned; 0: unknown.
	WarmThroughput float64
}

// maxAttempts bounds the attempts of a request, whatever the settings allow.
const maxAttempts = 6

// normalized returns the settings with the counts that are out of range brought
// into it.
func (s Settings) normalized() Settings {
	s.Nodes = max(s.Nodes, 1)
	s.MaxAttempts = min(max(s.MaxAttempts, 1), maxAttempts)
	return s
}

// UpdateSettings takes changed settings. Classes and tenants keep their
// positions, so that what was learnt of them stays theirs; requests that were
// admitted before keep what their class allowed then.
func (b *Balancer) UpdateSettings(now Time, settings Settings) error {
	if len(settings.Classes) != len(b.classes) || len(settings.Tenants) != len(b.tenants) {
		return ErrClassesChanged
	}
	b.now = now
	b.settings = settings.normalized()
	b.tables.stale = true
	for i, c := range settings.Classes {
		b.classes[i].Class = &c
	}
	for i, t := range settings.Tenants {
		b.tenants[i].Tenant = t
	}
	b.rankClasses()
	return nil
}
