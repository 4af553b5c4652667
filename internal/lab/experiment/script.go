package experiment

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/world"
)

// Plan is the script to play and the phases of its report.
type Plan struct {
	Experiment *Experiment
	Short      bool
	Script     *fault.Script
	Phases     []Phase
}

// Plan returns the plan of a seed, in the short or the full form.
func (e *Experiment) Plan(seed uint64, short bool) (*Plan, error) {
	s, err := e.buildScript(seed, short, nil)
	if err != nil {
		return nil, fmt.Errorf("%s, seed %d: %w", e.Name, seed, err)
	}
	p := &Plan{Experiment: e, Short: short, Script: s}
	for _, one := range e.Phases {
		one.From, one.For = e.scale(one.From, short), e.scale(one.For, short)
		p.Phases = append(p.Phases, one)
	}
	return p, nil
}

// scale returns a duration of the file as it is in the full form, or multiplied by
// Form.Short in the short form.
func (e *Experiment) scale(s figure.Span, short bool) figure.Span {
	if !short {
		return s
	}
	return figure.Span(time.Duration(float64(s) * e.Short).Round(time.Millisecond))
}

// buildScript returns the script of a seed. If d is not nil, errors name the line
// in that document.
func (e *Experiment) buildScript(seed uint64, short bool, d *fault.Document) (*fault.Script, error) {
	newError := func(key, why string) error {
		if d == nil {
			return &fault.Error{Key: key, Reason: why}
		}
		return d.Error(key, "%s", why)
	}
	var s *fault.Script
	if e.inline {
		s = e.Script.Clone()
		s.Seed = seed
		for i := range s.Faults {
			s.Faults[i] = e.scaleTimes(s.Faults[i], s, short)
		}
		for i := range s.World.Malformed {
			r := &s.World.Malformed[i]
			r.From, r.For = e.scale(r.From, short), e.scale(r.For, short)
		}
	} else {
		s = e.drawScript(seed)
	}
	s.Length = e.scale(e.Length, short)
	if short && e.Slower < 1 {
		for i := range s.World.Clients {
			c := &s.World.Clients[i]
			c.Rate = max(figure.Round(c.Rate*e.Slower, 6), minCrowdRate)
		}
	}
	scriptFaults := len(s.Faults)
	for i, f := range e.Faults {
		if err := e.addFault(s, e.scaleTimes(f.Fault, s, short), f.Part); err != nil {
			return nil, e.relocateError(err, func(key string) string { return fmt.Sprintf("fault[%d].%s", i, key) }, newError)
		}
	}
	if err := s.Check(); err != nil {
		return nil, e.relocateError(err, func(key string) string { return e.experimentKey(key, scriptFaults) }, newError)
	}
	for i, r := range e.Rogues {
		if err := e.addRogues(s, r, short); err != nil {
			return nil, e.relocateError(err, func(string) string { return fmt.Sprintf("rogues[%d]", i) }, newError)
		}
	}
	return s, nil
}

// addFault adds a fault of the experiment file to the script. part is Fault.Part.
func (e *Experiment) addFault(s *fault.Script, f fault.Fault, part float64) error {
	if !(part >= 0 && part <= 1) {
		return &fault.Error{Key: "part", Reason: fmt.Sprintf("%v is outside the range 0 to 1", part)}
	}
	if f.Kind == fault.Rogues {
		return &fault.Error{Key: "kind", Reason: `"rogues" is not a kind of [[fault]]; use [[rogues]]`}
	}
	return s.AddFault(f, part)
}

// relocateError replaces the script key of a fault.Error by the key of the
// experiment file. It returns other errors unchanged.
func (e *Experiment) relocateError(err error, key func(string) string, newError func(key, why string) error) error {
	if at, ok := errors.AsType[*fault.Error](err); ok {
		return newError(key(at.Key), at.Reason)
	}
	return err
}

// experimentKey returns the key in the experiment file for a key of the script.
// The first scriptFaults faults of the script come from the [script] table, the
// others from the file's [[fault]] tables.
func (e *Experiment) experimentKey(key string, scriptFaults int) string {
	var n int
	if _, err := fmt.Sscanf(key, "fault[%d]", &n); err == nil && n >= scriptFaults {
		_, rest, _ := strings.Cut(key, "]")
		return fmt.Sprintf("fault[%d]%s", n-scriptFaults, rest)
	}
	if e.inline {
		return "script." + key
	}
	return key
}

// minCrowdRate is the lower bound of a crowd's request rate, in requests per second.
const minCrowdRate = 0.01

// maxRequestRate, in requests per second, replaces the scenario's limit on the
// request rate when the experiment sets a rate or a load, so that the draw keeps
// all peers at any rate.
const maxRequestRate = 1e9

// drawScript draws the script of a seed from the scenario, without faults, and
// applies the values of the [world] table.
func (e *Experiment) drawScript(seed uint64) *fault.Script {
	sc, w := *e.scenario, &e.World
	sc.Faults.Calm = 1
	if w.Peers > 0 {
		sc.Scale.Peers = fault.Counts{Lo: w.Peers, Hi: w.Peers}
	}
	if w.Nodes > 0 {
		sc.Scale.Nodes, sc.Scale.OneNode = fault.Counts{Lo: w.Nodes, Hi: w.Nodes}, 0
	}
	if w.Load > 0 {
		sc.Load.Usual, sc.Load.Overload = fault.Range{Lo: w.Load, Hi: w.Load}, 0
	}
	if w.Load > 0 || w.Rate > 0 {
		sc.Load.MostRate = fault.Range{Lo: maxRequestRate, Hi: maxRequestRate}
	}
	s := fault.Draw(seed, &sc)
	if w.Rate > 0 {
		sum := 0.0
		for _, c := range s.World.Clients {
			sum += c.Rate
		}
		for i := range s.World.Clients {
			c := &s.World.Clients[i]
			c.Rate = max(figure.Round(c.Rate*w.Rate/sum, 6), minCrowdRate)
		}
	}
	return s
}

// scaleTimes returns a fault with its times scaled to the form. Its duration is
// never below the minimum of its kind.
func (e *Experiment) scaleTimes(f fault.Fault, s *fault.Script, short bool) fault.Fault {
	if !short {
		return f
	}
	f.At, f.Pause = e.scale(f.At, short), e.scale(f.Pause, short)
	f.Back, f.TurnAway = e.scale(f.Back, short), e.scale(f.TurnAway, short)
	if f.For > 0 {
		f.For = max(e.scale(f.For, short), fault.MinDuration(f.Kind, &s.World))
	}
	return f
}

// addRogues adds one rogue client of each kind to the world and validates the
// script.
func (e *Experiment) addRogues(s *fault.Script, r Rogues, short bool) error {
	w, kinds := &s.World, r.Kinds
	if len(kinds) == 0 && !e.inline {
		kinds = e.scenario.Rogues.Kinds
	}
	if len(kinds) == 0 {
		return &fault.Error{Reason: "kinds: must not be empty"}
	}
	for _, kind := range kinds {
		n := len(w.Malformed) + 1
		w.Malformed = append(w.Malformed, world.MalformedClient{
			Name: fmt.Sprintf("rogue-%d", n), Zone: w.Zones[n%len(w.Zones)], Kind: kind, Rate: r.Rate,
			From: e.scale(r.From, short), For: e.scale(r.For, short),
		})
	}
	return s.Check()
}
