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

// Check reports what keeps a script from being played: names that stand twice
// or mean nobody, figures out of their limits, faults beyond the script's end.
func (s *Script) Check() error { return s.problems().first() }

// checker goes through a script.
type checker struct {
	problems
	s        *Script
	names    map[string]string // of machines and whatever else has a name of its own, and where it stands
	peers    map[string]*world.Peer
	heirs    map[string]string // and the fault that starts them
	zones    map[string]bool
	classes  map[string]bool
	tenants  map[string]bool
	nodes    map[string]bool
	clients  map[string]bool
	machines map[string]string // of peers that are there from the start, and whose
}

func (s *Script) problems() problems {
	c := &checker{s: s, names: map[string]string{}, peers: map[string]*world.Peer{}, heirs: map[string]string{},
		zones: map[string]bool{}, classes: map[string]bool{}, tenants: map[string]bool{},
		nodes: map[string]bool{}, clients: map[string]bool{}, machines: map[string]string{}}
	if s.Seed > math.MaxInt64 {
		c.add("seed", "%d is above %d", s.Seed, int64(math.MaxInt64))
	}
	c.figures()
	c.parts()
	c.hosts()
	c.crowds()
	table := kinds()
	for i := range s.Faults {
		c.fault(fmt.Sprintf("fault[%d]", i), &s.Faults[i], table)
	}
	for i, p := range s.World.Peers {
		if p.Late && c.heirs[p.Name] == "" {
			c.add(place("world.peer", i, "late"), "no fault starts %q", p.Name)
		}
	}
	return c.problems
}

// figures holds every figure against its limit.
func (c *checker) figures() {
	table := limits()
	see := func(key, bare string, v reflect.Value) {
		if why := table[bare].outside(v); why != "" {
			c.add(key, "%s", why)
		}
	}
	see("length", "length", reflect.ValueOf(c.s.Length))
	figures("world", "world", reflect.ValueOf(c.s.World), see)
}

// parts checks what others refer to: zones, classes, tenants, discovery.
func (c *checker) parts() {
	w := &c.s.World
	c.some("world.zones", len(w.Zones))
	for i, z := range w.Zones {
		c.unique(fmt.Sprintf("world.zones[%d]", i), z, c.zones)
	}
	c.some("world.class", len(w.Classes))
	for i, k := range w.Classes {
		c.unique(place("world.class", i, "name"), k.Name, c.classes)
		if k.Deadline < k.Objective {
			c.add(place("world.class", i, "deadline"), "%v is less than the aim, %v", k.Deadline.D(), k.Objective.D())
		}
	}
	c.some("world.tenant", len(w.Tenants))
	for i, t := range w.Tenants {
		c.unique(place("world.tenant", i, "name"), t.Name, c.tenants)
	}
	for _, at := range []struct{ key, addr string }{{"addr", w.Discovery.Addr}, {"spare", w.Discovery.Spare}} {
		key := "world.discovery." + at.key
		host, port, err := net.SplitHostPort(at.addr)
		if err != nil || port == "" {
			c.add(key, "not host:port: %q", at.addr)
			continue
		}
		c.own(key, host)
	}
}

// hosts checks nodes and peers.
func (c *checker) hosts() {
	w := &c.s.World
	c.some("world.node", len(w.Nodes))
	for i, n := range w.Nodes {
		c.own(place("world.node", i, "name"), n.Name)
		c.known(place("world.node", i, "zone"), "zone", n.Zone, c.zones)
		c.nodes[n.Name] = true
	}
	early := 0
	for i := range w.Peers {
		p := &w.Peers[i]
		c.own(place("world.peer", i, "name"), p.Name)
		c.known(place("world.peer", i, "zone"), "zone", p.Zone, c.zones)
		c.peers[p.Name] = p
		if p.Late {
			continue
		}
		early++
		if other := c.machines[host(*p)]; other != "" && other != p.Name {
			c.add(place("world.peer", i, "host"), "%q is there already, for %s", host(*p), other)
		}
		c.machines[host(*p)] = p.Name
	}
	c.some("world.peer", early)
	for i, p := range w.Peers {
		key := place("world.peer", i, "host")
		if p.Host == "" {
			continue
		}
		if !plain(p.Host) {
			c.add(key, notPlain, p.Host)
		}
		if owner := c.names[p.Host]; owner != "" && c.peers[p.Host] == nil {
			c.add(key, "%q is no peer's machine, see %s", p.Host, owner)
		}
	}
}

// crowds checks clients and rogues.
func (c *checker) crowds() {
	w := &c.s.World
	c.some("world.clients", len(w.Clients))
	for i, k := range w.Clients {
		c.own(place("world.clients", i, "name"), k.Name)
		c.clients[k.Name] = true
		c.known(place("world.clients", i, "zone"), "zone", k.Zone, c.zones)
		c.known(place("world.clients", i, "tenant"), "tenant", k.Tenant, c.tenants)
		sum := 0.0
		for _, class := range sortedKeys(k.Mix) {
			key := place("world.clients", i, "mix."+class)
			c.known(key, "class", class, c.classes)
			if why := (limit{lo: 0, hi: 1}).outside(reflect.ValueOf(k.Mix[class])); why != "" {
				c.add(key, "%s", why)
			}
			sum += k.Mix[class]
		}
		if !(sum > 0.99 && sum < 1.01) {
			c.add(place("world.clients", i, "mix"), "shares add up to %s, not 1", text(figure.Round(sum, 3)))
		}
	}
	for i, k := range w.Malformed {
		c.own(place("world.rogue", i, "name"), k.Name)
		c.known(place("world.rogue", i, "zone"), "zone", k.Zone, c.zones)
		if !slices.Contains(rogueKinds(), k.Kind) {
			c.add(place("world.rogue", i, "kind"), "no such kind: %q", k.Kind)
		}
		if end := k.From + k.For; end > c.s.Length {
			c.add(place("world.rogue", i, "for"), "goes on until %v, the script until %v", end.D(), c.s.Length.D())
		}
	}
}

// fault checks one fault against what its kind takes.
func (c *checker) fault(at string, f *Fault, table map[string]Kind) {
	k, ok := table[f.Kind]
	switch {
	case !ok:
		c.add(at+".kind", "no such kind: %q", f.Kind)
		return
	case k.set == nil:
		c.add(at+".kind", "%q is stated in the world, as world.rogue", f.Kind)
		return
	}
	v := reflect.ValueOf(*f)
	for n := range v.NumField() {
		key := name(v.Type().Field(n))
		take, takes := k.take(key)
		switch field := v.Field(n); {
		case key == "kind" || key == "at":
		case !takes && !field.IsZero():
			c.add(join(at, key), "%s takes none", f.Kind)
		case takes && field.Kind() == reflect.Slice:
			c.mentions(join(at, key), key, field.Interface().([]string))
		case takes && field.Kind() == reflect.String:
			set := map[string]map[string]bool{"zone": c.zones, "class": c.classes}[key]
			c.known(join(at, key), key, field.String(), set)
		case takes:
			if why := (limit{lo: take.Lo, hi: take.Hi}).outside(field); why != "" {
				c.add(join(at, key), "%s", why)
			}
		}
	}
	if end := f.At + f.busy(); f.At >= c.s.Length || end > c.s.Length {
		c.add(at+".at", "goes on until %v, the script until %v", end.D(), c.s.Length.D())
	}
	if least := killAfter(&c.s.World); f.Kind == "node-restart" && f.For < least {
		c.add(at+".for", "%v is less than the %v that a platform leaves a node to end", f.For.D(), least.D())
	}
	c.heirsOf(at, f, &k)
	if k.takes("zone") && k.takes("peers") {
		for i, name := range f.Peers {
			if p := c.peers[name]; p != nil && p.Zone != f.Zone {
				c.add(fmt.Sprintf("%s.peers[%d]", at, i), "%q is in zone %q", name, p.Zone)
			}
		}
	}
	if f.Kind == "cut" && len(c.zones) < 2 {
		c.add(at+".zone", "there is no other zone to cut it from")
	}
}

// killAfter is how long after SIGTERM a node may be killed at the earliest: the
// longest deadline, counted as 3 s if it is longer, and 0.7 s.
func killAfter(w *world.Config) figure.Span {
	var longest figure.Span
	for _, k := range w.Classes {
		longest = max(longest, k.Deadline)
	}
	return min(longest, 3*figure.Span(time.Second)) + figure.Span(700*time.Millisecond)
}

// heirsOf checks who takes whose place.
func (c *checker) heirsOf(at string, f *Fault, k *Kind) {
	if !k.takes("heirs") {
		return
	}
	if len(f.Heirs) != len(f.Peers) {
		c.add(at+".heirs", "%d for %d peers", len(f.Heirs), len(f.Peers))
		return
	}
	for i, name := range f.Heirs {
		key := fmt.Sprintf("%s.heirs[%d]", at, i)
		heir, old := c.peers[name], c.peers[f.Peers[i]]
		switch {
		case heir == nil || old == nil:
		case !heir.Late:
			c.add(key, "%q is there from the start, and not late", name)
		case c.heirs[name] != "":
			c.add(key, "%q is started by %s already", name, c.heirs[name])
		case host(*heir) != host(*old):
			c.add(key, "%q has not the host of %q", name, old.Name)
		}
		c.heirs[name] = at
	}
}

// mentions checks a fault's list of names.
func (c *checker) mentions(key, what string, names []string) {
	c.some(key, len(names))
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
		c.known(at, strings.TrimSuffix(what, "s"), n, known)
		if seen[n] {
			c.add(at, "%q stands twice", n)
		}
		seen[n] = true
	}
}

func (c *checker) some(key string, n int) {
	if n == 0 {
		c.add(key, "there must be one at least")
	}
}

// unique takes in a name that must not be there yet.
func (c *checker) unique(key, name string, set map[string]bool) {
	if !plain(name) {
		c.add(key, notPlain, name)
	}
	if set[name] {
		c.add(key, "%q stands twice", name)
	}
	set[name] = true
}

// own takes in the name of something that is met on the network.
func (c *checker) own(key, name string) {
	if !plain(name) {
		c.add(key, notPlain, name)
	}
	if at, ok := c.names[name]; ok {
		c.add(key, "%q is the name of %s already", name, at)
		return
	}
	c.names[name] = key
}

func (c *checker) known(key, what, name string, set map[string]bool) {
	if !set[name] {
		c.add(key, "no such %s: %q", what, name)
	}
}

const notPlain = "not a name of lower-case letters, digits, - and .: %q"

// plain guards the names of connections, which are made of hosts, '>' and '#'.
func plain(name string) bool {
	return name != "" && len(name) <= 60 && !strings.ContainsFunc(name, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '.'
	})
}

func place(list string, i int, key string) string { return fmt.Sprintf("%s[%d].%s", list, i, key) }

func sortedKeys(m map[string]float64) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
