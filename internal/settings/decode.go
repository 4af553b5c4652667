package settings

import (
	"math"
	"strconv"
	"strings"

	"olivebridge/balancer"
)

// The enumerated values of the settings, with the balancer's value for each.
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

// liveWeights is the value of the setting weights with which the weight of a server follows its load.
const liveWeights = "live"

// DecodeText decodes settings in text form: lines of path=value. Other lines are ignored.
func DecodeText(text []byte) (balancer.Settings, error) {
	pairs := map[string]string{}
	for line := range strings.Lines(string(text)) {
		if path, value, ok := strings.Cut(strings.TrimRight(line, "\r\n"), "="); ok {
			pairs[path] = value
		}
	}
	return decodePairs(pairs)
}

// decodePairs decodes settings from their values by path. It ignores unknown paths.
//
// The following settings are optional, with their defaults in parentheses: tenants (none), tenants[].quota_per_s (no
// quota), zones (one zone), zone (the first), classes[].aim_stretch and late_worth (0), classes[].stream and
// contract.dropped_stay_open (false), over_share_worth (1) and prices (0). contract.ask_every is required only if
// discovery must be polled. extra.warm_keys and extra.passes_deadline are ignored: the balancer always routes a key to
// the same server, and uses neither setting.
func decodePairs(pairs map[string]string) (balancer.Settings, error) {
	r := &pairReader{pairs: pairs}
	s := balancer.Settings{ // the order determines which of several errors is reported: the first
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

// itemPrefix returns the prefix of the paths of the object at a position in a list.
func itemPrefix(list string, position int) string {
	return list + "." + strconv.Itoa(position) + "."
}

func decodeClass(r *pairReader, path string) balancer.Class {
	class := balancer.Class{ // the order determines which of several errors is reported: the first
		LatencyObjective: r.duration(path + "aim"),
		ObjectivePerWork: r.optionalNumber(path+"aim_stretch", 0),
		Deadline:         r.duration(path + "deadline"),
		PriorityWeight:   r.number(path + "gain"),
		LateWeightShare:  r.optionalNumber(path+"late_worth", 0),
		Streaming:        r.optionalFlag(path + "stream"),
		Idempotency:      enumValue(r, path+"idempotency", idempotencyValues),
	}
	if class.Deadline == 0 {
		r.fail(path+"deadline", "not above zero")
	}
	if r.optionalFlag(path + "serial_by_key") {
		r.fail(path+"serial_by_key", "true is not supported: the order of requests with the same key is not kept")
	}
	if class.Idempotency == balancer.IdempotencyKeyed {
		class.DedupScope = enumValue(r, path+"key_scope", dedupScopeValues)
		class.DedupWindow = r.duration(path + "window")
	}
	return class
}

// noRequestsQuota is the balancer's quota for a setting of 0, the smallest quota above zero. A very small tenant may
// have a quota of 0, rounded down to whole requests, but to the balancer 0 means that there is no quota.
const noRequestsQuota = math.SmallestNonzeroFloat64

func decodeTenant(r *pairReader, path string) balancer.Tenant {
	tenant := balancer.Tenant{Share: r.number(path + "share")}
	if r.has(path + "quota_per_s") {
		tenant.Quota = max(r.number(path+"quota_per_s"), noRequestsQuota)
	}
	return tenant
}
