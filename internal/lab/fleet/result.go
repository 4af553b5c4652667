package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"olivebridge/internal/lab/fault"
)

// MostNodes is the most processes of a run.
const MostNodes = maxSlots / slotsPerNode

// Result is a run with what the judge made of it.
type Result struct {
	Script  *fault.Script
	Account *Account
	Outcome Outcome
}

// Outcome is what a judge made of a run.
type Outcome interface {
	Verdict() []Broken
	Text(a *Account) string      // for people
	Line(s *fault.Script) string // the same in one line
}

// Subject is what a fleet is played for.
type Subject struct {
	Name  string
	Drama func(seed uint64, nodes int, length time.Duration) (*fault.Script, error) // that shows it
	Draw  func(seed uint64, nodes int, length time.Duration) (*fault.Script, error) // with faults of all kinds
	World func(seed uint64, nodes int, length time.Duration) *fault.Script          // without faults
	Cases []Case
	More  func(Says) string // what the fleet files say besides
	Judge func(s *fault.Script, a *Account) Outcome
	Crowd func(ctx context.Context, nodes map[string]string, s *fault.Script) []Asked // see Options; may be nil

	Operators func(ctx context.Context, doors func(node string) string, s *fault.Script) []Said // the same
}

// Subjects are all there are.
func Subjects() map[string]Subject {
	return map[string]Subject{
		"members": {"members", Drama, Draw, world, MemberCases(), func(Says) string { return "" }, func(_ *fault.Script, a *Account) Outcome { return JudgeMembers(a) }, nil, nil},
		"budget":  {"budget", BudgetDrama, BudgetDraw, budgetWorld, append(BudgetCases(), amountsCase()), BudgetFile, func(_ *fault.Script, a *Account) Outcome { return JudgeBudget(a) }, nil, nil},
		"in-use": {"in-use", drawnIn(inUseWorld, BudgetDrama), drawnIn(inUseWorld, Draw), inUseWorld, append(BudgetCases(), restartsCase()), inUseFile,
			func(_ *fault.Script, a *Account) Outcome { return JudgeInUse(a) }, nil, nil},
		"count": {"count", drawnIn(budgetWorld, BudgetDrama), drawnIn(budgetWorld, Draw), budgetWorld, BudgetCases(), countFile,
			func(_ *fault.Script, a *Account) Outcome { return JudgeCount(a) }, nil, nil},
		"retries": {"retries", drawnIn(retriesWorld, BudgetDrama), drawnIn(retriesWorld, Draw), retriesWorld, BudgetCases(), retriesFile,
			func(_ *fault.Script, a *Account) Outcome { return JudgeRetries(a) }, nil, nil},
		"cold":     ColdSubject(true),
		"signals":  SignalsSubject(40, signalWitnesses),
		"choices":  ChoicesSubject(40, 0, 0),
		"rounds":   RoundsSubject(),
		"takeover": TakeoverSubject(true, true),
	}
}

// Play plays a script for the subject.
func (s Subject) Play(ctx context.Context, script *fault.Script, o Options) (*Result, error) {
	o.Crowd, o.Operators = s.Crowd, s.Operators
	o.More = s.More
	a, err := Play(ctx, script, o)
	if err != nil {
		return nil, err
	}
	return &Result{script, a, s.Judge(script, a)}, nil
}

// leak is the mutant of the rig itself.
const leak = "cut-not-made"

// Mutants are those that there are: of the processes, and of the rig.
func Mutants() []string {
	return []string{"dead-kept", "leave-told-as-death", "old-incarnation", "upgrade-twice", "lost-unwitnessed", leak,
		"lease-from-answer", "given-out-early", "no-quarantine", "reserve-lent", "incarnation-forgotten", "held-twice",
		"grant-twice", "own-clock", "roster-ignored", "step-without-look", "busy-not-asked", "one-witness", "liar", "no-majority", "old-and-new", "claim-without-look", "unknown-sent-again", "outcome-forgotten", "out-before-permission"}
}

// IsMutant reports whether there is one of that name.
func IsMutant(name string) bool { return slices.Contains(Mutants(), name) }

// Mutate makes the processes, or the rig, a mutant; "": none.
func Mutate(o *Options, name string) {
	if name == leak {
		o.Leak = true
		return
	}
	o.Mutant = name
}

// verdict is what the rules that did not hold come to, in a few words.
func verdict(broken []Broken) string {
	if len(broken) == 0 {
		return "held"
	}
	return "broken: " + broken[0].String()
}

// Verdict are the rules that did not hold.
func (m *Members) Verdict() []Broken { return m.Broken }

// Line is the result in one line.
func (m *Members) Line(s *fault.Script) string {
	return fmt.Sprintf("seed %d: %s; agree %.2f/%.2f s of %d, detect %.2f/%.2f s of %d, %d false deaths, %d flaps; %s",
		s.Seed, strings.Join(s.Kinds(), " "), m.Agree.Median, m.Agree.Worst, m.Agree.Count, m.Detect.Median,
		m.Detect.Worst, m.Detect.Count, m.FalseDeaths, m.Flaps, verdict(m.Broken))
}

// Text is the result for people: what was true at the end beside what each believed, and the figures.
func (m *Members) Text(a *Account) string {
	var b strings.Builder
	j := final(a)
	fmt.Fprintln(&b, "at the end:")
	for _, name := range a.Names {
		n := j.truth.nodes[name]
		is := "does not run"
		switch {
		case n.up && n.stopped:
			is = "stands still"
		case n.up && n.leaving:
			is = "is ending"
		case n.up:
			is = "runs"
		}
		fmt.Fprintf(&b, "  %-6s %-13s", name, is)
		if v := j.node(name).view; v != nil && n.up {
			fmt.Fprintf(&b, " believes in %s", v.view.String())
		}
		fmt.Fprintln(&b)
	}
	fmt.Fprintf(&b, "%d processes, %.0f s, %d changes, %d of which another came before all agreed\n", m.Nodes, m.Seconds, m.Changes,
		m.Unsettled)
	fmt.Fprintf(&b, "all views agree %.2f s after a change (median of %d), %.2f s at worst\n", m.Agree.Median, m.Agree.Count,
		m.Agree.Worst)
	fmt.Fprintf(&b, "a kill is seen by a process after %.2f s (median of %d), %.2f s at worst\n", m.Detect.Median, m.Detect.Count,
		m.Detect.Worst)
	fmt.Fprintf(&b, "false deaths %d, suspicions of the well %d\n", m.FalseDeaths, m.Flaps)
	fmt.Fprintf(&b, "a process sends %.0f bytes a second, uses %.2f%% of a core and %.1f MB\n", m.Bytes, 100*m.CPU, m.RSS)
	for _, one := range m.Broken {
		fmt.Fprintf(&b, "  %s\n", one)
	}
	return b.String()
}

// final is the judge at the end of a run.
func final(a *Account) *judge {
	copied := *a
	j := newJudge(&copied)
	j.play()
	return j
}

// Keep writes what a run left to a folder: script, records, logs and page.
func (r *Result) Keep(to, from string) error {
	if err := os.RemoveAll(to); err != nil {
		return err
	}
	if err := copyFiles(to, from); err != nil {
		return err
	}
	for name, write := range map[string]func(io.Writer) error{
		"script.toml": r.Script.Write, "page.html": r.WriteHTML, "result.txt": func(w io.Writer) error {
			_, err := io.WriteString(w, r.Outcome.Text(r.Account))
			return err
		},
	} {
		var b bytes.Buffer
		if err := write(&b); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(to, name), b.Bytes(), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// copyFiles copies a folder, and passes over what is no plain file: sockets, and what stood in a process's way.
func copyFiles(to, from string) error {
	return filepath.WalkDir(from, func(path string, e os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		switch {
		case e.IsDir():
			return os.MkdirAll(filepath.Join(to, rel), 0o700)
		case !e.Type().IsRegular():
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, rel), data, 0o600)
	})
}
