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

// runBuilder builds the account of a run by hand: three processes that found each other at once.
type runBuilder struct {
	t      *testing.T
	a      *Account
	number map[string]uint64
	view   map[string][]member.Member
}

func newRunBuilder(t *testing.T) *runBuilder {
	x := &runBuilder{t: t, a: &Account{Names: []string{"n1", "n2", "n3"}, Begin: time.Second, End: 60 * time.Second},
		number: map[string]uint64{}, view: map[string][]member.Member{}}
	for _, n := range x.a.Names {
		x.happens(1, n, "started")
		x.happens(1.1, n, "serves")
		x.line(1.1, n, "took", member.Incarnation{Home: n, Number: 1})
		for _, m := range x.a.Names {
			incarnation := member.Incarnation{Home: m, Number: 1}
			x.view[n] = append(x.view[n], member.Member{Name: m, Incarnation: incarnation, State: member.Alive})
		}
		x.show(1.2, n)
	}
	return x
}

func at(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (x *runBuilder) happens(s float64, node, what string) {
	x.a.Events = append(x.a.Events, Event{At: at(s), Node: node, What: what})
}

func (x *runBuilder) line(s float64, node, kind string, data any) {
	b, err := json.Marshal(data)
	if err != nil {
		x.t.Fatal(err)
	}
	x.a.Lines = append(x.a.Lines, record.Line{At: int64(at(s)), Node: node, PID: int(node[1]), Kind: kind, Data: b})
}

func (x *runBuilder) show(s float64, node string) {
	x.number[node]++
	x.line(s, node, "view", member.View{Number: x.number[node], Self: node, Members: slices.Clone(x.view[node])})
}

// believes lets a process change its mind about another.
func (x *runBuilder) believes(s float64, node, of string, state member.State) {
	for i := range x.view[node] {
		if x.view[node][i].Name == of {
			x.view[node][i].State = state
		}
	}
	x.show(s, node)
}

// cut cuts n3 off, both ways.
func (x *runBuilder) cut(s float64, ended bool) {
	what := map[bool]string{false: "cut", true: "cut healed"}[ended]
	one, others := []string{"n3"}, []string{"n1", "n2"}
	for _, e := range []Event{{From: one, To: others}, {From: others, To: one}} {
		e.At, e.What, e.Ended = at(s), what, ended
		x.a.Events = append(x.a.Events, e)
	}
}

// apart cuts n1 and n3 apart, both ways; n2 reaches both.
func (x *runBuilder) apart(s float64, ended bool) {
	what := map[bool]string{false: "cut", true: "cut healed"}[ended]
	both := []string{"n1", "n3"}
	x.a.Events = append(x.a.Events, Event{At: at(s), What: what, From: both, To: both, Ended: ended})
}

func (x *runBuilder) judged() *Members {
	slices.SortStableFunc(x.a.Lines, func(a, b record.Line) int { return int(a.At - b.At) })
	slices.SortStableFunc(x.a.Events, func(a, b Event) int { return int(a.At - b.At) })
	return JudgeMembers(x.a)
}

// TestMembersJudge: each rule is broken by what breaks it, and by nothing else.
func TestMembersJudge(t *testing.T) {
	all := func(x *runBuilder, s float64, of string, state member.State) {
		for _, n := range x.a.Names {
			if n != of {
				x.believes(s, n, of, state)
			}
		}
	}
	for _, c := range []struct {
		name   string
		tell   func(x *runBuilder)
		broken string // the rule; empty: held
	}{
		{"nothing happens", func(*runBuilder) {}, ""},
		{"a death is seen", func(x *runBuilder) { x.happens(10, "n3", "killed"); all(x, 13, "n3", member.Dead) }, ""},
		{"a death is seen by one alone", func(x *runBuilder) {
			x.happens(10, "n3", "killed")
			x.believes(13, "n1", "n3", member.Dead)
		}, "agree"},
		{"the dead are kept", func(x *runBuilder) {
			x.happens(10, "n3", "killed")
			x.happens(19, "n3", "started")
		}, "kept"},
		{"a death is told as a leave", func(x *runBuilder) {
			x.happens(10, "n3", "killed")
			all(x, 13, "n3", member.Left)
		}, "told"},
		{"a leave is seen", func(x *runBuilder) {
			x.happens(30, "n3", "told SIGTERM")
			all(x, 30.1, "n3", member.Leaving)
			x.happens(31, "n3", "ended")
			all(x, 31.1, "n3", member.Left)
		}, ""},
		{"a leave is told as a death", func(x *runBuilder) {
			x.happens(30, "n3", "told SIGTERM")
			x.happens(31, "n3", "ended")
			all(x, 33, "n3", member.Dead)
		}, "told"},
		{"the well is called dead", func(x *runBuilder) {
			x.believes(30, "n1", "n3", member.Dead)
			x.believes(31, "n1", "n3", member.Alive)
		}, "false"},
		{"the well is called left", func(x *runBuilder) { x.believes(30, "n1", "n3", member.Left) }, "told"},
		{"a cut is seen and healed", func(x *runBuilder) {
			x.cut(10, false)
			all(x, 13, "n3", member.Dead)
			x.believes(13, "n3", "n1", member.Dead)
			x.believes(13, "n3", "n2", member.Dead)
			x.cut(30, true)
			all(x, 33, "n3", member.Alive)
			x.believes(33, "n3", "n1", member.Alive)
			x.believes(33, "n3", "n2", member.Alive)
		}, ""},
		{"a cut is never got over", func(x *runBuilder) {
			x.cut(10, false)
			all(x, 13, "n3", member.Dead)
			x.believes(13, "n3", "n1", member.Dead)
			x.believes(13, "n3", "n2", member.Dead)
			x.cut(30, true)
		}, "agree"},
		{"a cut that lets something through", func(x *runBuilder) {
			x.cut(10, false)
			x.line(13, "n1", "heard", map[string]member.ReceptionReport{"n3": {At: int64(at(12.5))}})
			x.cut(14, true)
		}, "rig"},
		{"a call gives up the dead", func(x *runBuilder) {
			x.happens(10, "n3", "killed")
			x.line(13, "n1", "roll", map[string]any{"lost": []string{"n3"}})
			all(x, 13, "n3", member.Dead)
		}, ""},
		{"a call gives up one whom others reach", func(x *runBuilder) {
			x.apart(10, false)
			x.line(16, "n1", "roll", map[string]any{"lost": []string{"n3"}})
			x.apart(17, true)
		}, "false"},
		{"a stranger who is not cut off", func(x *runBuilder) {
			x.happens(9, "n3", "twin")
			x.cut(10, false)
			x.line(13, "n1", "heard", map[string]member.ReceptionReport{"n3": {At: int64(at(12.5))}})
			x.happens(13.5, "n3", "twin killed")
			x.cut(14, true)
		}, ""},
		{"an early incarnation", func(x *runBuilder) {
			x.view["n1"][2].Incarnation.Number = 2
			x.show(30, "n1")
			x.view["n1"][2].Incarnation.Number = 1
			x.show(31, "n1")
		}, "life"},
		{"a start that does not count", func(x *runBuilder) {
			x.line(30, "n1", "took", member.Incarnation{Home: "n1", Number: 1})
		}, "life"},
		{"one too many", func(x *runBuilder) {
			x.view["n1"] = append(x.view["n1"], member.Member{Name: "n3.2", State: member.Alive})
			x.show(30, "n1")
		}, "twice"},
		{"views out of order", func(x *runBuilder) { x.number["n1"] = 0; x.show(30, "n1") }, "order"},
		{"a stopped process goes on", func(x *runBuilder) {
			x.happens(30, "n1", "stopped")
			x.show(31, "n1")
			x.happens(31.5, "n1", "goes on")
		}, "rig"},
		{"chance takes nothing", func(x *runBuilder) { x.a.Traffic = Traffic{ExpectedLost: 200} }, "rig"},
		{"a crash", func(x *runBuilder) { x.a.Broken = []string{"crash at 1s"} }, "world"},
	} {
		x := newRunBuilder(t)
		c.tell(x)
		m := x.judged()
		if (len(m.Broken) == 0) != (c.broken == "") || c.broken != "" &&
			!slices.ContainsFunc(m.Broken, func(b Violation) bool { return b.Rule == c.broken }) {
			t.Errorf("%s: %v", c.name, m.Broken)
		}
	}
}

func TestMembersFigures(t *testing.T) {
	x := newRunBuilder(t)
	x.happens(10, "n3", "killed")
	x.believes(12, "n1", "n3", member.Dead)
	x.believes(13, "n2", "n3", member.Dead)
	m := x.judged()
	if m.Detect.Count != 2 || m.Detect.Worst != 3 || m.Agree.Worst != 3 || len(m.Broken) > 0 {
		t.Errorf("%+v", m)
	}
	r := Result{Script: &fault.Script{Seed: 7}, Account: x.a, Outcome: m}
	var page strings.Builder
	if err := r.WriteHTML(&page); err != nil || strings.Count(page.String(), `class="wrong"`) != 1+1 {
		t.Errorf("%v: %d stretches in which nobody is right yet", err, strings.Count(page.String(), `class="wrong"`))
	}
	if text := m.Text(x.a); !strings.Contains(text, "n3     does not run") || !strings.Contains(text, "n3 dead") {
		t.Error(text)
	}
}

// TestScriptsLeaveTimeToSettle: every script that is drawn can be played, and leaves time to see that its faults are
// over.
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
				t.Errorf("seed %d: %s lasts until %v", seed, f.Kind, f.Ends().D())
			}
		}
		if _, err := DemoScript(seed, 5, 30*time.Second); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
	for _, k := range fault.FleetTable() {
		// Some are for one judge alone, and some for programs built for mutants.
		special := []string{"fleet-amounts", "fleet-clock", "fleet-keepers"}
		if !kinds[k.Name] && !slices.Contains(special, k.Name) && !strings.Contains(k.Name, "-at-") {
			t.Errorf("%s is never drawn", k.Name)
		}
	}
	if _, err := DemoScript(1, 3, 30*time.Second); err == nil {
		t.Error("a drama of three")
	}
}
