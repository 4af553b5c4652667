// Package experiment plays experiments. An experiment file states a world, its
// rate of requests, the faults and phases of the run, and assertions on the
// resulting figures.
//
// A Runner plays the experiment, either on the virtual clock or on sockets. Both
// runners report the same samples to a sample.Sink, and this package computes all
// figures from those samples alone.
//
// Arrivals are open-loop: the instant at which a request is due is drawn in
// advance and does not depend on any response. Latency is measured from the due
// instant, so neither one slow response nor a late load generator hides latency
// (no coordinated omission).
package experiment

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
)

// Form holds the keys of an experiment file.
type Form struct {
	Name    string       `toml:"name"`
	Shows   string       `toml:"shows"`  // one sentence on what the experiment demonstrates
	Seed    uint64       `toml:"seed"`   // seed of every random draw
	Length  figure.Span  `toml:"length"` // duration for which requests arrive
	Short   float64      `toml:"short"`  // length of the short form as a share of Length; 0: 1
	Slower  float64      `toml:"slower"` // short form's request rate as a share of the full form's; 0: 1
	World   World        `toml:"world"`  // drawn from the seed; not allowed together with Script
	Script  fault.Script `toml:"script"` // complete script with its own seed, length and faults
	Phases  []Phase      `toml:"phase"`
	Faults  []Fault      `toml:"fault"`
	Rogues  []Rogues     `toml:"rogues"`
	Asserts []Assert     `toml:"assert"`
}

// World names the scenario from which the world is drawn and the values that
// are fixed instead of drawn. A value of 0 leaves the draw to the scenario.
type World struct {
	Scenario string  `toml:"scenario"` // path relative to the experiment file; empty: the built-in scenario
	Peers    int     `toml:"peers"`    // number of peers
	Nodes    int     `toml:"nodes"`    // number of nodes
	Rate     float64 `toml:"rate"`     // requests per second of all crowds together; excludes Load
	Load     float64 `toml:"load"`     // request rate as a share of the peers' capacity; excludes Rate
}

// Phase is an interval of the run with figures of its own. A request belongs to
// the phases in which it is due.
type Phase struct {
	Name string      `toml:"name"`
	From figure.Span `toml:"from"`
	For  figure.Span `toml:"for"`
}

// Fault is a fault of the script. If Part is set, the seed selects its targets.
type Fault struct {
	fault.Fault
	Part float64 `toml:"part"` // share of the peers, nodes or crowds affected, at least one; 0: the fault names them
}

// Rogues are clients that send requests which must not be served, one client for each kind.
type Rogues struct {
	Kinds []string    `toml:"kinds"` // empty: all kinds of the scenario
	Rate  float64     `toml:"rate"`  // requests per second of each client
	From  figure.Span `toml:"from"`
	For   figure.Span `toml:"for"`
}

// Experiment is an experiment file that has been parsed and validated.
type Experiment struct {
	Form
	inline   bool // the file has a [script] table instead of a [world]
	scenario *fault.Scenario
}

// minShortShare is the lower bound of Form.Short.
const minShortShare = 0.05

// minSlowerShare is the lower bound of Form.Slower.
const minSlowerShare = 0.001

// Load reads an experiment file and validates it. An error is one line with
// the file, the line, the key and the reason.
func Load(path string) (*Experiment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &fault.Error{File: path, Line: 1, Reason: "cannot be read: " + errorReason(err)}
	}
	return Parse(path, data)
}

// errorReason returns the text of an error, without operation and path if it is an os.PathError.
func errorReason(err error) string {
	if e, ok := errors.AsType[*os.PathError](err); ok {
		return e.Err.Error()
	}
	return err.Error()
}

// Parse parses the contents of an experiment file and validates it. The path
// appears in errors and is the base of a relative scenario path.
func Parse(path string, data []byte) (*Experiment, error) {
	e := &Experiment{}
	d, err := fault.ReadDocument(path, data, &e.Form)
	if err != nil {
		return nil, err
	}
	e.inline = d.Has("script")
	if err := e.check(d); err != nil {
		return nil, err
	}
	return e, nil
}

// check validates what decoding alone does not, and sets defaults. It builds
// the script in both forms to report the errors of that step, too.
func (e *Experiment) check(d *fault.Document) error {
	if e.Name == "" {
		return d.Error("name", "must not be empty")
	}
	if e.Shows == "" {
		return d.Error("shows", "must not be empty")
	}
	if e.inline {
		for _, key := range []string{"seed", "length", "world"} {
			if d.Has(key) {
				return d.Error(key, "not allowed together with a script, which has its own")
			}
		}
		e.Seed, e.Length = e.Script.Seed, e.Script.Length
	} else if err := e.readWorld(d); err != nil {
		return err
	}
	switch {
	case e.Length <= 0:
		return d.Error("length", "must be positive")
	case e.Short == 0:
		e.Short = 1
	case !(e.Short >= minShortShare && e.Short <= 1):
		return d.Error("short", "%v is outside the range %v to 1", e.Short, minShortShare)
	}
	if e.Slower == 0 {
		e.Slower = 1
	}
	if !(e.Slower >= minSlowerShare && e.Slower <= 1) {
		return d.Error("slower", "%v is outside the range %v to 1", e.Slower, minSlowerShare)
	}
	if err := e.checkPhases(d); err != nil {
		return err
	}
	if err := e.checkAsserts(d); err != nil {
		return err
	}
	for _, short := range []bool{false, true} {
		if _, err := e.buildScript(e.Seed, short, d); err != nil {
			return err
		}
	}
	return nil
}

// readWorld validates the values of the [world] table and loads its scenario.
func (e *Experiment) readWorld(d *fault.Document) (err error) {
	w := &e.World
	switch {
	case w.Peers < 0 || w.Peers > 1000:
		return d.Error("world.peers", "%d is outside the range 1 to 1000", w.Peers)
	case w.Nodes < 0 || w.Nodes > 1000:
		return d.Error("world.nodes", "%d is outside the range 1 to 1000", w.Nodes)
	case w.Rate != 0 && !(w.Rate >= 1 && w.Rate <= 1e5):
		return d.Error("world.rate", "%v is outside the range 1 to 100000", w.Rate)
	case w.Load != 0 && !(w.Load >= 0.01 && w.Load <= 10):
		return d.Error("world.load", "%v is outside the range 0.01 to 10", w.Load)
	case w.Rate != 0 && w.Load != 0:
		return d.Error("world.load", "rate and load are mutually exclusive")
	}
	if w.Scenario == "" {
		e.scenario, err = fault.Default()
		return err
	}
	from := w.Scenario
	if !filepath.IsAbs(from) {
		from = filepath.Join(filepath.Dir(d.File()), from)
	}
	if e.scenario, err = fault.LoadScenario(from); err != nil {
		return d.Error("world.scenario", "%v", err)
	}
	return nil
}

// checkPhases returns an error for a phase without a unique name or a positive
// length, or that ends after the run.
func (e *Experiment) checkPhases(d *fault.Document) error {
	seen := map[string]bool{Whole: true}
	for i, p := range e.Phases {
		at := func(key string) string { return fmt.Sprintf("phase[%d].%s", i, key) }
		switch {
		case p.Name == "":
			return d.Error(at("name"), "must not be empty")
		case seen[p.Name]:
			return d.Error(at("name"), "%q is a duplicate or the reserved name of the whole run", p.Name)
		case p.For <= 0:
			return d.Error(at("for"), "must be positive")
		case p.From+p.For > e.Length:
			return d.Error(at("for"), "phase ends at %v, after the end of the run at %v", (p.From + p.For).D(), e.Length.D())
		}
		seen[p.Name] = true
	}
	return nil
}
