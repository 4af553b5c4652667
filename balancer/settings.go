package balancer

import (
	"errors"
	"time"
)

// ErrNoClasses is returned by New if Settings.Classes is empty.
var ErrNoClasses = errors.New("balancer: Settings.Classes is empty, at least 1 class is required")

// ErrClassesChanged is returned by UpdateSettings if the number of classes or tenants changed. The
// previous settings stay in force.
var ErrClassesChanged = errors.New("balancer: number of classes or tenants differs from the settings in force")

// Idempotency states whether a request may run more than once.
type Idempotency uint8

// Values of Idempotency.
const (
	NonIdempotent    Idempotency = iota // must not run more than once
	IdempotencyKeyed                    // servers drop duplicates within the class's DedupScope for its DedupWindow
	Idempotent                          // may run any number of times
)

// DedupScope is the set of servers that drop the duplicates of an IdempotencyKeyed request.
type DedupScope uint8

// Values of DedupScope.
const (
	DedupCell  DedupScope = iota // servers in the cell of the first attempt
	DedupZone                    // servers in the zone of the first attempt
	DedupFleet                   // all servers
)

// Class holds the settings of one class of requests.
type Class struct {
	// LatencyObjective is the time limit for an answer to earn its full weight.
	LatencyObjective time.Duration
	// ObjectivePerWork extends the latency objective by this multiple of the request's expected work;
	// 0 means that the objective is the same for all requests.
	ObjectivePerWork float64
	// Deadline is the total duration for which a client waits, including its own retries.
	Deadline time.Duration
	// PriorityWeight is the value of an answer relative to answers of other classes.
	PriorityWeight float64
	// LateWeightShare is the share of PriorityWeight that an answer earns after the latency objective.
	// The Balancer does not use it.
	LateWeightShare float64
	// Idempotency states whether the Balancer may repeat attempts.
	Idempotency Idempotency
	// DedupScope and DedupWindow restrict the retries of an IdempotencyKeyed request: to the servers
	// in the scope, and to this duration since an earlier attempt. A DedupWindow of 0 allows no retry.
	DedupScope  DedupScope
	DedupWindow time.Duration
	// Streaming is set if answers are streamed; such requests are not hedged.
	Streaming bool
}

// Tenant holds the settings of one tenant.
type Tenant struct {
	// Share is the tenant's share of the fleet's capacity. The Balancer does not use it, because Quota
	// is derived from it.
	Share float64
	// Quota is the number of requests per second over all nodes; 0 means unlimited. To allow no
	// requests at all, set it to the smallest value above 0.
	Quota float64
}

// Settings holds the configuration that New and UpdateSettings receive.
type Settings struct {
	// Classes are the classes of requests; at least one is required.
	Classes []Class
	// Tenants are the tenants; without any, no quotas apply.
	Tenants []Tenant
	// Nodes is the number of load-balancing nodes including this one; 0 counts as 1.
	Nodes int
	// WeightPerWork is set if PriorityWeight applies to each unit of work instead of each request.
	WeightPerWork bool
	// OverQuotaWeightShare is the share of its weight that a request beyond its tenant's quota keeps.
	// The Balancer uses overQuotaLimitShare instead.
	OverQuotaWeightShare float64
	// LiveWeights is set if the listed weight of a server decreases with its load.
	LiveWeights bool
	// PollDiscovery is set if discovery sends the endpoint list only on request.
	PollDiscovery bool
	// PollInterval is the maximum pause between polls without a watch. Half of it is the pause after a
	// failed watch, within the bounds minPollPause and maxPollPause; 0 therefore selects the shortest
	// pause.
	PollInterval time.Duration
	// DrainGrace is the duration for which attempts may still reach a draining or removed server after
	// the node was notified. The host enforces it.
	DrainGrace time.Duration
	// ServeRemoved is set if the node may keep using a server that was removed without draining first.
	ServeRemoved bool
	// InitialCapacity is the minimum share of its capacity that a server has when it starts.
	InitialCapacity float64
	// SlowStart is the maximum duration from a server's start until it is warm; 0 means that servers
	// are warm at once.
	SlowStart time.Duration
	// OverloadFactor is the load at which a warming server fails, as a multiple of its current
	// capacity. The load is counted over OverloadWindow.
	OverloadFactor float64
	// OverloadWindow is the duration over which the load of a server is counted for OverloadFactor.
	OverloadWindow time.Duration
	// MaxAttempts is the maximum number of attempts per request. Values below 1 count as 1, values
	// above maxAttempts as maxAttempts.
	MaxAttempts int
	// HealthChecks is set if the node may send active health checks.
	HealthChecks bool
	// Zone is the zone of this node.
	Zone uint8
	// Zones is the number of zones; below 2, locality has no effect.
	Zones int
	// CrossZoneCost is the amount by which the result of the whole service decreases if every request
	// crosses zones once.
	CrossZoneCost float64
	// HealthCheckCost is the amount by which the result of the whole service decreases if the nodes
	// send one health check per request.
	HealthCheckCost float64
	// CancelAttempts is set if the Balancer may cancel attempts.
	CancelAttempts bool
	// Hedging is set if a request may have more than one attempt in flight.
	Hedging bool
	// RetryAfter is set if rejections include the delay after which the client may retry.
	RetryAfter bool
	// MaxRetryAfter is the maximum delay after which a rejection advises the client to retry.
	MaxRetryAfter time.Duration
	// WarmThroughput is the value that Balancer.WarmThroughput returned in the node's previous
	// process; 0 means unknown.
	WarmThroughput float64
}

// maxAttempts is the maximum number of attempts per request for all settings.
const maxAttempts = 6

// normalized returns the settings with Nodes and MaxAttempts limited to their valid ranges.
func (s Settings) normalized() Settings {
	s.Nodes = max(s.Nodes, 1)
	s.MaxAttempts = min(max(s.MaxAttempts, 1), maxAttempts)
	return s
}

// UpdateSettings replaces the settings. Classes and tenants keep their positions, so that their
// statistics stay valid. Requests that were already admitted keep the guarantees that their class
// had at admission. If the number of classes or tenants differs, UpdateSettings changes nothing and
// returns ErrClassesChanged.
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
