package fleet

import (
	"context"
	"slices"
	"time"

	"olivebridge/internal/lab/fault"
)

// scriptMaker returns the script of a seed for a number of nodes and a length.
type scriptMaker func(seed uint64, nodes int, length time.Duration) (*fault.Script, error)

// quietScriptMaker returns a script without faults.
type quietScriptMaker func(seed uint64, nodes int, length time.Duration) *fault.Script

// Scenario tests one ability of a fleet: it contains the scripts that exercise the ability and the judge of a run.
type Scenario struct {
	Name         string
	DemoScript   scriptMaker // demonstrates the ability with few faults
	RandomScript scriptMaker // has faults of all kinds
	QuietScript  quietScriptMaker
	Cases        []Case
	ExtraTables  func(FileValues) string // tables of the fleet files besides [member]
	Judge        func(s *fault.Script, a *Account) Outcome
	// Clients, CopyingClients and Operators are those of Options. Each may be nil.
	Clients        func(ctx context.Context, nodes map[string]string, s *fault.Script) []ClientCall
	CopyingClients func(ctx context.Context, nodes map[string]string, s *fault.Script) []CopiedCall
	Operators      func(ctx context.Context, addresses func(node string) string, s *fault.Script) []OperatorCall
}

// Scenarios returns all scenarios by name.
func Scenarios() map[string]Scenario {
	scenarios := map[string]Scenario{}
	for _, s := range []Scenario{
		membersScenario(), budgetScenario(), inUseScenario(), countScenario(), retriesScenario(), ColdScenario(true),
		SignalsScenario(40, signalWitnesses), ChoicesScenario(40, 0, 0), RoundsScenario(), TakeoverScenario(true, true),
	} {
		scenarios[s.Name] = s
	}
	return scenarios
}

func membersScenario() Scenario {
	return Scenario{
		Name:         "members",
		DemoScript:   DemoScript,
		RandomScript: RandomScript,
		QuietScript:  quietScript,
		Cases:        MemberCases(),
		ExtraTables:  func(FileValues) string { return "" },
		Judge:        func(_ *fault.Script, a *Account) Outcome { return JudgeMembers(a) },
	}
}

func budgetScenario() Scenario {
	return Scenario{
		Name:         "budget",
		DemoScript:   BudgetDemoScript,
		RandomScript: BudgetRandomScript,
		QuietScript:  budgetQuietScript,
		Cases:        append(BudgetCases(), amountsCase()),
		ExtraTables:  BudgetTables,
		Judge:        func(_ *fault.Script, a *Account) Outcome { return JudgeBudget(a) },
	}
}

func inUseScenario() Scenario {
	return Scenario{
		Name:         "in-use",
		DemoScript:   withDrawnFaults(inUseQuietScript, BudgetDemoScript),
		RandomScript: withDrawnFaults(inUseQuietScript, RandomScript),
		QuietScript:  inUseQuietScript,
		Cases:        append(BudgetCases(), restartsCase()),
		ExtraTables:  inUseTables,
		Judge:        func(_ *fault.Script, a *Account) Outcome { return JudgeInUse(a) },
	}
}

func countScenario() Scenario {
	return Scenario{
		Name:         "count",
		DemoScript:   withDrawnFaults(budgetQuietScript, BudgetDemoScript),
		RandomScript: withDrawnFaults(budgetQuietScript, RandomScript),
		QuietScript:  budgetQuietScript,
		Cases:        BudgetCases(),
		ExtraTables:  countTables,
		Judge:        func(_ *fault.Script, a *Account) Outcome { return JudgeCount(a) },
	}
}

func retriesScenario() Scenario {
	return Scenario{
		Name:         "retries",
		DemoScript:   withDrawnFaults(retriesQuietScript, BudgetDemoScript),
		RandomScript: withDrawnFaults(retriesQuietScript, RandomScript),
		QuietScript:  retriesQuietScript,
		Cases:        BudgetCases(),
		ExtraTables:  retriesTables,
		Judge:        func(_ *fault.Script, a *Account) Outcome { return JudgeRetries(a) },
	}
}

// Play plays a script for the scenario and judges the run.
func (s Scenario) Play(ctx context.Context, script *fault.Script, options Options) (*Result, error) {
	options.Clients = s.Clients
	options.CopyingClients = s.CopyingClients
	options.Operators = s.Operators
	options.ExtraTables = s.ExtraTables
	a, err := Play(ctx, script, options)
	if err != nil {
		return nil, err
	}
	return &Result{Script: script, Account: a, Outcome: s.Judge(script, a)}, nil
}

// ignoredCuts is the only mutant of the rig itself. All others are mutants of the processes.
const ignoredCuts = "cut-not-made"

// Mutants returns the names of all mutants.
func Mutants() []string {
	return []string{
		"dead-kept", "leave-told-as-death", "old-incarnation", "upgrade-twice", "lost-unwitnessed", ignoredCuts,
		"lease-from-answer", "given-out-early", "no-quarantine", "reserve-lent", "incarnation-forgotten", "held-twice",
		"grant-twice", "own-clock", "roster-ignored", "step-without-look", "busy-not-asked", "one-witness", "liar",
		"no-majority", "old-and-new", "claim-without-look", "unknown-sent-again", "outcome-forgotten",
		"out-before-permission",
	}
}

// IsMutant reports whether there is a mutant of that name.
func IsMutant(name string) bool { return slices.Contains(Mutants(), name) }

// Mutate turns the processes, or the rig, into a mutant; "" is none.
func Mutate(options *Options, name string) {
	if name == ignoredCuts {
		options.IgnoreCuts = true
		return
	}
	options.Mutant = name
}
