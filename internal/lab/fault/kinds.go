package fault

import (
	"slices"

	"olivebridge/internal/lab/figure"
)

// Kind describes one kind of fault.
type Kind struct {
	Name        string
	Description string
	Parameters  []Parameter
	apply       func(r *run, f *Fault) // starts the fault; nil for Rogues, which the world's rogue clients implement
}

// Parameter is a key that every fault of a kind sets. A fault sets no keys other than those of its kind.
type Parameter struct {
	Key    string
	Lo, Hi float64 // limits of a number; of a duration, in seconds
	Means  string  // empty: the meaning that the key has for all kinds
}

// Rogues is the kind under which clients that send requests which cannot be served are counted. A script lists them in
// its world instead of its faults, with their own start and duration.
const Rogues = "rogues"

// instantFaultDuration is the duration for which an instantaneous fault counts as active: after it, the affected
// attempts have timed out and the change has reached the nodes.
const instantFaultDuration = 3 * figure.Span(1e9)

// KindTable returns the kinds that apply to any nodes, in the order of the pages. FleetTable returns the other kinds.
func KindTable() []Kind {
	names := func(key string) Parameter { return Parameter{Key: key} }
	durationOf := func(lo float64, means string) Parameter { return Parameter{Key: "for", Lo: lo, Hi: 600, Means: means} }
	share := func(of string) Parameter { return Parameter{Key: "share", Lo: 0.001, Hi: 1, Means: of} }
	factor := func(lo float64, means string) Parameter {
		return Parameter{Key: "factor", Lo: lo, Hi: 1000, Means: means}
	}
	step := func(key string, hi float64, means string) Parameter { return Parameter{Key: key, Hi: hi, Means: means} }
	minimum := minFaultDuration.Seconds()
	duration := durationOf(minimum, "")
	peers, nodes, clients := names("peers"), names("nodes"), names("clients")
	rolling := []Parameter{
		durationOf(0.5, "from the drain of a peer until it ends"),
		step("turn_away", 60, "from the drain until it turns new requests away"),
		step("back", 60, "from its end until the next one starts there"),
		step("pause", 60, "between one peer's drain and the next one's"),
	}
	downtime := durationOf(minimum, "until they start again, cold")
	return []Kind{
		{"death", "the peers' processes die and come back cold", []Parameter{peers, downtime}, (*run).death},
		{"outage", "the same, of peers of one zone", []Parameter{names("zone"), peers, downtime}, (*run).death},
		{"slow", "the peers take times longer", []Parameter{peers, duration, factor(1, "times longer")}, (*run).slow},
		{"fail", "the peers quickly answer 500", []Parameter{peers, duration, share("of requests")}, (*run).fail},
		{"costly", "some requests of one class cost times more, at any peer",
			[]Parameter{names("class"), duration, share("of the class"), factor(1, "times more")}, (*run).costly},
		{"drain", "one peer after the other drains, ends and comes back cold under its name",
			slices.Concat([]Parameter{peers}, rolling), (*run).drain},
		{"release", "one peer after the other drains, ends and is replaced, at its address, under a new name",
			slices.Concat([]Parameter{peers, names("heirs")}, rolling), (*run).drain},
		{"replace", "the peers die and are replaced, at their addresses, under new names",
			[]Parameter{peers, names("heirs"), durationOf(minimum, "until the new ones start")}, (*run).replace},
		{"spoil", "the peers' answers cannot be read, or not to their end, or are longer than their length",
			[]Parameter{peers, duration, share("of answers")},
			(*run).spoil},
		{"surplus", "the peers send more than the answer", []Parameter{peers, duration, share("of answers")}, (*run).surplus},
		{"silent", "requests run and are never answered", []Parameter{peers, duration, share("of requests")}, (*run).silent},
		{"turnaway", "the peers turn requests away", []Parameter{peers, duration, share("of requests")},
			(*run).rejectRequests},
		{"break", "the peers' connections break with a request on them", []Parameter{peers, duration, share("of requests")},
			(*run).breaks},
		{"stall", "the peers stand still, and then go on", []Parameter{peers, durationOf(minimum, "")}, (*run).stall},
		{"hush", "connections from nodes to the peers, open now, fall silent for good",
			[]Parameter{peers, share("of connections")}, (*run).hush},
		{"hushing", "new connections to the peers fall silent with a request on them",
			[]Parameter{peers, duration, share("of connections")}, (*run).hushing},
		{"vanish", "the peers' machines say nothing, and then are there again", []Parameter{peers, duration}, (*run).vanish},
		{"discovery-down", "discovery refuses connections; watches end", []Parameter{duration}, (*run).discoveryDown},
		{"discovery-break", "calls to discovery break", []Parameter{duration, share("of calls")}, (*run).discoveryBreak},
		{"discovery-stall", "calls to discovery get no answer", []Parameter{duration, share("of calls")},
			(*run).discoveryStall},
		{"discovery-refuse", "calls to discovery get 503", []Parameter{duration, share("of calls")},
			(*run).discoveryRefuse},
		{"discovery-late", "what discovery learns shows later", []Parameter{duration, factor(1, "times later")},
			(*run).discoveryLate},
		{"discovery-garble", "discovery's answers cannot be read", []Parameter{duration, share("of answers")},
			(*run).discoveryGarble},
		{"discovery-blind", "discovery shows no change", []Parameter{duration}, (*run).discoveryBlind},
		{"move", "discovery goes to its other address, and every node is told by SIGHUP",
			[]Parameter{step("pause", 5, "until the first node is told, and from one node to the next")}, (*run).move},
		{"node-kill", "the nodes die; the front notices late",
			[]Parameter{nodes, durationOf(minimum, "until they start again")},
			(*run).nodeKill},
		{"node-restart", "the nodes get SIGTERM, then SIGKILL if they are still there, and start again",
			[]Parameter{nodes, durationOf(0.7, "until they start again")}, (*run).nodeRestart},
		{"node-reload", "the nodes get SIGHUP, with nothing changed", []Parameter{nodes}, (*run).nodeReload},
		{"maintenance", "operators suspend the peers at every node, restart them, and put them back",
			[]Parameter{peers, durationOf(2, "from the suspension until they are put back")}, (*run).maintenance},
		{"pause", "operators have the nodes emptied, and then back to work",
			[]Parameter{nodes, durationOf(1, "until they are back to work")}, (*run).pause},
		{"mute", "connections from clients to the nodes, open now, fall silent for good",
			[]Parameter{nodes, share("of connections")}, (*run).mute},
		{"cut", "the zone's machines and all others are cut apart", []Parameter{names("zone"), duration}, (*run).cut},
		{"slowlink", "the way to and from the peers takes longer", []Parameter{peers, duration, factor(1, "times longer")},
			(*run).slowLink},
		{"surge", "the clients ask more", []Parameter{clients, duration, factor(0.01, "times more")}, (*run).surge},
		{"leave", "more clients leave before their time", []Parameter{clients, duration, share("of requests")}, (*run).leave},
		{Rogues, "clients send what cannot be served", []Parameter{duration}, nil},
	}
}

// kinds returns the kinds of both tables by name.
func kinds() map[string]Kind {
	m := map[string]Kind{}
	for _, k := range append(KindTable(), FleetTable()...) {
		m[k.Name] = k
	}
	return m
}

func (k *Kind) parameter(key string) (Parameter, bool) {
	i := slices.IndexFunc(k.Parameters, func(t Parameter) bool { return t.Key == key })
	if i < 0 {
		return Parameter{}, false
	}
	return k.Parameters[i], true
}

func (k *Kind) hasParameter(key string) bool {
	_, ok := k.parameter(key)
	return ok
}

// activeDuration returns the duration from the start of a fault to its last action.
func (f *Fault) activeDuration() figure.Span {
	switch f.Kind {
	case "drain", "release":
		return f.For + f.Back + f.Pause*figure.Span(max(len(f.Peers)-1, 0))
	}
	return f.For
}

// Ends returns the time of a fault's last action. For an instantaneous fault it equals At.
func (f *Fault) Ends() figure.Span { return f.At + f.activeDuration() }

// overlapEnd returns the end of the time for which a fault counts as active.
func (f *Fault) overlapEnd() figure.Span { return f.At + max(f.activeDuration(), instantFaultDuration) }
