// Package settings decodes the settings of an instance. Both fronts use it: the
// simulator's wire, which has them as lines of path=value, and the real node,
// which has them as nested JSON.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"olivebridge/balancer"
)

// parser reads path=value pairs and keeps the first fault.
type parser struct {
	pairs map[string]string
	err   error
}

func (p *parser) fail(key, format string, args ...any) {
	if p.err == nil {
		p.err = fmt.Errorf("settings: %s: %s", key, fmt.Sprintf(format, args...))
	}
}

func (p *parser) text(key string) string {
	v, ok := p.pairs[key]
	if !ok {
		p.fail(key, "missing")
	}
	return v
}

func (p *parser) number(key string) float64 {
	v, err := strconv.ParseFloat(p.text(key), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		p.fail(key, "not a number: %q", p.pairs[key])
		return 0
	}
	return v
}

func (p *parser) optional(key string, otherwise float64) float64 {
	if _, ok := p.pairs[key]; !ok {
		return otherwise
	}
	return p.number(key)
}

func (p *parser) duration(key string) time.Duration {
	return time.Duration(min(p.number(key), math.MaxInt64/4))
}

// atLeastOne reads a whole number above zero. One beyond maxItems is as good as that.
func (p *parser) atLeastOne(key string) int {
	v := p.number(key)
	if v < 1 || v != math.Trunc(v) {
		p.fail(key, "not a whole number above zero: %q", p.pairs[key])
	}
	return int(min(v, maxItems))
}

// place reads a place in a list that is as long as given.
func (p *parser) place(key string, length int) uint8 {
	v := p.optional(key, 0)
	if v != math.Trunc(v) || v >= float64(min(length, math.MaxUint8)) {
		p.fail(key, "not a place in a list of %d: %q", length, p.pairs[key])
	}
	return uint8(v)
}

func (p *parser) flag(key string) bool {
	v, err := strconv.ParseBool(p.text(key))
	if err != nil {
		p.fail(key, "neither true nor false: %q", p.pairs[key])
	}
	return v
}

func (p *parser) optionalFlag(key string) bool {
	if _, ok := p.pairs[key]; !ok {
		return false
	}
	return p.flag(key)
}

// maxItems bounds the lists of a settings text.
const maxItems = 10000

func (p *parser) count(key string, otherwise float64) int {
	v := p.optional(key, otherwise)
	if v < 0 || v > maxItems || v != math.Trunc(v) {
		p.fail(key, "not a count: %q", p.pairs[key])
		return 0
	}
	return int(v)
}

// choice maps a word to its value.
func choice[T any](p *parser, key string, words map[string]T) T {
	v, ok := words[p.text(key)]
	if !ok {
		p.fail(key, "unknown value %q", p.pairs[key])
	}
	return v
}

// ParseText reads settings written one path=value a line.
func DecodeText(text []byte) (balancer.Settings, error) {
	pairs := map[string]string{}
	for line := range strings.Lines(string(text)) {
		if k, v, ok := strings.Cut(strings.TrimRight(line, "\r\n"), "="); ok {
			pairs[k] = v
		}
	}
	return decodePairs(pairs)
}

// Decode reads settings from their paths and values. Unknown keys are passed
// over. Optional are tenants (none), tenants[].quota_per_s (none), zones (one) and zone (the first), classes[].aim_stretch
// and late_worth (0), classes[].stream and contract.dropped_stay_open (false), over_share_worth (1), prices (0), and
// ask_every, which is needed only where the list must be asked for. extra.warm_keys and
// extra.passes_deadline are not read: the module always keeps keys to their servers, and uses neither.
func decodePairs(pairs map[string]string) (balancer.Settings, error) {
	p := &parser{pairs: pairs}
	s := balancer.Settings{
		Nodes:                p.atLeastOne("n_instances"),
		WeightPerWork:        choice(p, "worth_by", map[string]bool{"work": true, "request": false}),
		OverQuotaWeightShare: p.optional("over_share_worth", 1),
		LiveWeights:          p.text("weights") == "live",
		PollDiscovery:        choice(p, "discovery", map[string]bool{"subscribe": true, "automatic": false}),
		DrainGrace:           p.duration("contract.drain_grace"),
		ServeRemoved:         p.optionalFlag("contract.dropped_stay_open"),
		InitialCapacity:      p.number("contract.cold_share"),
		SlowStart:            p.duration("contract.cold"),
		OverloadFactor:       p.number("contract.overload_factor"),
		OverloadWindow:       p.duration("contract.fall"),
		MaxAttempts:          p.atLeastOne("limits.try_limit"),
		HealthChecks:         p.flag("limits.probes"),
		Zones:                1 + strings.Count(p.pairs["zones"], ","),
		CrossZoneCost:        p.optional("prices.cross_zone", 0),
		HealthCheckCost:      p.optional("prices.probe", 0),
		CancelAttempts:       p.flag("limits.cancel"),
		Hedging:              p.flag("limits.second_copies"),
		RetryAfter:           p.flag("limits.retry_after"),
		MaxRetryAfter:        p.duration("limits.max_retry_after"),
	}
	s.Zone = p.place("zone", s.Zones)
	if s.PollDiscovery {
		s.PollInterval = p.duration("contract.ask_every")
	}
	p.text("classes.count")
	for i := range p.count("classes.count", 0) {
		k := "classes." + strconv.Itoa(i) + "."
		c := balancer.Class{
			LatencyObjective: p.duration(k + "aim"), ObjectivePerWork: p.optional(k+"aim_stretch", 0), Deadline: p.duration(k + "deadline"),
			PriorityWeight: p.number(k + "gain"), LateWeightShare: p.optional(k+"late_worth", 0), Streaming: p.optionalFlag(k + "stream"),
			Idempotency: choice(p, k+"idempotency", map[string]balancer.Idempotency{
				"pure": balancer.Idempotent, "token": balancer.IdempotencyKeyed, "side_effect": balancer.NonIdempotent}),
		}
		if c.Deadline == 0 {
			p.fail(k+"deadline", "nothing can be answered within no time")
		}
		if p.optionalFlag(k + "serial_by_key") {
			p.fail(k+"serial_by_key", "the order of a key's requests is not kept")
		}
		if c.Idempotency == balancer.IdempotencyKeyed {
			c.DedupScope = choice(p, k+"key_scope", map[string]balancer.DedupScope{
				"all": balancer.DedupFleet, "zone": balancer.DedupZone, "cell": balancer.DedupCell})
			c.DedupWindow = p.duration(k + "window")
		}
		s.Classes = append(s.Classes, c)
	}
	for i := range p.count("tenants.count", 0) {
		k := "tenants." + strconv.Itoa(i) + "."
		t := balancer.Tenant{Share: p.number(k + "share")}
		if _, set := p.pairs[k+"quota_per_s"]; set { // a quota of nothing is one too: a tiny share's, in whole requests
			t.Quota = max(p.number(k+"quota_per_s"), math.SmallestNonzeroFloat64)
		}
		s.Tenants = append(s.Tenants, t)
	}
	if p.err == nil && len(s.Classes) == 0 {
		p.fail("classes.count", "no classes")
	}
	return s, p.err
}

// DecodeJSON reads settings written as one nested JSON object, with the names
// and units of the text.
func DecodeJSON(data []byte) (balancer.Settings, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber() // a number keeps the form that the text has
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return balancer.Settings{}, fmt.Errorf("settings: %w", err)
	}
	pairs := map[string]string{}
	flatten(pairs, "", tree)
	return decodePairs(pairs)
}

// flatten writes a JSON value as the text has it: a list of objects by its
// length and places, a list of plain values with commas.
func flatten(pairs map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, item := range v {
			flatten(pairs, strings.TrimPrefix(path+"."+k, "."), item)
		}
	case []any:
		var plain []string
		for i, item := range v {
			if _, object := item.(map[string]any); object {
				flatten(pairs, path+"."+strconv.Itoa(i), item)
				pairs[path+".count"] = strconv.Itoa(len(v))
			} else {
				plain = append(plain, plainText(item))
			}
		}
		pairs[path] = strings.Join(plain, ",")
	default:
		pairs[path] = plainText(v)
	}
}

// plainText writes a plain value; a space or comma within it becomes "_".
func plainText(v any) string {
	return strings.NewReplacer(" ", "_", ",", "_").Replace(fmt.Sprint(v))
}
