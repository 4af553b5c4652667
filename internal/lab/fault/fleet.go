package fault

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"olivebridge/internal/lab/figure"
)

// Fleet is the additional target of faults for nodes that are processes of one fleet: their network and their
// directories. Its methods are called on the loop.
type Fleet interface {
	// Stop stops a node's process with SIGSTOP; goOn resumes it.
	Stop(node string) (goOn func())
	// Cut drops all traffic in the direction from the nodes of one set to those of the other.
	Cut(from, to func(node string) bool) (heal func())
	// Impair impairs the traffic in the direction from the nodes of one set to those of the other.
	Impair(from, to func(node string) bool, a Impairment) (heal func())
	// Upgrade starts a node's next process, which takes over from the one in service. Once it serves, both do for the
	// duration overlap, before the earlier process is told to end.
	Upgrade(node string, overlap time.Duration)
	// Move changes the address at which the other nodes reach the next processes of a node.
	Move(node string)
	// StartDuplicate starts a foreign process under a node's name, with its own address and directory.
	StartDuplicate(node string) (end func())
	// Amounts sets the budget amounts in the fleet files of all nodes to a share of the original ones and reloads them.
	Amounts(share float64)
	// Clock sets the offset of the wall clock of a node's next processes.
	Clock(node string, by time.Duration)
	// Voters sets the voters in the fleet files of all nodes and reloads them.
	Voters(names []string)
	// At pauses a node's process when it next reaches the step, then calls at with a function that resumes it.
	At(node, step string, at func(goOn func()))
	// DamageDirectory damages a node's directory before its next start; mend repairs it.
	DamageDirectory(node string, how DirectoryFault) (mend func())
}

// Impairment impairs the link between two nodes. Shares are of packets, or of a stream's segments; Delay is added to
// each.
type Impairment struct {
	Lose, Double, Reorder, Reset float64
	Delay                        time.Duration
}

// DirectoryFault is a kind of damage to a node's directory.
type DirectoryFault string

// The kinds of damage to a directory.
const (
	Full       DirectoryFault = "full"
	Unwritable DirectoryFault = "unwritable"
	Foreign    DirectoryFault = "foreign" // the directory of another node
	Emptied    DirectoryFault = "emptied" // an empty directory does not prevent a start
	Torn       DirectoryFault = "torn"    // the stored incarnation file is truncated to half its length
)

// fleetTarget is a Target whose nodes form a fleet.
type fleetTarget interface{ Fleet() Fleet }

// FleetTable returns the kinds that require nodes which are processes of one fleet, in the order of the pages.
func FleetTable() []Kind {
	nodes := Parameter{Key: "nodes"}
	minimum := minFaultDuration.Seconds()
	duration := Parameter{Key: "for", Lo: minimum, Hi: 600}
	share := func(of string) Parameter { return Parameter{Key: "share", Lo: 0.001, Hi: 1, Means: of} }
	downtime := Parameter{Key: "for", Lo: 0.2, Hi: 600, Means: "until they start again"}
	damage := func(how DirectoryFault) func(r *run, f *Fault) {
		return func(r *run, f *Fault) { r.damageDirectory(f, how) }
	}
	return append([]Kind{
		{"fleet-stop", "the nodes' processes stand still (SIGSTOP), and then go on",
			[]Parameter{nodes, duration}, (*run).fleetStop},
		{"fleet-split", "the nodes and all others are cut apart", []Parameter{nodes, duration}, (*run).fleetSplit},
		{"fleet-deaf", "the nodes hear nothing of the others, who hear them", []Parameter{nodes, duration}, (*run).fleetDeaf},
		{"fleet-mute", "the others hear nothing of the nodes, who hear them", []Parameter{nodes, duration}, (*run).fleetMute},
		{"fleet-apart", "the nodes are cut apart from each other, while the others reach them all",
			[]Parameter{nodes, duration}, (*run).fleetApart},
		{"fleet-lossy", "messages between the nodes and others get lost", []Parameter{nodes, duration, share("of messages")},
			(*run).fleetLossy},
		{"fleet-double", "they come twice", []Parameter{nodes, duration, share("of messages")}, (*run).fleetDouble},
		{"fleet-reorder", "they overtake each other",
			[]Parameter{nodes, duration, share("of messages")}, (*run).fleetReorder},
		{"fleet-late", "they take longer", []Parameter{nodes, duration,
			{Key: "pause", Hi: 5, Means: "by which each is late, each way"}}, (*run).fleetLate},
		{"fleet-reset", "connections between the nodes and others break", []Parameter{nodes, duration, share("of pieces")},
			(*run).fleetReset},
		{"fleet-upgrade", "a next process of each of the nodes takes over from the one in service", []Parameter{nodes,
			{Key: "pause", Hi: 5, Means: "for which both serve"}}, (*run).fleetUpgrade},
		{"fleet-move", "the nodes die and come back at other addresses among the nodes", []Parameter{nodes, downtime},
			(*run).fleetMove},
		{"fleet-twin", "strangers live under the nodes' names", []Parameter{nodes, duration}, (*run).fleetTwin},
		{"fleet-full", "the nodes die, and cannot start for a full disk", []Parameter{nodes, downtime}, damage(Full)},
		{"fleet-unwritable", "the nodes die, and cannot start since they cannot write",
			[]Parameter{nodes, downtime}, damage(Unwritable)},
		{"fleet-foreign", "the nodes die, and cannot start in another node's directory",
			[]Parameter{nodes, downtime}, damage(Foreign)},
		{"fleet-torn", "the nodes die, and cannot start since what they kept was cut in half",
			[]Parameter{nodes, downtime}, damage(Torn)},
		{"fleet-amounts", "all fleet files say a share of each budget's amount, and are read again", []Parameter{duration,
			share("of the amounts")}, (*run).fleetAmounts},
		{"fleet-keepers", "all fleet files name the nodes as voters, in a higher edition, and are read again",
			[]Parameter{nodes},
			(*run).fleetVoters},
		{"fleet-emptied", "the nodes die and come back with empty directories",
			[]Parameter{nodes, downtime}, damage(Emptied)},
		{"fleet-clock", "the nodes die, and live with a wall clock that is an hour ahead until they die again",
			[]Parameter{nodes, duration},
			(*run).fleetClock},
	}, callStepKinds(nodes, duration)...)
}

// callStepKinds returns the kinds that act on a process when it reaches a step of a recorded call.
func callStepKinds(takes ...Parameter) (all []Kind) {
	for _, step := range callSteps() {
		for _, act := range []struct{ name, means string }{{"kill", "dies"}, {"stop", "stands still"},
			{"cut", "is cut off from the others"}} {
			all = append(all, Kind{fmt.Sprintf("fleet-%s-at-%s", act.name, step),
				fmt.Sprintf("a node %s just as a kept call of it is %s", act.means,
					strings.ReplaceAll(step, "-", " ")), takes, func(r *run, f *Fault) { r.atCallStep(f, act.name, step) }})
		}
	}
	return all
}

// callSteps returns the steps of a recorded call at which a fault can act on a process, in the order in which
// a call reaches them.
func callSteps() []string {
	return []string{"before-permission", "with-permission", "answered", "recorded"}
}

// atCallStep kills, stops or isolates each node of the fault when the node next reaches the step of a call.
func (r *run) atCallStep(f *Fault, act, step string) {
	for _, name := range f.Nodes {
		n, l := r.target.Node(name), r.nodes[name]
		r.fleet().At(name, step, func(goOn func()) {
			defer goOn()
			switch {
			case n.Down() || l.holds > 0:
			case act == "kill":
				r.hold(l, n, f.For.D())
			case act == "stop":
				r.after(f.For.D(), r.fleet().Stop(name))
			default:
				one := &Fault{Nodes: []string{name}, For: f.For}
				r.fleetSplit(one)
			}
		})
	}
}

// FirstFleetKind returns the kind of the first fault that requires nodes which are processes of one fleet, or the empty
// string if there is none.
func (s *Script) FirstFleetKind() string {
	for _, f := range s.Faults {
		if isFleetKind(f.Kind) {
			return f.Kind
		}
	}
	return ""
}

// isFleetKind reports whether a kind requires nodes which are processes of one fleet.
func isFleetKind(kind string) bool { return strings.HasPrefix(kind, "fleet-") }

// DrawFaults draws faults of the given kinds according to the plan and adds them to a script whose world is set.
func (s *Script) DrawFaults(kinds []KindRanges, plan FaultPlan) {
	d := &drawer{sc: &Scenario{Kinds: kinds, Faults: plan}, s: s}
	d.faults()
}

// SecondsRange returns a range of durations whose ends are given in seconds.
func SecondsRange(lo, hi float64) Spans {
	return Spans{figure.Span(figure.Seconds(lo)), figure.Span(figure.Seconds(hi))}
}

// fleet returns the fleet that the run's nodes form, or nil if they are independent.
func (r *run) fleet() Fleet {
	if c, ok := r.target.(fleetTarget); ok {
		return c.Fleet()
	}
	return nil
}

func inSet(names []string) func(string) bool {
	return func(n string) bool { return slices.Contains(names, n) }
}

func notInSet(names []string) func(string) bool {
	return func(n string) bool { return !slices.Contains(names, n) }
}

func (r *run) fleetStop(f *Fault) {
	for _, name := range f.Nodes {
		if r.nodes[name].holds == 0 && !r.target.Node(name).Down() {
			r.after(f.For.D(), r.fleet().Stop(name))
		}
	}
}

func (r *run) fleetSplit(f *Fault) {
	r.after(f.For.D(), r.fleet().Cut(inSet(f.Nodes), notInSet(f.Nodes)))
	r.after(f.For.D(), r.fleet().Cut(notInSet(f.Nodes), inSet(f.Nodes)))
}

func (r *run) fleetDeaf(f *Fault) {
	r.after(f.For.D(), r.fleet().Cut(notInSet(f.Nodes), inSet(f.Nodes)))
}

func (r *run) fleetMute(f *Fault) {
	r.after(f.For.D(), r.fleet().Cut(inSet(f.Nodes), notInSet(f.Nodes)))
}

func (r *run) fleetApart(f *Fault) { r.after(f.For.D(), r.fleet().Cut(inSet(f.Nodes), inSet(f.Nodes))) }

// impair impairs the traffic of the fault's nodes among themselves and, in both directions, with all other nodes.
func (r *run) impair(f *Fault, a Impairment) {
	all := func(string) bool { return true }
	r.after(f.For.D(), r.fleet().Impair(inSet(f.Nodes), all, a))
	r.after(f.For.D(), r.fleet().Impair(notInSet(f.Nodes), inSet(f.Nodes), a))
}

func (r *run) fleetLossy(f *Fault)   { r.impair(f, Impairment{Lose: f.Share}) }
func (r *run) fleetDouble(f *Fault)  { r.impair(f, Impairment{Double: f.Share}) }
func (r *run) fleetReorder(f *Fault) { r.impair(f, Impairment{Reorder: f.Share}) }
func (r *run) fleetLate(f *Fault)    { r.impair(f, Impairment{Delay: f.Pause.D()}) }
func (r *run) fleetReset(f *Fault)   { r.impair(f, Impairment{Reset: f.Share}) }

func (r *run) fleetUpgrade(f *Fault) {
	for _, name := range f.Nodes {
		if r.nodes[name].holds == 0 && !r.target.Node(name).Down() {
			r.fleet().Upgrade(name, f.Pause.D())
		}
	}
}

// fleetAmounts scales the budget amounts. If two such faults overlap, the later one replaces the earlier one, and the
// end of either restores the original amounts.
func (r *run) fleetAmounts(f *Fault) {
	r.fleet().Amounts(f.Share)
	r.after(f.For.D(), func() { r.fleet().Amounts(1) })
}

func (r *run) fleetVoters(f *Fault) { r.fleet().Voters(f.Nodes) }

func (r *run) fleetMove(f *Fault) {
	for _, name := range f.Nodes {
		r.fleet().Move(name)
	}
	r.nodeKill(f)
}

// clockOffset is the duration by which a wrong wall clock is ahead. It moves the clock into the next period of every
// budget that the lab uses.
const clockOffset = time.Hour

// clockSetDowntime is the duration for which a node is down while its clock is set.
const clockSetDowntime = 300 * time.Millisecond

func (r *run) fleetClock(f *Fault) {
	for _, name := range f.Nodes {
		n, l := r.target.Node(name), r.nodes[name]
		if l.holds > 0 || n.Down() {
			continue
		}
		r.fleet().Clock(name, clockOffset)
		r.hold(l, n, clockSetDowntime)
		r.after(f.For.D(), func() {
			r.fleet().Clock(name, 0)
			r.hold(l, n, clockSetDowntime)
		})
	}
}

func (r *run) fleetTwin(f *Fault) {
	for _, name := range f.Nodes {
		if r.nodes[name].holds == 0 && !r.target.Node(name).Down() {
			r.after(f.For.D(), r.fleet().StartDuplicate(name))
		}
	}
}

// damageDirectory kills the nodes and damages their directories. Unless the damage is Emptied, each node attempts one
// start after a quarter of the fault's duration, which must fail. At the end the directories are repaired and the
// nodes started.
func (r *run) damageDirectory(f *Fault, how DirectoryFault) {
	for _, name := range f.Nodes {
		n, l := r.target.Node(name), r.nodes[name]
		if l.holds > 0 || n.Down() {
			continue
		}
		l.holds++
		n.Kill()
		mend := r.fleet().DamageDirectory(name, how)
		if how != Emptied {
			r.loop.After(f.For.D()/4, func() {
				if !r.finished && n.Down() {
					n.Start() // the node must refuse to start
				}
			})
		}
		r.after(f.For.D(), func() {
			mend()
			l.release(n)
		})
	}
}
