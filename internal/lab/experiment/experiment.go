// Package experiment plays experiments: a world under a stated rate of
// requests, some faults in stated phases, and assertions on what comes of it.
//
// Who plays is a Runner: on the virtual clock, or on sockets. What it tells as
// it goes is the same, and all figures are made here from that alone.
//
// Arrivals are open-loop: each request has an instant at which it is due, drawn
// ahead, and no answer moves it. Its time counts from that instant on, so that
// one slow answer, or a load tool that is late, hides nothing.
package experiment

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
)

// Form is an experiment as a file states it.
type Form struct {
	Name    string       `toml:"name"`
	Shows   string       `toml:"shows"`  // what it shows, in a sentence
	Seed    uint64       `toml:"seed"`   // of all that is drawn
	Length  figure.Span  `toml:"length"` // requests arrive until then
	Short   float64      `toml:"short"`  // the short form's length, as a share of Length
	Slower  float64      `toml:"slower"` // the short form's rate of requests, as a share of the full one's; 0: all of it
	World   World        `toml:"world"`  // drawn by the seed, or:
	Script  fault.Script `toml:"script"` // stated whole, with seed, length and faults of its own
	Phases  []Phase      `toml:"phase"`
	Faults  []Fault      `toml:"fault"`
	Rogues  []Rogues     `toml:"rogues"`
	Asserts []Assert     `toml:"assert"`
}

// World says what the world is drawn from, and what is not left to the draw.
type World struct {
	Scenario string  `toml:"scenario"` // file, seen from the experiment's; empty: the lab's own
	Peers    int     `toml:"peers"`    // 0: as the scenario has it; and so below
	Nodes    int     `toml:"nodes"`
	Rate     float64 `toml:"rate"` // requests a second, all crowds together
	Load     float64 `toml:"load"` // or that part of what the peers can do
}

// Phase is a time of the run that is judged by itself. Requests belong to it
// that are due in it.
type Phase struct {
	Name string      `toml:"name"`
	From figure.Span `toml:"from"`
	For  figure.Span `toml:"for"`
}

// Fault is one of a script, which may leave it to the seed whom it is about.
type Fault struct {
	fault.Fault
	Part float64 `toml:"part"` // of the peers, nodes or crowds there are; one at least
}

// Rogues are clients that send what cannot be served, one of each kind.
type Rogues struct {
	Kinds []string    `toml:"kinds"` // empty: all that the scenario knows
	Rate  float64     `toml:"rate"`  // a second, each
	From  figure.Span `toml:"from"`
	For   figure.Span `toml:"for"`
}

// Experiment is one that has been read and checked.
type Experiment struct {
	Form
	inline   bool // its script is stated whole
	scenario *fault.Scenario
}

// shortest is the least share of a length that a short form may be.
const shortest = 0.05

// slowest is the least share of a rate that a short form may have.
const slowest = 0.001

// Load reads an experiment from a file and checks it. What is wrong is reported
// in one line: file, line, key, reason.
func Load(path string) (*Experiment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &fault.Error{File: path, Line: 1, Reason: "cannot be read: " + reason(err)}
	}
	return Parse(path, data)
}

func reason(err error) string {
	if e, ok := errors.AsType[*os.PathError](err); ok {
		return e.Err.Error()
	}
	return err.Error()
}

// Parse reads an experiment from a file's bytes and checks it.
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

// check finds what the form of a file does not.
func (e *Experiment) check(d *fault.Document) error {
	if e.Name == "" {
		return d.Error("name", "there is none")
	}
	if e.Shows == "" {
		return d.Error("shows", "say what it shows")
	}
	if e.inline {
		for _, key := range []string{"seed", "length", "world"} {
			if d.Has(key) {
				return d.Error(key, "not beside a script, which states its own")
			}
		}
		e.Seed, e.Length = e.Script.Seed, e.Script.Length
	} else if err := e.readWorld(d); err != nil {
		return err
	}
	switch {
	case e.Length <= 0:
		return d.Error("length", "there is none")
	case e.Short == 0:
		e.Short = 1
	case !(e.Short >= shortest && e.Short <= 1):
		return d.Error("short", "%v is not from %v to 1", e.Short, shortest)
	}
	if e.Slower == 0 {
		e.Slower = 1
	}
	if !(e.Slower >= slowest && e.Slower <= 1) {
		return d.Error("slower", "%v is not from %v to 1", e.Slower, slowest)
	}
	if err := e.checkPhases(d); err != nil {
		return err
	}
	if err := e.checkAsserts(d); err != nil {
		return err
	}
	for _, short := range []bool{false, true} {
		if _, err := e.script(e.Seed, short, d); err != nil {
			return err
		}
	}
	return nil
}

// readWorld checks the figures of a drawn world, and reads its scenario.
func (e *Experiment) readWorld(d *fault.Document) (err error) {
	w := &e.World
	switch {
	case w.Peers < 0 || w.Peers > 1000:
		return d.Error("world.peers", "%d is not from 1 to 1000", w.Peers)
	case w.Nodes < 0 || w.Nodes > 1000:
		return d.Error("world.nodes", "%d is not from 1 to 1000", w.Nodes)
	case w.Rate != 0 && !(w.Rate >= 1 && w.Rate <= 1e5):
		return d.Error("world.rate", "%v is not from 1 to 100000", w.Rate)
	case w.Load != 0 && !(w.Load >= 0.01 && w.Load <= 10):
		return d.Error("world.load", "%v is not from 0.01 to 10", w.Load)
	case w.Rate != 0 && w.Load != 0:
		return d.Error("world.load", "either a rate or a load")
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

func (e *Experiment) checkPhases(d *fault.Document) error {
	seen := map[string]bool{Whole: true}
	for i, p := range e.Phases {
		at := func(key string) string { return fmt.Sprintf("phase[%d].%s", i, key) }
		switch {
		case p.Name == "":
			return d.Error(at("name"), "there is none")
		case seen[p.Name]:
			return d.Error(at("name"), "%q stands twice, or is the whole run", p.Name)
		case p.For <= 0:
			return d.Error(at("for"), "it has no length")
		case p.From+p.For > e.Length:
			return d.Error(at("for"), "goes on until %v, the run until %v", (p.From + p.For).D(), e.Length.D())
		}
		seen[p.Name] = true
	}
	return nil
}
