package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/fleet"
	"olivebridge/internal/lab/live"
)

// fleetOptions holds the flags of one invocation of a command that plays a fleet of processes.
type fleetOptions struct {
	scenario    fleet.Scenario
	nodes       int
	seed        uint64
	seeds       string
	length      time.Duration
	script      string
	json, html  string
	node        string
	keepDir     string
	keepAll     bool
	caseName    string
	mutant      string
	concurrency int
	peers       int // of choices and signals; 0: the command has no such flag
	copies      int
	minPeers    int
	plain, once bool // once: of takeover; plain: of takeover, cold and signals
	first, last uint64
}

func fleetCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "fleet",
		Short: "plays a fleet of processes in real time, and breaks what lies between them",
		Long: "Starts several processes of the node's program on loopback, lets them know of each other, injects faults into " +
			"them and between them, and judges by what is seen from outside. The last line on standard output is `held`, or " +
			"`broken: RULE at T: what happened`.",
		Args: cobra.NoArgs,
	}
	c.RunE = func(*cobra.Command, []string) error { return errors.New("fleet of what? see --help") }
	c.AddCommand(
		subjectCommand("members", "who is in the fleet: what each process believes, beside what is true",
			"Starts processes that find each other, and holds what each believes of the others against what is true. With "+
				"--seed one is killed, one stands still and one is cut off; with --seeds faults of all kinds are drawn."),
		subjectCommand("budget", "a rate that all processes share: what came to peers, beside what is allowed",
			"Starts processes that share one rate for one tenant, which asks for twice as much, and counts what comes to the "+
				"stand-in peers. With --seed one is killed and starts again; with --seeds faults of all kinds are drawn."),
		subjectCommand("in-use", "calls at one time that all processes share: what peers held, beside what is allowed",
			"As budget, of an amount in use at one time: counts the calls that the stand-in peers hold together."),
		subjectCommand("count", "calls in a period that all processes share: what came to peers, beside what is allowed",
			"As budget, of a count over a period, which must last through the death of all processes."),
		subjectCommand("retries", "retries and second copies that all processes share: what came to peers, beside what is allowed",
			"As budget, of the tries that are not their call's first, while peers turn four requests in ten away."),
		subjectCommand("cold", "tries to each cold peer that all processes share: what came to them, beside what is allowed",
			"As budget, of the tries to each peer that has just started. With --seed one peer after the other dies and comes back "+
				"cold, and a process is killed; with --seeds faults of all kinds are drawn."),
		subjectCommand("choices", "which peers all processes choose: how the sum of it falls on them",
			"Starts processes in front of many stand-in peers, and looks at how what all of them chose fell on the peers, beside "+
				"what chance alone would give. With --seed one process is killed and starts again; with --seeds faults of "+
				"processes and peers are drawn."),
		subjectCommand("signals", "what processes tell each other of peers: how soon all leave a dead one alone, and who is left alone wrongly",
			"Starts processes in front of many stand-in peers, thinly asked, of which some die and some fall silent, and looks at how "+
				"long the processes go on sending to them. With --seeds faults of processes and peers are drawn."),
		subjectCommand("rounds", "operators' work over many nodes: a round through all servers that outlives its nodes",
			"Starts processes whose operators keep a server out at all of them and begin a round through all servers, and looks at "+
				"whether each step is taken once, nothing comes to a server that is out, and any node tells how it stands. With "+
				"--seed one process after the other is killed; with --seeds faults of all kinds are drawn."),
		subjectCommand("takeover", "work in hand that survives its node: what ran, and what clients got",
			"Starts processes that keep calls of one class, and a crowd that asks for them under keys of its own, and asks another "+
				"process until it has an outcome. Peers count what ran. With --seed one process after the other is killed; with "+
				"--seeds faults of all kinds are drawn."),
		subsetsCommand())
	return c
}

func (r *fleetOptions) addFlags(c *cobra.Command) {
	c.Flags().IntVar(&r.nodes, "nodes", 5, "how many processes")
	c.Flags().Uint64Var(&r.seed, "seed", 1, "of what is drawn")
	c.Flags().StringVar(&r.seeds, "seeds", "", "play a range of seeds, `A..B`, with faults of all kinds")
	c.Flags().DurationVar(&r.length, "for", 30*time.Second, "for how long")
	c.Flags().IntVar(&r.concurrency, "at-once", 4, "how many seeds of a range are played at one time")
	c.Flags().StringVar(&r.script, "script", "", "the script `file` to play")
	c.Flags().StringVar(&r.json, "json", "", "where the figures go")
	c.Flags().StringVar(&r.html, "html", "", "where a page with a lane for each process goes")
	c.Flags().StringVar(&r.node, "node", "", "the node's `program`, with olivefleet beside it; \"\": built from the source tree")
	c.Flags().StringVar(&r.keepDir, "keep", "found", "folder for the script, records and page of a run that fails")
	c.Flags().StringVar(&r.caseName, "case", "", "play a hard `case` by its name, or list them: list")
	c.Flags().BoolVar(&r.keepAll, "keep-all", false, "keep those of runs that hold, too")
	if r.scenario.Name == "choices" {
		c.Flags().IntVar(&r.peers, "peers", 40, "how many stand-in peers")
		c.Flags().IntVar(&r.copies, "copies", 0, "how many processes work with each peer, by the fleet file; 0: all")
		c.Flags().IntVar(&r.minPeers, "least", 64, "with --copies: the least number of peers that a process works with")
	}
	if r.scenario.Name == "signals" {
		c.Flags().IntVar(&r.peers, "peers", 40, "how many stand-in peers")
		c.Flags().BoolVar(&r.plain, "plain", false, "the processes tell each other nothing, for comparison")
	}
	if r.scenario.Name == "cold" {
		c.Flags().BoolVar(&r.plain, "plain", false, "the processes share nothing, for comparison: each guesses its part")
	}
	if r.scenario.Name == "takeover" {
		c.Flags().BoolVar(&r.plain, "plain", false, "the processes keep nothing, for comparison")
		c.Flags().BoolVar(&r.once, "once", false, "clients do not ask again, for comparison")
	}
	c.Flags().StringVar(&r.mutant, "mutant", "", "the mutant that all processes, or the rig, are to be, of: "+strings.Join(fleet.Mutants(), ", "))
	c.Flags().StringVar(&r.mutant, "plant", "", "the same, by its earlier name")
	c.MarkFlagsMutuallyExclusive("mutant", "plant")
}

func (r *fleetOptions) validate() error {
	switch {
	case r.nodes < 1 || r.nodes > fleet.MaxNodes:
		return fmt.Errorf("--nodes %d: not from 1 to %d", r.nodes, fleet.MaxNodes)
	case r.peers != 0 && (r.peers < 2 || r.peers > fleet.MaxPeers):
		return fmt.Errorf("--peers %d: not from 2 to %d", r.peers, fleet.MaxPeers)
	case r.length < time.Second || r.length > 10*time.Minute:
		return fmt.Errorf("--for %v: not from 1s to 10m", r.length)
	case r.concurrency < 1 || r.concurrency > 64:
		return fmt.Errorf("--at-once %d: not from 1 to 64", r.concurrency)
	case r.script != "" && r.caseName != "":
		return errors.New("--case: not with --script")
	case r.script != "" && r.seeds != "":
		return errors.New("--seeds: not with --script")
	case r.mutant != "" && !fleet.IsMutant(r.mutant):
		return fmt.Errorf("--mutant %q: there are %s", r.mutant, strings.Join(fleet.Mutants(), ", "))
	case r.mutant != "" && r.node != "":
		return errors.New("--mutant: not with --node, which may not know it")
	}
	if r.seeds == "" {
		return nil
	}
	from, to, ok := strings.Cut(r.seeds, "..")
	var err1, err2 error
	r.first, err1 = strconv.ParseUint(from, 10, 63)
	r.last, err2 = strconv.ParseUint(to, 10, 63)
	if !ok || err1 != nil || err2 != nil || r.last < r.first {
		return fmt.Errorf("--seeds %q: not a range such as 1..100", r.seeds)
	}
	return nil
}

// scripts returns the scripts to play: the script file, the scripts of a hard case, the demonstration script of the
// seed, or a random script for each seed of the range.
func (r *fleetOptions) scripts() (all []*fault.Script, err error) {
	switch {
	case r.script != "":
		text, err := os.ReadFile(r.script)
		if err != nil {
			return nil, shortPathError(err)
		}
		s, err := fault.Parse(r.script, text)
		return []*fault.Script{s}, err
	case r.caseName != "":
		return r.caseScripts()
	case r.seeds == "":
		s, err := r.scenario.DemoScript(r.seed, r.nodes, r.length)
		return []*fault.Script{s}, err
	}
	for seed := r.first; seed <= r.last; seed++ {
		s, err := r.scenario.RandomScript(seed, r.nodes, r.length)
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

// caseScripts returns the scripts of the hard case that --case names, one for each seed.
func (r *fleetOptions) caseScripts() (all []*fault.Script, err error) {
	hard, err := fleet.CaseNamed(r.scenario.Cases, r.caseName)
	if err != nil {
		return nil, fmt.Errorf("--case: %w", err)
	}
	first, last := r.seed, r.seed
	if r.seeds != "" {
		first, last = r.first, r.last
	}
	for seed := first; seed <= last; seed++ {
		s, err := hard.Script(seed, r.scenario.QuietScript)
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

// nodeProgram returns the path of the node's program. It builds the program in dir, with support for mutants if the
// call or a script uses them, unless --node names a program.
func (r *fleetOptions) nodeProgram(
	ctx context.Context, scripts []*fault.Script, dir string, errs io.Writer,
) (string, error) {
	if r.node == "" {
		fmt.Fprintln(errs, "building the node")
		return live.BuildFleet(ctx, dir, r.mutant != "" || slices.ContainsFunc(scripts, fleet.ForMutants))
	}
	for _, path := range []string{r.node, filepath.Join(filepath.Dir(r.node), "olivefleet")} {
		if err := live.CheckProgram(path); err != nil {
			return "", fmt.Errorf("--node: %w", shortPathError(err))
		}
	}
	return filepath.Abs(r.node)
}

// subjectCommand returns the subcommand of fleet that plays the scenario with the given name.
func subjectCommand(name, short, long string) *cobra.Command {
	r := fleetOptions{scenario: fleet.Scenarios()[name]}
	c := &cobra.Command{Use: name, Short: short, Long: long, Args: cobra.NoArgs}
	r.addFlags(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := r.validate(); err != nil {
			return err
		}
		switch {
		case r.scenario.Name == "signals":
			r.scenario = fleet.SignalsScenario(r.peers, fleet.SignalWitnesses(!r.plain))
		case r.plain && r.scenario.Name == "cold":
			r.scenario = fleet.ColdScenario(false)
		case r.plain || r.once:
			r.scenario = fleet.TakeoverScenario(!r.plain, !r.once)
		}
		if r.scenario.Name == "choices" {
			r.scenario = fleet.ChoicesScenario(r.peers, r.copies, r.minPeers)
		}
		if r.caseName == "list" {
			for _, one := range r.scenario.Cases {
				fmt.Fprintf(c.OutOrStdout(), "%-12s %d processes, %v: %s\n", one.Name, one.Nodes, one.Length, one.Description)
			}
			return nil
		}
		return r.run(c)
	}
	return c
}

// run plays the scripts, prints the outcome of each, and writes the requested files. It returns errFailed if a run
// broke a rule.
func (r *fleetOptions) run(c *cobra.Command) error {
	ctx, out, errs := c.Context(), c.OutOrStdout(), c.ErrOrStderr()
	scripts, err := r.scripts()
	if err != nil {
		return err
	}
	jsonFile, err := createOutput(r.json)
	if err != nil {
		return err
	}
	defer jsonFile.discard()
	htmlFile, err := createOutput(r.html)
	if err != nil {
		return err
	}
	defer htmlFile.discard()
	tools, err := os.MkdirTemp("", "olivelab-fleet-")
	if err != nil {
		return shortPathError(err)
	}
	defer os.RemoveAll(tools)
	node, err := r.nodeProgram(ctx, scripts, tools, errs)
	if err != nil {
		return err
	}
	results, err := r.playAll(ctx, scripts, node, out, errs)
	if err != nil {
		return err
	}
	var broken []fleet.Violation
	for _, res := range results {
		broken = append(broken, res.Outcome.Verdict()...)
	}
	if err := jsonFile.write(func(w io.Writer) error { return writeResults(w, results, r.seeds == "") }); err != nil {
		return err
	}
	if err := htmlFile.write(func(w io.Writer) error { return results[len(results)-1].WriteHTML(w) }); err != nil {
		return err
	}
	if len(broken) > 0 {
		fmt.Fprintf(out, "broken: %s\n", broken[0])
		return errFailed
	}
	fmt.Fprintln(out, "held")
	return nil
}

// playAll plays the scripts, up to --at-once of them concurrently, and returns the results in the order of the scripts.
// The first error stops the remaining runs.
func (r *fleetOptions) playAll(
	ctx context.Context, scripts []*fault.Script, node string, out, errs io.Writer,
) ([]*fleet.Result, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	results := make([]*fleet.Result, len(scripts))
	var mu sync.Mutex // guards firstErr, results and writes to out
	var firstErr error
	errs = &lockedWriter{w: errs}
	slots := make(chan struct{}, r.concurrency)
	var running sync.WaitGroup
	for i, s := range scripts {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			if ctx.Err() != nil {
				return
			}
			res, err := r.play(ctx, s, node, errs)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				firstErr = cmp.Or(firstErr, err)
				stop()
				return
			case len(scripts) > 1:
				fmt.Fprintln(out, res.Outcome.Line(s))
			default:
				fmt.Fprint(out, res.Outcome.Text(res.Account))
			}
			results[i] = res
		})
	}
	running.Wait()
	return results, firstErr
}

// lockedWriter is an io.Writer that serializes concurrent writes.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lockedWriter) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(b)
}

// play plays one script in a temporary directory. It copies the script, records and page of a failed run to the
// directory --keep; with --keep-all, those of any run.
func (r *fleetOptions) play(ctx context.Context, s *fault.Script, node string, errs io.Writer) (*fleet.Result, error) {
	dir, err := os.MkdirTemp("", "olivelab-fleet-")
	if err != nil {
		return nil, shortPathError(err)
	}
	defer os.RemoveAll(dir)
	o := fleet.Options{Node: node, Dir: dir, Log: errs}
	if r.seeds == "" {
		o.Progress = func(line string) { fmt.Fprintln(errs, line) }
	}
	fleet.Mutate(&o, r.mutant)
	res, err := r.scenario.Play(ctx, s, o)
	if err != nil {
		return nil, err
	}
	if len(res.Outcome.Verdict()) == 0 && !r.keepAll || r.keepDir == "" {
		return res, nil
	}
	to := filepath.Join(r.keepDir, fmt.Sprintf("%s-%d-%d", r.scenario.Name, s.Seed, len(res.Account.Names)))
	if err := res.Keep(to, dir); err != nil {
		return nil, fmt.Errorf("copying the files of the run: %w", shortPathError(err))
	}
	fmt.Fprintf(errs, "seed %d: kept in %s; again: olivelab fleet %s --script %s\n", s.Seed, to, r.scenario.Name, filepath.Join(to, "script.toml"))
	return res, nil
}

// writeResults writes the outcome of the first run as JSON, or, if firstOnly is false, the seed and outcome of every
// run.
func writeResults(w io.Writer, results []*fleet.Result, firstOnly bool) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if firstOnly {
		return e.Encode(results[0].Outcome)
	}
	type row struct {
		Seed   uint64        `json:"seed"`
		Result fleet.Outcome `json:"result"`
	}
	var rows []row
	for _, r := range results {
		rows = append(rows, row{r.Script.Seed, r.Outcome})
	}
	return e.Encode(map[string]any{"runs": rows})
}
