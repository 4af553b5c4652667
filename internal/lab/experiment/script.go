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

// Plan is what is played, and how it is cut up for the report.
type Plan struct {
	Experiment *Experiment
	Short      bool
	Script     *fault.Script
	Phases     []Phase
}

// Plan makes what a seed plays, in its short form or whole.
func (e *Experiment) Plan(seed uint64, short bool) (*Plan, error) {
	s, err := e.script(seed, short, nil)
	if err != nil {
		return nil, fmt.Errorf("%s, seed %d: %w", e.Name, seed, err)
	}
	p := &Plan{Experiment: e, Short: short, Script: s}
	for _, one := range e.Phases {
		one.From, one.For = e.scaled(one.From, short), e.scaled(one.For, short)
		p.Phases = append(p.Phases, one)
	}
	return p, nil
}

// scaled is a length of time in one of the forms.
func (e *Experiment) scaled(s figure.Span, short bool) figure.Span {
	if !short {
		return s
	}
	return figure.Span(time.Duration(float64(s) * e.Short).Round(time.Millisecond))
}

// script makes the script. Where d is given, what is wrong is placed in it.
func (e *Experiment) script(seed uint64, short bool, d *fault.Document) (*fault.Script, error) {
	placed := func(key, why string) error {
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
			s.Faults[i] = e.timed(s.Faults[i], s, short)
		}
		for i := range s.World.Malformed {
			r := &s.World.Malformed[i]
			r.From, r.For = e.scaled(r.From, short), e.scaled(r.For, short)
		}
	} else {
		s = e.draw(seed)
	}
	s.Length = e.scaled(e.Length, short)
	if short && e.Slower < 1 {
		for i := range s.World.Clients {
			c := &s.World.Clients[i]
			c.Rate = max(figure.Round(c.Rate*e.Slower, 6), leastRate)
		}
	}
	own := len(s.Faults)
	for i, f := range e.Faults {
		if err := e.involve(s, e.timed(f.Fault, s, short), f.Part); err != nil {
			return nil, e.replace(err, func(key string) string { return fmt.Sprintf("fault[%d].%s", i, key) }, placed)
		}
	}
	if err := s.Check(); err != nil {
		return nil, e.replace(err, func(key string) string { return e.key(key, own) }, placed)
	}
	for i, r := range e.Rogues {
		if err := e.rogues(s, r, short); err != nil {
			return nil, e.replace(err, func(string) string { return fmt.Sprintf("rogues[%d]", i) }, placed)
		}
	}
	return s, nil
}

// involve adds a fault of the experiment's own to the script.
func (e *Experiment) involve(s *fault.Script, f fault.Fault, part float64) error {
	if !(part >= 0 && part <= 1) {
		return &fault.Error{Key: "part", Reason: fmt.Sprintf("%v is not from 0 to 1", part)}
	}
	if f.Kind == fault.Rogues {
		return &fault.Error{Key: "kind", Reason: `"rogues" are stated as [[rogues]]`}
	}
	return s.Involve(f, part)
}

// replace puts an error on a script where the experiment states what is wrong.
func (e *Experiment) replace(err error, key func(string) string, placed func(key, why string) error) error {
	if at, ok := errors.AsType[*fault.Error](err); ok {
		return placed(key(at.Key), at.Reason)
	}
	return err
}

// key is the experiment's key for one of its script, whose first own faults are
// the script's.
func (e *Experiment) key(key string, own int) string {
	var n int
	if _, err := fmt.Sscanf(key, "fault[%d]", &n); err == nil && n >= own {
		_, rest, _ := strings.Cut(key, "]")
		return fmt.Sprintf("fault[%d]%s", n-own, rest)
	}
	if e.inline {
		return "script." + key
	}
	return key
}

// leastRate is the least that a crowd may have.
const leastRate = 0.01

// mostRate leaves a world all its peers, whatever is asked of them.
const mostRate = 1e9

// draw makes the world of a seed, without any fault.
func (e *Experiment) draw(seed uint64) *fault.Script {
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
		sc.Load.MostRate = fault.Range{Lo: mostRate, Hi: mostRate}
	}
	s := fault.Draw(seed, &sc)
	if w.Rate > 0 {
		sum := 0.0
		for _, c := range s.World.Clients {
			sum += c.Rate
		}
		for i := range s.World.Clients {
			c := &s.World.Clients[i]
			c.Rate = max(figure.Round(c.Rate*w.Rate/sum, 6), leastRate)
		}
	}
	return s
}

// timed is a fault with its times in one of the forms. It lasts as long as its
// kind must.
func (e *Experiment) timed(f fault.Fault, s *fault.Script, short bool) fault.Fault {
	if !short {
		return f
	}
	f.At, f.Pause = e.scaled(f.At, short), e.scaled(f.Pause, short)
	f.Back, f.TurnAway = e.scaled(f.Back, short), e.scaled(f.TurnAway, short)
	if f.For > 0 {
		f.For = max(e.scaled(f.For, short), fault.Least(f.Kind, &s.World))
	}
	return f
}

// rogues adds some of the experiment's to the world, and checks them.
func (e *Experiment) rogues(s *fault.Script, r Rogues, short bool) error {
	w, kinds := &s.World, r.Kinds
	if len(kinds) == 0 && !e.inline {
		kinds = e.scenario.Rogues.Kinds
	}
	if len(kinds) == 0 {
		return &fault.Error{Reason: "kinds: there must be one at least"}
	}
	for _, kind := range kinds {
		n := len(w.Malformed) + 1
		w.Malformed = append(w.Malformed, world.MalformedClient{
			Name: fmt.Sprintf("rogue-%d", n), Zone: w.Zones[n%len(w.Zones)], Kind: kind, Rate: r.Rate,
			From: e.scaled(r.From, short), For: e.scaled(r.For, short),
		})
	}
	return s.Check()
}
