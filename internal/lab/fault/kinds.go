package fault

import (
	"slices"

	"olivebridge/internal/lab/figure"
)

// Kind is one kind of fault.
type Kind struct {
	Name        string
	Description string
	Parameters  []Parameter
	apply       func(r *run, f *Fault) // at its instant; nil: the world's rogues see to it
}

// Parameter is a key that a fault of a kind states; it states no others.
type Parameter struct {
	Key    string
	Lo, Hi float64 // of a figure, in seconds if it is a length of time
	Means  string  // empty: as the script's form has it
}

// Rogues is the kind under which clients that send what cannot be served are
// counted; scripts state them in their world, with times of their own.
const Rogues = "rogues"

// instantFaultDuration is for how long a fault that is done in an instant is counted as
// there: by then its tries have timed out, and its news has reached the nodes.
const instantFaultDuration = 3 * figure.Span(1e9)

// KindTable lists the kinds that any nodes can be played under, in the order of the pages; see FleetTable for the others.
func KindTable() []Kind {
	names := func(key string) Parameter { return Parameter{Key: key} }
	lasts := func(lo float64, means string) Parameter { return Parameter{Key: "for", Lo: lo, Hi: 600, Means: means} }
	share := func(of string) Parameter { return Parameter{Key: "share", Lo: 0.001, Hi: 1, Means: of} }
	factor := func(lo float64, means string) Parameter {
		return Parameter{Key: "factor", Lo: lo, Hi: 1000, Means: means}
	}
	step := func(key string, hi float64, means string) Parameter { return Parameter{Key: key, Hi: hi, Means: means} }
	brief := minFaultDuration.Seconds()
	while := lasts(brief, "")
	peers, nodes, clients := names("peers"), names("nodes"), names("clients")
	rolling := []Parameter{
		lasts(0.5, "from the drain of a peer until it ends"),
		step("turn_away", 60, "from the drain until it turns new requests away"),
		step("back", 60, "from its end until the next one starts there"),
		step("pause", 60, "between one peer's drain and the next one's"),
	}
	away := lasts(brief, "until they start again, cold")
	return []Kind{
		{"death", "the peers' processes die and come back cold", []Parameter{peers, away}, (*run).death},
		{"outage", "the same, of peers of one zone", []Parameter{names("zone"), peers, away}, (*run).death},
		{"slow", "the peers take times longer", []Parameter{peers, while, factor(1, "times longer")}, (*run).slow},
		{"fail", "the peers quickly answer 500", []Parameter{peers, while, share("of requests")}, (*run).fail},
		{"costly", "some requests of one class cost times more, at any peer",
			[]Parameter{names("class"), while, share("of the class"), factor(1, "times more")}, (*run).costly},
		{"drain", "one peer after the other drains, ends and comes back cold under its name",
			slices.Concat([]Parameter{peers}, rolling), (*run).drain},
		{"release", "one peer after the other drains, ends and is replaced, at its address, under a new name",
			slices.Concat([]Parameter{peers, names("heirs")}, rolling), (*run).drain},
		{"replace", "the peers die and are replaced, at their addresses, under new names",
			[]Parameter{peers, names("heirs"), lasts(brief, "until the new ones start")}, (*run).replace},
		{"spoil", "the peers' answers cannot be read, or not to their end", []Parameter{peers, while, share("of answers")},
			(*run).spoil},
		{"surplus", "the peers send more than the answer", []Parameter{peers, while, share("of answers")}, (*run).surplus},
		{"silent", "requests run and are never answered", []Parameter{peers, while, share("of requests")}, (*run).silent},
		{"turnaway", "the peers turn requests away", []Parameter{peers, while, share("of requests")}, (*run).turnAway},
		{"break", "the peers' connections break with a request on them", []Parameter{peers, while, share("of requests")},
			(*run).breaks},
		{"stall", "the peers stand still, and then go on", []Parameter{peers, lasts(brief, "")}, (*run).stall},
		{"hush", "connections from nodes to the peers, open now, fall silent for good",
			[]Parameter{peers, share("of connections")}, (*run).hush},
		{"hushing", "new connections to the peers fall silent with a request on them",
			[]Parameter{peers, while, share("of connections")}, (*run).hushing},
		{"vanish", "the peers' machines say nothing, and then are there again", []Parameter{peers, while}, (*run).vanish},
		{"discovery-down", "discovery refuses connections; watches end", []Parameter{while}, (*run).discoveryDown},
		{"discovery-break", "calls to discovery break", []Parameter{while, share("of calls")}, (*run).discoveryBreak},
		{"discovery-stall", "calls to discovery get no answer", []Parameter{while, share("of calls")},
			(*run).discoveryStall},
		{"discovery-refuse", "calls to discovery get 503", []Parameter{while, share("of calls")},
			(*run).discoveryRefuse},
		{"discovery-late", "what discovery learns shows later", []Parameter{while, factor(1, "times later")},
			(*run).discoveryLate},
		{"discovery-garble", "discovery's answers cannot be read", []Parameter{while, share("of answers")},
			(*run).discoveryGarble},
		{"discovery-blind", "discovery shows no change", []Parameter{while}, (*run).discoveryBlind},
		{"move", "discovery goes to its other address, and every node is told by SIGHUP",
			[]Parameter{step("pause", 5, "until the first node is told, and from one node to the next")}, (*run).move},
		{"node-kill", "the nodes die; the front notices late", []Parameter{nodes, lasts(brief, "until they start again")},
			(*run).nodeKill},
		{"node-restart", "the nodes get SIGTERM, then SIGKILL if they are still there, and start again",
			[]Parameter{nodes, lasts(0.7, "until they start again")}, (*run).nodeRestart},
		{"node-reload", "the nodes get SIGHUP, with nothing changed", []Parameter{nodes}, (*run).nodeReload},
		{"maintenance", "operators suspend the peers at every node, restart them, and put them back",
			[]Parameter{peers, lasts(2, "from the suspension until they are put back")}, (*run).maintenance},
		{"pause", "operators have the nodes emptied, and then back to work",
			[]Parameter{nodes, lasts(1, "until they are back to work")}, (*run).pause},
		{"mute", "connections from clients to the nodes, open now, fall silent for good",
			[]Parameter{nodes, share("of connections")}, (*run).mute},
		{"cut", "the zone's machines and all others are cut apart", []Parameter{names("zone"), while}, (*run).cut},
		{"slowlink", "the way to and from the peers takes longer", []Parameter{peers, while, factor(1, "times longer")},
			(*run).slowLink},
		{"surge", "the clients ask more", []Parameter{clients, while, factor(0.01, "times more")}, (*run).surge},
		{"leave", "more clients leave before their time", []Parameter{clients, while, share("of requests")}, (*run).leave},
		{Rogues, "clients send what cannot be served", []Parameter{while}, nil},
	}
}

// kinds is the table by name.
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

// activeDuration is for how long a fault has something to do.
func (f *Fault) activeDuration() figure.Span {
	switch f.Kind {
	case "drain", "release":
		return f.For + f.Back + f.Pause*figure.Span(max(len(f.Peers)-1, 0))
	}
	return f.For
}

// Ends is when it has done what it does: at its own instant, where that takes no time.
func (f *Fault) Ends() figure.Span { return f.At + f.activeDuration() }

// overlapEnd is the end of the time for which it counts as there.
func (f *Fault) overlapEnd() figure.Span { return f.At + max(f.activeDuration(), instantFaultDuration) }
