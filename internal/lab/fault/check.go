package fault

import (
	"fmt"
	"math"
	"net"
	"reflect"
	"slices"
	"strings"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/world"
)

// Check returns the first reason for which a script cannot be played: a duplicate or unknown name, a number outside
// its limits, or a fault that lasts beyond the script's end.
func (s *Script) Check() error { return s.problems().first() }

// checker collects the problems of a script.
type checker struct {
	problems
	s         *Script
	names     map[string]string // key by name of each machine and other entity on the network
	peers     map[string]*world.Peer
	startedBy map[string]string // key of the fault that starts each late peer, by the peer's name
	zones     map[string]bool
	classes   map[string]bool
	tenants   map[string]bool
	nodes     map[string]bool
	clients   map[string]bool
	machines  map[string]string // name of the peer by host, for peers that run from the start
}

func (s *Script) problems() problems {
	c := &checker{s: s, names: map[string]string{}, peers: map[string]*world.Peer{}, startedBy: map[string]string{},
		zones: map[string]bool{}, classes: map[string]bool{}, tenants: map[string]bool{},
		nodes: map[string]bool{}, clients: map[string]bool{}, machines: map[string]string{}}
	if s.Seed > math.MaxInt64 {
		c.add("seed", "%d is greater than %d", s.Seed, int64(math.MaxInt64))
	}
	c.checkLimits()
	c.checkReferenced()
	c.checkHosts()
	c.checkClients()
	table := kinds()
	for i := range s.Faults {
		c.checkFault(fmt.Sprintf("fault[%d]", i), &s.Faults[i], table)
	}
	for i, p := range s.World.Peers {
		if p.Late && c.startedBy[p.Name] == "" {
			c.add(fieldKey("world.peer", i, "late"), "no fault starts %q", p.Name)
		}
	}
	return c.problems
}

// checkLimits checks every number outside of the faults against its limit.
func (c *checker) checkLimits() {
	table := limits()
	see := func(key, bare string, v reflect.Value) {
		if why := table[bare].violation(v); why != "" {
			c.add(key, "%s", why)
		}
	}
	see("length", "length", reflect.ValueOf(c.s.Length))
	visitNumbers("world", "world", reflect.ValueOf(c.s.World), see)
}

// checkReferenced checks the entities that others refer to: zones, classes, tenants and discovery.
func (c *checker) checkReferenced() {
	w := &c.s.World
	c.requireNonEmpty("world.zones", len(w.Zones))
	for i, z := range w.Zones {
		c.unique(fmt.Sprintf("world.zones[%d]", i), z, c.zones)
	}
	c.requireNonEmpty("world.class", len(w.Classes))
	for i, k := range w.Classes {
		c.unique(fieldKey("world.class", i, "name"), k.Name, c.classes)
		if k.Deadline < k.Objective {
			c.add(fieldKey("world.class", i, "deadline"), "%v is less than the aim, %v", k.Deadline.D(), k.Objective.D())
		}
	}
	c.requireNonEmpty("world.tenant", len(w.Tenants))
	for i, t := range w.Tenants {
		c.unique(fieldKey("world.tenant", i, "name"), t.Name, c.tenants)
	}
	for _, at := range []struct{ key, addr string }{{"addr", w.Discovery.Addr}, {"spare", w.Discovery.Spare}} {
		key := "world.discovery." + at.key
		host, port, err := net.SplitHostPort(at.addr)
		if err != nil || port == "" {
			c.add(key, "not host:port: %q", at.addr)
			continue
		}
		c.uniqueHost(key, host)
	}
}

// checkHosts checks nodes and peers.
func (c *checker) checkHosts() {
	w := &c.s.World
	c.requireNonEmpty("world.node", len(w.Nodes))
	for i, n := range w.Nodes {
		c.uniqueHost(fieldKey("world.node", i, "name"), n.Name)
		c.requireKnown(fieldKey("world.node", i, "zone"), "zone", n.Zone, c.zones)
		c.nodes[n.Name] = true
	}
	early := 0
	for i := range w.Peers {
		p := &w.Peers[i]
		c.uniqueHost(fieldKey("world.peer", i, "name"), p.Name)
		c.requireKnown(fieldKey("world.peer", i, "zone"), "zone", p.Zone, c.zones)
		c.peers[p.Name] = p
		if p.Late {
			continue
		}
		early++
		if other := c.machines[host(*p)]; other != "" && other != p.Name {
			c.add(fieldKey("world.peer", i, "host"), "%q is already the host of %s", host(*p), other)
		}
		c.machines[host(*p)] = p.Name
	}
	c.requireNonEmpty("world.peer", early)
	for i, p := range w.Peers {
		key := fieldKey("world.peer", i, "host")
		if p.Host == "" {
			continue
		}
		if !validName(p.Host) {
			c.add(key, invalidNameFormat, p.Host)
		}
		if owner := c.names[p.Host]; owner != "" && c.peers[p.Host] == nil {
			c.add(key, "%q is not the host of a peer but %s", p.Host, owner)
		}
	}
}

// checkClients checks clients and rogues (clients that send malformed requests).
func (c *checker) checkClients() {
	w := &c.s.World
	c.requireNonEmpty("world.clients", len(w.Clients))
	for i, k := range w.Clients {
		c.uniqueHost(fieldKey("world.clients", i, "name"), k.Name)
		c.clients[k.Name] = true
		c.requireKnown(fieldKey("world.clients", i, "zone"), "zone", k.Zone, c.zones)
		c.requireKnown(fieldKey("world.clients", i, "tenant"), "tenant", k.Tenant, c.tenants)
		sum := 0.0
		for _, class := range sortedKeys(k.Mix) {
			key := fieldKey("world.clients", i, "mix."+class)
			c.requireKnown(key, "class", class, c.classes)
			if why := (limit{lo: 0, hi: 1}).violation(reflect.ValueOf(k.Mix[class])); why != "" {
				c.add(key, "%s", why)
			}
			sum += k.Mix[class]
		}
		if !(sum > 0.99 && sum < 1.01) {
			c.add(fieldKey("world.clients", i, "mix"), "shares add up to %s, not 1", formatFloat(figure.Round(sum, 3)))
		}
	}
	for i, k := range w.Malformed {
		c.uniqueHost(fieldKey("world.rogue", i, "name"), k.Name)
		c.requireKnown(fieldKey("world.rogue", i, "zone"), "zone", k.Zone, c.zones)
		if !slices.Contains(rogueKinds(), k.Kind) {
			c.add(fieldKey("world.rogue", i, "kind"), "no such kind: %q", k.Kind)
		}
		if end := k.From + k.For; end > c.s.Length {
			c.add(fieldKey("world.rogue", i, "for"), "ends at %v, after the end of the script at %v", end.D(), c.s.Length.D())
		}
	}
}

// checkFault checks one fault against the parameters of its kind.
func (c *checker) checkFault(at string, f *Fault, table map[string]Kind) {
	k, ok := table[f.Kind]
	switch {
	case !ok:
		c.add(at+".kind", "no such kind: %q", f.Kind)
		return
	case k.apply == nil:
		c.add(at+".kind", "%q is listed in the world, as world.rogue", f.Kind)
		return
	}
	v := reflect.ValueOf(*f)
	for n := range v.NumField() {
		key := tomlKey(v.Type().Field(n))
		take, takes := k.parameter(key)
		switch field := v.Field(n); {
		case key == "kind" || key == "at":
		case !takes && !field.IsZero():
			c.add(join(at, key), "kind %s has no such parameter", f.Kind)
		case takes && field.Kind() == reflect.Slice:
			c.checkNames(join(at, key), key, field.Interface().([]string))
		case takes && field.Kind() == reflect.String:
			set := map[string]map[string]bool{"zone": c.zones, "class": c.classes}[key]
			c.requireKnown(join(at, key), key, field.String(), set)
		case takes:
			if why := (limit{lo: take.Lo, hi: take.Hi}).violation(field); why != "" {
				c.add(join(at, key), "%s", why)
			}
		}
	}
	if end := f.At + f.activeDuration(); f.At >= c.s.Length || end > c.s.Length {
		c.add(at+".at", "ends at %v, after the end of the script at %v", end.D(), c.s.Length.D())
	}
	if least := minRestartDuration(&c.s.World); f.Kind == "node-restart" && f.For < least {
		c.add(at+".for", "%v is less than %v, the minimum from SIGTERM until a platform kills a node", f.For.D(), least.D())
	}
	c.checkReplacements(at, f, &k)
	if k.hasParameter("zone") && k.hasParameter("peers") {
		for i, name := range f.Peers {
			if p := c.peers[name]; p != nil && p.Zone != f.Zone {
				c.add(fmt.Sprintf("%s.peers[%d]", at, i), "%q is in zone %q", name, p.Zone)
			}
		}
	}
	if f.Kind == "cut" && len(c.zones) < 2 {
		c.add(at+".zone", "the world has no other zone to cut it off from")
	}
}

// minRestartDuration returns the minimum duration from SIGTERM until a node may be killed: the longest deadline of a
// class, limited to 3 s, plus 0.7 s.
func minRestartDuration(w *world.Config) figure.Span {
	var longest figure.Span
	for _, k := range w.Classes {
		longest = max(longest, k.Deadline)
	}
	return min(longest, 3*figure.Span(time.Second)) + figure.Span(700*time.Millisecond)
}

// checkReplacements checks that each replacement is a late peer with the host of the peer that it replaces, and that
// no other fault starts it.
func (c *checker) checkReplacements(at string, f *Fault, k *Kind) {
	if !k.hasParameter("heirs") {
		return
	}
	if len(f.Replacements) != len(f.Peers) {
		c.add(at+".heirs", "%d replacements for %d peers", len(f.Replacements), len(f.Peers))
		return
	}
	for i, name := range f.Replacements {
		key := fmt.Sprintf("%s.heirs[%d]", at, i)
		replacement, old := c.peers[name], c.peers[f.Peers[i]]
		switch {
		case replacement == nil || old == nil:
		case !replacement.Late:
			c.add(key, "%q runs from the start and is not late", name)
		case c.startedBy[name] != "":
			c.add(key, "%q is already started by %s", name, c.startedBy[name])
		case host(*replacement) != host(*old):
			c.add(key, "%q does not have the host of %q", name, old.Name)
		}
		c.startedBy[name] = at
	}
}

// checkNames checks that a fault's list of names is not empty and holds only known names, each once.
func (c *checker) checkNames(key, what string, names []string) {
	c.requireNonEmpty(key, len(names))
	seen := map[string]bool{}
	for i, n := range names {
		at := fmt.Sprintf("%s[%d]", key, i)
		known := map[string]bool{n: c.peers[n] != nil}
		switch what {
		case "nodes":
			known = c.nodes
		case "clients":
			known = c.clients
		}
		c.requireKnown(at, strings.TrimSuffix(what, "s"), n, known)
		if seen[n] {
			c.add(at, "%q is listed twice", n)
		}
		seen[n] = true
	}
}

func (c *checker) requireNonEmpty(key string, n int) {
	if n == 0 {
		c.add(key, "at least one entry is required")
	}
}

// unique adds a name to the set and reports a name that is invalid or already in it.
func (c *checker) unique(key, name string, set map[string]bool) {
	if !validName(name) {
		c.add(key, invalidNameFormat, name)
	}
	if set[name] {
		c.add(key, "%q is listed twice", name)
	}
	set[name] = true
}

// uniqueHost records the name of an entity on the network and reports a name that is invalid or already used.
func (c *checker) uniqueHost(key, name string) {
	if !validName(name) {
		c.add(key, invalidNameFormat, name)
	}
	if at, ok := c.names[name]; ok {
		c.add(key, "%q is already the name of %s", name, at)
		return
	}
	c.names[name] = key
}

func (c *checker) requireKnown(key, what, name string, set map[string]bool) {
	if !set[name] {
		c.add(key, "no such %s: %q", what, name)
	}
}

const invalidNameFormat = "not a name of lower-case letters, digits, - and .: %q"

// validName reports whether a name may be used. Names of connections are composed of hosts, '>' and '#', so that a
// host must contain neither.
func validName(name string) bool {
	return name != "" && len(name) <= 60 && !strings.ContainsFunc(name, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '.'
	})
}

func fieldKey(list string, i int, key string) string { return fmt.Sprintf("%s[%d].%s", list, i, key) }

func sortedKeys(m map[string]float64) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
