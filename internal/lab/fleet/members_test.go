package fleet

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"olivebridge/internal/fleet/member"
	"olivebridge/internal/fleet/record"
	"olivebridge/internal/lab/fault"
)

// runBuilder builds the account of a run of three processes that all have each other in their views from 1.2 s on.
type runBuilder struct {
	t          *testing.T
	a          *Account
	viewNumber map[string]uint64
	members    map[string][]member.Member
}

func newRunBuilder(t *testing.T) *runBuilder {
	x := &runBuilder{t: t, a: &Account{Names: []string{"n1", "n2", "n3"}, Begin: time.Second, End: 60 * time.Second},
		viewNumber: map[string]uint64{}, members: map[string][]member.Member{}}
	for _, n := range x.a.Names {
		x.addEvent(1, n, "started")
		x.addEvent(1.1, n, "serves")
		x.addLine(1.1, n, "took", member.Incarnation{Home: n, Number: 1})
		for _, m := range x.a.Names {
			incarnation := member.Incarnation{Home: m, Number: 1}
			x.members[n] = append(x.members[n], member.Member{Name: m, Incarnation: incarnation, State: member.Alive})
		}
		x.addView(1.2, n)
	}
	return x
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (x *runBuilder) addEvent(s float64, node, what string) {
	x.a.Events = append(x.a.Events, Event{At: seconds(s), Node: node, What: what})
}

func (x *runBuilder) addLine(s float64, node, kind string, data any) {
	b, err := json.Marshal(data)
	if err != nil {
		x.t.Fatal(err)
	}
	x.a.Lines = append(x.a.Lines, record.Line{At: int64(seconds(s)), Node: node, PID: int(node[1]), Kind: kind, Data: b})
}

func (x *runBuilder) addView(s float64, node string) {
	x.viewNumber[node]++
	x.addLine(s, node, "view", member.View{Number: x.viewNumber[node], Self: node, Members: slices.Clone(x.members[node])})
}

// setState changes the state of a node in a process's view.
func (x *runBuilder) setState(s float64, node, of string, state member.State) {
	for i := range x.members[node] {
		if x.members[node][i].Name == of {
			x.members[node][i].State = state
		}
	}
	x.addView(s, node)
}

// cut cuts n3 off from the others in both directions.
func (x *runBuilder) cut(s float64, ended bool) {
	what := map[bool]string{false: "cut", true: "cut healed"}[ended]
	one, others := []string{"n3"}, []string{"n1", "n2"}
	for _, e := range []Event{{From: one, To: others}, {From: others, To: one}} {
		e.At, e.What, e.Ended = seconds(s), what, ended
		x.a.Events = append(x.a.Events, e)
	}
}

// cutApart cuts n1 and n3 off from each other in both directions; n2 reaches both.
func (x *runBuilder) cutApart(s float64, ended bool) {
	what := map[bool]string{false: "cut", true: "cut healed"}[ended]
	both := []string{"n1", "n3"}
	x.a.Events = append(x.a.Events, Event{At: seconds(s), What: what, From: both, To: both, Ended: ended})
}

func (x *runBuilder) judgeMembers() *Members {
	slices.SortStableFunc(x.a.Lines, func(a, b record.Line) int { return int(a.At - b.At) })
	slices.SortStableFunc(x.a.Events, func(a, b Event) int { return int(a.At - b.At) })
	return JudgeMembers(x.a)
}

// TestMembersJudge checks that each rule is reported for a run that breaks it, and that correct runs are accepted.
func TestMembersJudge(t *testing.T) {
	all := func(x *runBuilder, s float64, of string, state member.State) {
		for _, n := range x.a.Names {
			if n != of {
				x.setState(s, n, of, state)
			}
		}
	}
	for _, c := range []struct {
		name   string
		build  func(x *runBuilder)
		broken string // name of the broken rule; empty if none
	}{
		{"no events", func(*runBuilder) {}, ""},
		{"all processes see a death", func(x *runBuilder) {
			x.addEvent(10, "n3", "killed")
			all(x, 13, "n3", member.Dead)
		}, ""},
		{"one process alone sees a death", func(x *runBuilder) {
			x.addEvent(10, "n3", "killed")
			x.setState(13, "n1", "n3", member.Dead)
		}, "agree"},
		{"the views keep a dead node", func(x *runBuilder) {
			x.addEvent(10, "n3", "killed")
			x.addEvent(19, "n3", "started")
		}, "kept"},
		{"a death is reported as a leave", func(x *runBuilder) {
			x.addEvent(10, "n3", "killed")
			all(x, 13, "n3", member.Left)
		}, "told"},
		{"all processes see a leave", func(x *runBuilder) {
			x.addEvent(30, "n3", "told SIGTERM")
			all(x, 30.1, "n3", member.Leaving)
			x.addEvent(31, "n3", "ended")
			all(x, 31.1, "n3", member.Left)
		}, ""},
		{"a leave is reported as a death", func(x *runBuilder) {
			x.addEvent(30, "n3", "told SIGTERM")
			x.addEvent(31, "n3", "ended")
			all(x, 33, "n3", member.Dead)
		}, "told"},
		{"a healthy node is declared dead", func(x *runBuilder) {
			x.setState(30, "n1", "n3", member.Dead)
			x.setState(31, "n1", "n3", member.Alive)
		}, "false"},
		{"a healthy node is reported as left", func(x *runBuilder) { x.setState(30, "n1", "n3", member.Left) }, "told"},
		{"the views follow a cut and its end", func(x *runBuilder) {
			x.cut(10, false)
			all(x, 13, "n3", member.Dead)
			x.setState(13, "n3", "n1", member.Dead)
			x.setState(13, "n3", "n2", member.Dead)
			x.cut(30, true)
			all(x, 33, "n3", member.Alive)
			x.setState(33, "n3", "n1", member.Alive)
			x.setState(33, "n3", "n2", member.Alive)
		}, ""},
		{"the views do not recover from a cut", func(x *runBuilder) {
			x.cut(10, false)
			all(x, 13, "n3", member.Dead)
			x.setState(13, "n3", "n1", member.Dead)
			x.setState(13, "n3", "n2", member.Dead)
			x.cut(30, true)
		}, "agree"},
		{"a message is received despite a cut", func(x *runBuilder) {
			x.cut(10, false)
			x.addLine(13, "n1", "heard", map[string]member.ReceptionReport{"n3": {At: int64(seconds(12.5))}})
			x.cut(14, true)
		}, "rig"},
		{"a check of many members finds a dead node", func(x *runBuilder) {
			x.addEvent(10, "n3", "killed")
			x.addLine(13, "n1", "roll", map[string]any{"lost": []string{"n3"}})
			all(x, 13, "n3", member.Dead)
		}, ""},
		{"a check of many members declares a reachable node dead", func(x *runBuilder) {
			x.cutApart(10, false)
			x.addLine(16, "n1", "roll", map[string]any{"lost": []string{"n3"}})
			x.cutApart(17, true)
		}, "false"},
		{"messages of a stranger that is not cut off", func(x *runBuilder) {
			x.addEvent(9, "n3", "twin")
			x.cut(10, false)
			x.addLine(13, "n1", "heard", map[string]member.ReceptionReport{"n3": {At: int64(seconds(12.5))}})
			x.addEvent(13.5, "n3", "twin killed")
			x.cut(14, true)
		}, ""},
		{"a view returns to an older incarnation", func(x *runBuilder) {
			x.members["n1"][2].Incarnation.Number = 2
			x.addView(30, "n1")
			x.members["n1"][2].Incarnation.Number = 1
			x.addView(31, "n1")
		}, "life"},
		{"a start without a new incarnation", func(x *runBuilder) {
			x.addLine(30, "n1", "took", member.Incarnation{Home: "n1", Number: 1})
		}, "life"},
		{"a member that is not a node", func(x *runBuilder) {
			x.members["n1"] = append(x.members["n1"], member.Member{Name: "n3.2", State: member.Alive})
			x.addView(30, "n1")
		}, "twice"},
		{"views out of order", func(x *runBuilder) { x.viewNumber["n1"] = 0; x.addView(30, "n1") }, "order"},
		{"a stopped process writes its record", func(x *runBuilder) {
			x.addEvent(30, "n1", "stopped")
			x.addView(31, "n1")
			x.addEvent(31.5, "n1", "goes on")
		}, "rig"},
		{"no message is lost although losses are expected", func(x *runBuilder) {
			x.a.Traffic = Traffic{ExpectedLost: 200}
		}, "rig"},
		{"a crash of a process", func(x *runBuilder) { x.a.Broken = []string{"crash at 1s"} }, "world"},
	} {
		x := newRunBuilder(t)
		c.build(x)
		m := x.judgeMembers()
		if (len(m.Broken) == 0) != (c.broken == "") || c.broken != "" &&
			!slices.ContainsFunc(m.Broken, func(b Violation) bool { return b.Rule == c.broken }) {
			t.Errorf("%s: violations %v", c.name, m.Broken)
		}
	}
}

func TestMembersFigures(t *testing.T) {
	x := newRunBuilder(t)
	x.addEvent(10, "n3", "killed")
	x.setState(12, "n1", "n3", member.Dead)
	x.setState(13, "n2", "n3", member.Dead)
	m := x.judgeMembers()
	if m.Detect.Count != 2 || m.Detect.Worst != 3 || m.Agree.Worst != 3 || len(m.Broken) > 0 {
		t.Errorf("unexpected figures or violations: %+v", m)
	}
	r := Result{Script: &fault.Script{Seed: 7}, Account: x.a, Outcome: m}
	var page strings.Builder
	if err := r.WriteHTML(&page); err != nil || strings.Count(page.String(), `class="wrong"`) != 1+1 {
		t.Errorf("error %v, %d elements of class wrong, want 2 with the legend's",
			err, strings.Count(page.String(), `class="wrong"`))
	}
	if text := m.Text(x.a); !strings.Contains(text, "n3     does not run") || !strings.Contains(text, "n3 dead") {
		t.Error(text)
	}
}

// TestScriptsLeaveTimeToSettle checks that every drawn script is valid, that each kind of fault is drawn, and that all
// faults end settleTail before the script does.
func TestScriptsLeaveTimeToSettle(t *testing.T) {
	kinds := map[string]bool{}
	for seed := range uint64(300) {
		s, err := RandomScript(seed, 5, 32*time.Second)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for _, f := range s.Faults {
			kinds[f.Kind] = true
			if f.Ends().D() > 32*time.Second-settleTail {
				t.Errorf("seed %d: fault %s lasts until %v", seed, f.Kind, f.Ends().D())
			}
		}
		if _, err := DemoScript(seed, 5, 30*time.Second); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
	for _, k := range fault.FleetTable() {
		// These kinds serve a single judge, or need programs built for mutants.
		special := []string{"fleet-amounts", "fleet-clock", "fleet-keepers"}
		if !kinds[k.Name] && !slices.Contains(special, k.Name) && !strings.Contains(k.Name, "-at-") {
			t.Errorf("fault %s is never drawn", k.Name)
		}
	}
	if _, err := DemoScript(1, 3, 30*time.Second); err == nil {
		t.Error("a script of three nodes was accepted")
	}
}
