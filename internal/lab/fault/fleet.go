package fault

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"olivebridge/internal/lab/figure"
)

// Fleet is what else faults act on where the nodes are processes that know of each other: what lies between them, and
// what they stand on. All is called on the loop.
type Fleet interface {
	// Stop stops a node's process as SIGSTOP does, and lets it go on.
	Stop(node string) (goOn func())
	// Cut lets nothing through from some nodes to others.
	Cut(from, to func(node string) bool) (heal func())
	// Impair lets what goes from some nodes to others suffer.
	Impair(from, to func(node string) bool, a Impairment) (heal func())
	// Upgrade lets a node's next process take over from the one in service.
	Upgrade(node string)
	// Move gives a node's next processes another address among the nodes.
	Move(node string)
	// StartDuplicate starts a stranger under a node's name, with a place of its own.
	StartDuplicate(node string) (end func())
	// Amounts lets all nodes' fleet files say another share of the amounts of budgets, and has them read it again.
	Amounts(share float64)
	// Clock sets the wall clock of a node's next processes wrong.
	Clock(node string, by time.Duration)
	// Voters lets all nodes' fleet files name other voters, and has them read it again.
	Voters(names []string)
	// At has a node's process wait at its next such step, then calls at, which is given what lets it go on.
	At(node, step string, at func(goOn func()))
	// DamageDirectory makes a node's directory unfit, before its next start.
	DamageDirectory(node string, how DirectoryFault) (mend func())
}

// Impairment is what a way between two nodes suffers: shares of packets, or of a stream's pieces.
type Impairment struct {
	Lose, Double, Reorder, Reset float64
	Delay                        time.Duration
}

// DirectoryFault is what is the matter with a directory.
type DirectoryFault string

// What can be the matter.
const (
	Full       DirectoryFault = "full"
	Unwritable DirectoryFault = "unwritable"
	Foreign    DirectoryFault = "foreign" // another node's
	Emptied    DirectoryFault = "emptied" // which is no hindrance to a start
	Torn       DirectoryFault = "torn"    // what it holds was cut in half
)

// fleetTarget is a Target that has a Company.
type fleetTarget interface{ Fleet() Fleet }

// FleetTable lists the kinds that need processes which know of each other, in the order of the pages.
func FleetTable() []Kind {
	nodes := Parameter{Key: "nodes"}
	brief := minFaultDuration.Seconds()
	while := Parameter{Key: "for", Lo: brief, Hi: 600}
	share := func(of string) Parameter { return Parameter{Key: "share", Lo: 0.001, Hi: 1, Means: of} }
	away := Parameter{Key: "for", Lo: 0.2, Hi: 600, Means: "until they start again"}
	spoilt := func(how DirectoryFault) func(r *run, f *Fault) {
		return func(r *run, f *Fault) { r.damageDirectory(f, how) }
	}
	return append([]Kind{
		{"fleet-stop", "the nodes' processes stand still (SIGSTOP), and then go on", []Parameter{nodes, while}, (*run).fleetStop},
		{"fleet-split", "the nodes and all others are cut apart", []Parameter{nodes, while}, (*run).fleetSplit},
		{"fleet-deaf", "the nodes hear nothing of the others, who hear them", []Parameter{nodes, while}, (*run).fleetDeaf},
		{"fleet-mute", "the others hear nothing of the nodes, who hear them", []Parameter{nodes, while}, (*run).fleetMute},
		{"fleet-apart", "the nodes are cut apart from each other, while the others reach them all", []Parameter{nodes, while}, (*run).fleetApart},
		{"fleet-lossy", "messages between the nodes and others get lost", []Parameter{nodes, while, share("of messages")},
			(*run).fleetLossy},
		{"fleet-double", "they come twice", []Parameter{nodes, while, share("of messages")}, (*run).fleetDouble},
		{"fleet-reorder", "they overtake each other", []Parameter{nodes, while, share("of messages")}, (*run).fleetReorder},
		{"fleet-late", "they take longer", []Parameter{nodes, while,
			{Key: "pause", Hi: 5, Means: "by which each is late, each way"}}, (*run).fleetLate},
		{"fleet-reset", "connections between the nodes and others break", []Parameter{nodes, while, share("of pieces")},
			(*run).fleetReset},
		{"fleet-upgrade", "a next process of each of the nodes takes over from the one in service", []Parameter{nodes},
			(*run).fleetUpgrade},
		{"fleet-move", "the nodes die and come back at other addresses among the nodes", []Parameter{nodes, away},
			(*run).fleetMove},
		{"fleet-twin", "strangers live under the nodes' names", []Parameter{nodes, while}, (*run).fleetTwin},
		{"fleet-full", "the nodes die, and cannot start for a full disk", []Parameter{nodes, away}, spoilt(Full)},
		{"fleet-unwritable", "the nodes die, and cannot start since they cannot write", []Parameter{nodes, away}, spoilt(Unwritable)},
		{"fleet-foreign", "the nodes die, and cannot start in another node's directory", []Parameter{nodes, away}, spoilt(Foreign)},
		{"fleet-torn", "the nodes die, and cannot start since what they kept was cut in half", []Parameter{nodes, away}, spoilt(Torn)},
		{"fleet-amounts", "all fleet files say a share of each budget's amount, and are read again", []Parameter{while,
			share("of the amounts")}, (*run).fleetAmounts},
		{"fleet-keepers", "all fleet files name the nodes as voters, in a higher edition, and are read again", []Parameter{nodes},
			(*run).fleetVoters},
		{"fleet-emptied", "the nodes die and come back with empty directories", []Parameter{nodes, away}, spoilt(Emptied)},
		{"fleet-clock", "the nodes die, and live with a wall clock that is an hour ahead until they die again", []Parameter{nodes, while},
			(*run).fleetClock},
	}, callStepKinds(nodes, while)...)
}

// callStepKinds lists the kinds that meet a process at a step of a kept call.
func callStepKinds(takes ...Parameter) (all []Kind) {
	for _, step := range callSteps() {
		for _, act := range []struct{ name, means string }{{"kill", "dies"}, {"stop", "stands still"}, {"cut", "is cut off from the others"}} {
			all = append(all, Kind{fmt.Sprintf("fleet-%s-at-%s", act.name, step), fmt.Sprintf("a node %s just as a kept call of it is %s", act.means,
				strings.ReplaceAll(step, "-", " ")), takes, func(r *run, f *Fault) { r.atCallStep(f, act.name, step) }})
		}
	}
	return all
}

// callSteps are the steps of a kept call at which a process can be met, in their order.
func callSteps() []string {
	return []string{"before-permission", "with-permission", "answered", "recorded"}
}

// atCallStep does something to nodes, each when it comes to a step.
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

// FirstFleetKind is the first kind of the script that needs processes which know of each other; empty: there is none.
func (s *Script) FirstFleetKind() string {
	for _, f := range s.Faults {
		if isFleetKind(f.Kind) {
			return f.Kind
		}
	}
	return ""
}

// isFleetKind reports whether a kind needs such processes.
func isFleetKind(kind string) bool { return strings.HasPrefix(kind, "fleet-") }

// DrawFaults draws faults for a script that has its world: of some kinds, as the plan puts them together.
func (s *Script) DrawFaults(kinds []KindRanges, plan FaultPlan) {
	d := &drawer{sc: &Scenario{Kinds: kinds, Faults: plan}, s: s}
	d.faults()
}

// SecondsRange is a range of lengths of time, in seconds.
func SecondsRange(lo, hi float64) Spans {
	return Spans{figure.Span(figure.Seconds(lo)), figure.Span(figure.Seconds(hi))}
}

// fleet is what the run's nodes are to each other; nil: they know of none.
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

// impair lets all that goes between the nodes and others suffer, and between the nodes.
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
			r.fleet().Upgrade(name)
		}
	}
}

// fleetAmounts changes the amounts. Of two at one time the later counts, and both end with the end of either.
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

// clockOffset is by how much a wrong wall clock is ahead: into the next period of any count that the lab knows.
const clockOffset = time.Hour

// clockSetDowntime is how long a node is away to have its clock set.
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

// damageDirectory kills the nodes, lets each try a start in vain half way where it is to, and starts them mended.
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
					n.Start() // which must refuse
				}
			})
		}
		r.after(f.For.D(), func() {
			mend()
			l.release(n)
		})
	}
}
