package fault

import (
	"fmt"
	"net"
	"reflect"
	"slices"
	"strings"
)

// scenarioChecker checks a scenario against the limits: every script drawn from a valid scenario must pass Check.
type scenarioChecker struct {
	problems
	sc     *Scenario
	limits map[string]limit
}

// ranges requires every number to be set, with both ends of its range within the limits.
func (c *scenarioChecker) ranges(key string, i *item, v reflect.Value, of string) {
	if of != "" {
		c.within(key, v, c.limits[of])
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for n := range v.NumField() {
			f := v.Type().Field(n)
			k := tomlKey(f)
			if strings.Contains(f.Tag.Get("toml"), ",omitempty") {
				continue
			}
			if i.child(k) == nil {
				c.add(join(key, k), "missing")
				continue
			}
			c.ranges(join(key, k), i.child(k), v.Field(n), f.Tag.Get("of"))
		}
	case reflect.Slice:
		if v.Len() == 0 && key != "combo" && key != "kind" && key != "rogue.kinds" {
			c.add(key, "at least one entry is required")
		}
		for n := range v.Len() {
			c.ranges(fmt.Sprintf("%s[%d]", key, n), i.items[n], v.Index(n), "")
		}
	}
}

// within checks a number, or both ends of a range, against a limit.
func (c *scenarioChecker) within(key string, v reflect.Value, l limit) {
	if v.Kind() != reflect.Struct {
		if why := l.violation(v); why != "" {
			c.add(key, "%s", why)
		}
		return
	}
	if !v.Field(0).Equal(v.Field(1)) {
		l.orZero = false // the values between the ends must be allowed as well
	}
	for n := range v.NumField() {
		if why := l.violation(v.Field(n)); why != "" {
			c.add(key, "%s", why)
			return
		}
	}
}

// rogues checks the kinds of rogues.
func (c *scenarioChecker) rogues() {
	known := rogueKinds()
	for i, k := range c.sc.Rogues.Kinds {
		if !slices.Contains(known, k) {
			c.add(fmt.Sprintf("rogue.kinds[%d]", i), "no such kind: %q", k)
		}
	}
}

// lists checks names, deadlines and addresses, and that the shares of a list cannot all be 0.
func (c *scenarioChecker) lists() {
	sc := c.sc
	c.names("zones", sc.Zones, func(i int) string { return fmt.Sprintf("zones[%d]", i) })
	in := func(list string) func(int) string {
		return func(i int) string { return fieldKey(list, i, "name") }
	}
	var kinds, classes, tenants []string
	sums := map[string]float64{}
	for _, k := range sc.PeerKinds {
		kinds = append(kinds, k.Name)
		sums["peer_kind"] += k.Share.Lo
	}
	for _, k := range sc.Classes {
		classes = append(classes, k.Name)
		sums["class"] += k.Share.Lo
	}
	for _, k := range sc.Tenants {
		tenants = append(tenants, k.Name)
		sums["tenant"] += k.Share.Lo
	}
	c.names("peer_kind", kinds, in("peer_kind"))
	c.names("class", classes, in("class"))
	c.names("tenant", tenants, in("tenant"))
	for _, list := range []string{"peer_kind", "class", "tenant"} {
		if sums[list] <= 0 {
			c.add(list, "the shares may all be 0")
		}
	}
	for i, k := range sc.Classes {
		if k.Deadline.Lo < k.Aim.Hi {
			c.add(fieldKey("class", i, "deadline"), "may be less than the aim")
		}
	}
	for _, at := range []struct{ key, addr string }{{"addr", sc.Discovery.Addr}, {"spare", sc.Discovery.Spare}} {
		if host, port, err := net.SplitHostPort(at.addr); err != nil || port == "" || !validName(host) {
			c.add("discovery."+at.key, "not host:port: %q", at.addr)
		}
	}
	if sc.Discovery.Addr == sc.Discovery.Spare {
		c.add("discovery.spare", "is equal to discovery.addr")
	}
}

func (c *scenarioChecker) names(list string, names []string, key func(i int) string) {
	seen := map[string]bool{}
	for i, n := range names {
		if !validName(n) {
			c.add(key(i), invalidNameFormat, n)
		}
		if seen[n] {
			c.add(key(i), "%q is listed twice", n)
		}
		seen[n] = true
	}
}

// kind checks that a kind's ranges set all parameters of the kind, and no others.
func (c *scenarioChecker) kind(at string, t *tree, n int, table map[string]Kind) {
	r := &c.sc.Kinds[n]
	k, ok := table[r.Name]
	if !ok {
		c.add(at+".name", "no such kind: %q", r.Name)
		return
	}
	for i := range n {
		if c.sc.Kinds[i].Name == r.Name {
			c.add(at+".name", "%q is listed twice", r.Name)
		}
	}
	stated := t.root.child("kind").items[n]
	v := reflect.ValueOf(*r)
	for f := range v.NumField() {
		key := tomlKey(v.Type().Field(f))
		take, takes := k.parameter(key)
		l := limit{lo: take.Lo, hi: take.Hi}
		if key == "part" {
			takes, l = k.hasParameter("peers") || k.hasParameter("nodes") || k.hasParameter("clients"), limit{hi: 1}
		}
		switch {
		case key == "name" || key == "weight":
		case !takes && stated.child(key) != nil:
			c.add(join(at, key), "kind %s has no such parameter", r.Name)
		case takes && stated.child(key) == nil:
			c.add(join(at, key), "missing")
		case takes:
			c.within(join(at, key), v.Field(f), l)
		}
	}
	if r.Name == Rogues && r.Weight > 0 && len(c.sc.Rogues.Kinds) == 0 {
		c.add("rogue.kinds", "at least one entry is required")
	}
}

// combos checks that combinations consist of known kinds with ranges, and that kinds and combinations have weights
// where the plan draws them.
func (c *scenarioChecker) combos(table map[string]Kind) {
	stated := map[string]bool{}
	weight := 0.0
	for _, k := range c.sc.Kinds {
		stated[k.Name] = true
		weight += k.Weight
	}
	if weight == 0 && c.sc.Faults.Count.Hi > 0 && c.sc.Faults.Calm < 1 {
		c.add("kind", "no kind has a weight")
	}
	weight = 0
	for i, combo := range c.sc.Combos {
		weight += combo.Weight
		for n, k := range combo.Kinds {
			key := fmt.Sprintf("combo[%d].kinds[%d]", i, n)
			if _, ok := table[k]; !ok {
				c.add(key, "no such kind: %q", k)
			} else if !stated[k] {
				c.add(key, "%q has no ranges in the scenario", k)
			}
		}
	}
	if weight == 0 && c.sc.Faults.Combos > 0 {
		c.add("faults.combos", "no combination has a weight")
	}
}
