package settings

import (
	"math"
	"strconv"
	"strings"

	"olivebridge/balancer"
)

// The words of the settings, and what they mean to the balancer.
var (
	weightPerWorkValues = map[string]bool{"work": true, "request": false}
	pollDiscoveryValues = map[string]bool{"subscribe": true, "automatic": false}
	idempotencyValues   = map[string]balancer.Idempotency{
		"pure":        balancer.Idempotent,
		"token":       balancer.IdempotencyKeyed,
		"side_effect": balancer.NonIdempotent,
	}
	dedupScopeValues = map[string]balancer.DedupScope{
		"all":  balancer.DedupFleet,
		"zone": balancer.DedupZone,
		"cell": balancer.DedupCell,
	}
)

// liveWeights is the value of weights under which a server's weight follows its load.
const liveWeights = "live"

// DecodeText decodes settings that have one path=value on each line.
func DecodeText(text []byte) (balancer.Settings, error) {
	pairs := map[string]string{}
	for line := range strings.Lines(string(text)) {
		if path, value, ok := strings.Cut(strings.TrimRight(line, "\r\n"), "="); ok {
			pairs[path] = value
		}
	}
	return decodePairs(pairs)
}

// decodePairs decodes settings from their values by path. Unknown paths are ignored.
//
// Optional are tenants (none), tenants[].quota_per_s (none), zones (one), zone (the first), classes[].aim_stretch and
// late_worth (0), classes[].stream and contract.dropped_stay_open (false), over_share_worth (1), prices (0), and
// contract.ask_every, which is needed only where discovery has to be polled. extra.warm_keys and extra.passes_deadline
// are not read: the balancer always keeps keys to their servers, and uses neither.
func decodePairs(pairs map[string]string) (balancer.Settings, error) {
	r := &pairReader{pairs: pairs}
	s := balancer.Settings{ // in this order, since the first error counts
		Nodes:                r.positiveInteger("n_instances"),
		WeightPerWork:        enumValue(r, "worth_by", weightPerWorkValues),
		OverQuotaWeightShare: r.optionalNumber("over_share_worth", 1),
		LiveWeights:          r.text("weights") == liveWeights,
		PollDiscovery:        enumValue(r, "discovery", pollDiscoveryValues),
		DrainGrace:           r.duration("contract.drain_grace"),
		ServeRemoved:         r.optionalFlag("contract.dropped_stay_open"),
		InitialCapacity:      r.number("contract.cold_share"),
		SlowStart:            r.duration("contract.cold"),
		OverloadFactor:       r.number("contract.overload_factor"),
		OverloadWindow:       r.duration("contract.fall"),
		MaxAttempts:          r.positiveInteger("limits.try_limit"),
		HealthChecks:         r.flag("limits.probes"),
		Zones:                1 + strings.Count(pairs["zones"], ","),
		CrossZoneCost:        r.optionalNumber("prices.cross_zone", 0),
		HealthCheckCost:      r.optionalNumber("prices.probe", 0),
		CancelAttempts:       r.flag("limits.cancel"),
		Hedging:              r.flag("limits.second_copies"),
		RetryAfter:           r.flag("limits.retry_after"),
		MaxRetryAfter:        r.duration("limits.max_retry_after"),
	}
	s.Zone = r.position("zone", s.Zones)
	if s.PollDiscovery {
		s.PollInterval = r.duration("contract.ask_every")
	}
	r.text("classes.count")
	for i := range r.optionalCount("classes.count") {
		s.Classes = append(s.Classes, decodeClass(r, itemPrefix("classes", i)))
	}
	for i := range r.optionalCount("tenants.count") {
		s.Tenants = append(s.Tenants, decodeTenant(r, itemPrefix("tenants", i)))
	}
	if r.err == nil && len(s.Classes) == 0 {
		r.fail("classes.count", "no classes")
	}
	return s, r.err
}

// itemPrefix is what the paths of an object in a list begin with.
func itemPrefix(list string, position int) string {
	return list + "." + strconv.Itoa(position) + "."
}

func decodeClass(r *pairReader, path string) balancer.Class {
	class := balancer.Class{ // in this order, since the first error counts
		LatencyObjective: r.duration(path + "aim"),
		ObjectivePerWork: r.optionalNumber(path+"aim_stretch", 0),
		Deadline:         r.duration(path + "deadline"),
		PriorityWeight:   r.number(path + "gain"),
		LateWeightShare:  r.optionalNumber(path+"late_worth", 0),
		Streaming:        r.optionalFlag(path + "stream"),
		Idempotency:      enumValue(r, path+"idempotency", idempotencyValues),
	}
	if class.Deadline == 0 {
		r.fail(path+"deadline", "nothing can be answered within no time")
	}
	if r.optionalFlag(path + "serial_by_key") {
		r.fail(path+"serial_by_key", "the order of a key's requests is not kept")
	}
	if class.Idempotency == balancer.IdempotencyKeyed {
		class.DedupScope = enumValue(r, path+"key_scope", dedupScopeValues)
		class.DedupWindow = r.duration(path + "window")
	}
	return class
}

// noRequestsQuota stands for a quota of 0, which the share of a very small tenant may be in whole requests: to the
// Balancer, 0 is no quota.
const noRequestsQuota = math.SmallestNonzeroFloat64

func decodeTenant(r *pairReader, path string) balancer.Tenant {
	tenant := balancer.Tenant{Share: r.number(path + "share")}
	if r.has(path + "quota_per_s") {
		tenant.Quota = max(r.number(path+"quota_per_s"), noRequestsQuota)
	}
	return tenant
}
