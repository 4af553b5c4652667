package fault

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"olivebridge/internal/lab/figure"
)

// Company is what else faults act on where the nodes are processes that know of each other: what lies between them, and
// what they stand on. All is called on the loop.
type Company interface {
	// Stop stops a node's process as SIGSTOP does, and lets it go on.
	Stop(node string) (goOn func())
	// Cut lets nothing through from some nodes to others.
	Cut(from, to func(node string) bool) (heal func())
	// Ail lets what goes from some nodes to others suffer.
	Ail(from, to func(node string) bool, a Ails) (heal func())
	// Upgrade lets a node's next process take over from the one in service.
	Upgrade(node string)
	// Move gives a node's next processes another address among the nodes.
	Move(node string)
	// Twin starts a stranger under a node's name, with a place of its own.
	Twin(node string) (end func())
	// Amounts lets all nodes' fleet files say another share of the amounts of budgets, and has them read it again.
	Amounts(share float64)
	// Clock sets the wall clock of a node's next processes wrong.
	Clock(node string, by time.Duration)
	// Voters lets all nodes' fleet files name other voters, and has them read it again.
	Voters(names []string)
	// At has a node's process wait at its next such step, then calls at, which is given what lets it go on.
	At(node, step string, at func(goOn func()))
	// Spoil makes a node's directory unfit, before its next start.
	Spoil(node string, how Spoilt) (mend func())
}

// Ails is what a way between two nodes suffers: shares of packets, or of a stream's pieces.
type Ails struct {
	Lose, Double, Reorder, Reset float64
	Delay                        time.Duration
}

// Spoilt is what is the matter with a directory.
type Spoilt string

// What can be the matter.
const (
	Full       Spoilt = "full"
	Unwritable Spoilt = "unwritable"
	Foreign    Spoilt = "foreign" // another node's
	Emptied    Spoilt = "emptied" // which is no hindrance to a start
	Torn       Spoilt = "torn"    // what it holds was cut in half
)

// companion is a Target that has a Company.
type companion interface{ Company() Company }

// FleetTable lists the kinds that need processes which know of each other, in the order of the pages.
func FleetTable() []Kind {
	nodes := Take{Key: "nodes"}
	brief := shortest.Seconds()
	while := Take{Key: "for", Lo: brief, Hi: 600}
	share := func(of string) Take { return Take{Key: "share", Lo: 0.001, Hi: 1, Means: of} }
	away := Take{Key: "for", Lo: 0.2, Hi: 600, Means: "until they start again"}
	spoilt := func(how Spoilt) func(r *run, f *Fault) {
		return func(r *run, f *Fault) { r.spoilDirectory(f, how) }
	}
	return append([]Kind{
		{"fleet-stop", "the nodes' processes stand still (SIGSTOP), and then go on", []Take{nodes, while}, (*run).fleetStop},
		{"fleet-split", "the nodes and all others are cut apart", []Take{nodes, while}, (*run).fleetSplit},
		{"fleet-deaf", "the nodes hear nothing of the others, who hear them", []Take{nodes, while}, (*run).fleetDeaf},
		{"fleet-mute", "the others hear nothing of the nodes, who hear them", []Take{nodes, while}, (*run).fleetMute},
		{"fleet-apart", "the nodes are cut apart from each other, while the others reach them all", []Take{nodes, while}, (*run).fleetApart},
		{"fleet-lossy", "messages between the nodes and others get lost", []Take{nodes, while, share("of messages")},
			(*run).fleetLossy},
		{"fleet-double", "they come twice", []Take{nodes, while, share("of messages")}, (*run).fleetDouble},
		{"fleet-reorder", "they overtake each other", []Take{nodes, while, share("of messages")}, (*run).fleetReorder},
		{"fleet-late", "they take longer", []Take{nodes, while,
			{Key: "pause", Hi: 5, Means: "by which each is late, each way"}}, (*run).fleetLate},
		{"fleet-reset", "connections between the nodes and others break", []Take{nodes, while, share("of pieces")},
			(*run).fleetReset},
		{"fleet-upgrade", "a next process of each of the nodes takes over from the one in service", []Take{nodes},
			(*run).fleetUpgrade},
		{"fleet-move", "the nodes die and come back at other addresses among the nodes", []Take{nodes, away},
			(*run).fleetMove},
		{"fleet-twin", "strangers live under the nodes' names", []Take{nodes, while}, (*run).fleetTwin},
		{"fleet-full", "the nodes die, and cannot start for a full disk", []Take{nodes, away}, spoilt(Full)},
		{"fleet-unwritable", "the nodes die, and cannot start since they cannot write", []Take{nodes, away}, spoilt(Unwritable)},
		{"fleet-foreign", "the nodes die, and cannot start in another node's directory", []Take{nodes, away}, spoilt(Foreign)},
		{"fleet-torn", "the nodes die, and cannot start since what they kept was cut in half", []Take{nodes, away}, spoilt(Torn)},
		{"fleet-amounts", "all fleet files say a share of each budget's amount, and are read again", []Take{while,
			share("of the amounts")}, (*run).fleetAmounts},
		{"fleet-keepers", "all fleet files name the nodes as voters, in a higher edition, and are read again", []Take{nodes},
			(*run).fleetVoters},
		{"fleet-emptied", "the nodes die and come back with empty directories", []Take{nodes, away}, spoilt(Emptied)},
		{"fleet-clock", "the nodes die, and live with a wall clock that is an hour ahead until they die again", []Take{nodes, while},
			(*run).fleetClock},
	}, steps(nodes, while)...)
}

// steps lists the kinds that meet a process at a step of a kept call.
func steps(takes ...Take) (all []Kind) {
	for _, step := range stepsOfCalls() {
		for _, act := range []struct{ name, means string }{{"kill", "dies"}, {"stop", "stands still"}, {"cut", "is cut off from the others"}} {
			all = append(all, Kind{fmt.Sprintf("fleet-%s-at-%s", act.name, step), fmt.Sprintf("a node %s just as a kept call of it is %s", act.means,
				strings.ReplaceAll(step, "-", " ")), takes, func(r *run, f *Fault) { r.meet(f, act.name, step) }})
		}
	}
	return all
}

// stepsOfCalls are the steps of a kept call at which a process can be met, in their order.
func stepsOfCalls() []string {
	return []string{"before-permission", "with-permission", "answered", "recorded"}
}

// meet does something to nodes, each when it comes to a step.
func (r *run) meet(f *Fault, act, step string) {
	for _, name := range f.Nodes {
		n, l := r.target.Node(name), r.nodes[name]
		r.company().At(name, step, func(goOn func()) {
			defer goOn()
			switch {
			case n.Down() || l.held > 0:
			case act == "kill":
				r.hold(l, n, f.For.D())
			case act == "stop":
				r.after(f.For.D(), r.company().Stop(name))
			default:
				one := &Fault{Nodes: []string{name}, For: f.For}
				r.fleetSplit(one)
			}
		})
	}
}

// Processes is the first kind of the script that needs processes which know of each other; empty: there is none.
func (s *Script) Processes() string {
	for _, f := range s.Faults {
		if fleet(f.Kind) {
			return f.Kind
		}
	}
	return ""
}

// fleet reports whether a kind needs such processes.
func fleet(kind string) bool { return strings.HasPrefix(kind, "fleet-") }

// DrawFaults draws faults for a script that has its world: of some kinds, as the plan puts them together.
func (s *Script) DrawFaults(kinds []KindRanges, plan FaultPlan) {
	d := &drawer{sc: &Scenario{Kinds: kinds, Faults: plan}, s: s}
	d.faults()
}

// Between is a range of lengths of time, in seconds.
func Between(lo, hi float64) Spans {
	return Spans{figure.Span(figure.Seconds(lo)), figure.Span(figure.Seconds(hi))}
}

// company is what the run's nodes are to each other; nil: they know of none.
func (r *run) company() Company {
	if c, ok := r.target.(companion); ok {
		return c.Company()
	}
	return nil
}

func in(names []string) func(string) bool {
	return func(n string) bool { return slices.Contains(names, n) }
}

func out(names []string) func(string) bool {
	return func(n string) bool { return !slices.Contains(names, n) }
}

func (r *run) fleetStop(f *Fault) {
	for _, name := range f.Nodes {
		if r.nodes[name].held == 0 && !r.target.Node(name).Down() {
			r.after(f.For.D(), r.company().Stop(name))
		}
	}
}

func (r *run) fleetSplit(f *Fault) {
	r.after(f.For.D(), r.company().Cut(in(f.Nodes), out(f.Nodes)))
	r.after(f.For.D(), r.company().Cut(out(f.Nodes), in(f.Nodes)))
}

func (r *run) fleetDeaf(f *Fault) { r.after(f.For.D(), r.company().Cut(out(f.Nodes), in(f.Nodes))) }

func (r *run) fleetMute(f *Fault) { r.after(f.For.D(), r.company().Cut(in(f.Nodes), out(f.Nodes))) }

func (r *run) fleetApart(f *Fault) { r.after(f.For.D(), r.company().Cut(in(f.Nodes), in(f.Nodes))) }

// ail lets all that goes between the nodes and others suffer, and between the nodes.
func (r *run) ail(f *Fault, a Ails) {
	all := func(string) bool { return true }
	r.after(f.For.D(), r.company().Ail(in(f.Nodes), all, a))
	r.after(f.For.D(), r.company().Ail(out(f.Nodes), in(f.Nodes), a))
}

func (r *run) fleetLossy(f *Fault)   { r.ail(f, Ails{Lose: f.Share}) }
func (r *run) fleetDouble(f *Fault)  { r.ail(f, Ails{Double: f.Share}) }
func (r *run) fleetReorder(f *Fault) { r.ail(f, Ails{Reorder: f.Share}) }
func (r *run) fleetLate(f *Fault)    { r.ail(f, Ails{Delay: f.Pause.D()}) }
func (r *run) fleetReset(f *Fault)   { r.ail(f, Ails{Reset: f.Share}) }

func (r *run) fleetUpgrade(f *Fault) {
	for _, name := range f.Nodes {
		if r.nodes[name].held == 0 && !r.target.Node(name).Down() {
			r.company().Upgrade(name)
		}
	}
}

// fleetAmounts changes the amounts. Of two at one time the later counts, and both end with the end of either.
func (r *run) fleetAmounts(f *Fault) {
	r.company().Amounts(f.Share)
	r.after(f.For.D(), func() { r.company().Amounts(1) })
}

func (r *run) fleetVoters(f *Fault) { r.company().Voters(f.Nodes) }

func (r *run) fleetMove(f *Fault) {
	for _, name := range f.Nodes {
		r.company().Move(name)
	}
	r.nodeKill(f)
}

// wrongBy is by how much a wrong wall clock is ahead: into the next period of any count that the lab knows.
const wrongBy = time.Hour

// clockSet is how long a node is away to have its clock set.
const clockSet = 300 * time.Millisecond

func (r *run) fleetClock(f *Fault) {
	for _, name := range f.Nodes {
		n, l := r.target.Node(name), r.nodes[name]
		if l.held > 0 || n.Down() {
			continue
		}
		r.company().Clock(name, wrongBy)
		r.hold(l, n, clockSet)
		r.after(f.For.D(), func() {
			r.company().Clock(name, 0)
			r.hold(l, n, clockSet)
		})
	}
}

func (r *run) fleetTwin(f *Fault) {
	for _, name := range f.Nodes {
		if r.nodes[name].held == 0 && !r.target.Node(name).Down() {
			r.after(f.For.D(), r.company().Twin(name))
		}
	}
}

// spoilDirectory kills the nodes, lets each try a start in vain half way where it is to, and starts them mended.
func (r *run) spoilDirectory(f *Fault, how Spoilt) {
	for _, name := range f.Nodes {
		n, l := r.target.Node(name), r.nodes[name]
		if l.held > 0 || n.Down() {
			continue
		}
		l.held++
		n.Kill()
		mend := r.company().Spoil(name, how)
		if how != Emptied {
			r.loop.After(f.For.D()/4, func() {
				if !r.over && n.Down() {
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
