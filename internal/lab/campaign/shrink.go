package campaign

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"iter"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/rules"
)

// Shrinker makes the smallest script that still breaks a rule.
type Shrinker struct {
	Sources Sources
	Pool    *Pool
	Rule    string           // the rule that must still be broken; "": the first that is
	Tell    func(state Step) // hears of each run that is over; may be nil
}

// Step is how far a shrinking has come.
type Step struct {
	Rule   string
	Runs   int // that were over
	Taken  int // cuts that kept the failure
	Script *fault.Script
}

// Shrunk is what a shrinking came to.
type Shrunk struct {
	Script *fault.Script
	First  rules.Violation // as it breaks the rule now
	Steps  Step
}

// Shrink takes things away as long as the rule stays broken. Cuts are tried in parallel, but
// the first in the order of Sources.Smaller that still fails is always taken, so that the
// outcome is the same with any number of workers. If ctx ends, what was reached until then
// comes with the error.
func (s *Shrinker) Shrink(ctx context.Context, script *fault.Script) (*Shrunk, error) {
	b := &Shrunk{Script: script, Steps: Step{Rule: s.Rule, Script: script}}
	tried := map[string]bool{}
	found, err := s.pass(ctx, b, tried, func(yield func(*fault.Script) bool) { yield(script) })
	switch {
	case err != nil:
		return nil, err
	case !found && s.Rule != "":
		return nil, fmt.Errorf("nothing to shrink: the run does not break the rule %q", s.Rule)
	case !found:
		return nil, errors.New("nothing to shrink: the run breaks no rule")
	}
	b.Steps.Taken = 0 // the whole script is no cut
	for found {
		if found, err = s.pass(ctx, b, tried, s.Sources.Smaller(b.Script)); err != nil {
			return b, err
		}
	}
	return b, nil
}

// pass plays scripts that have not been tried until one breaks the rule, which b then holds.
func (s *Shrinker) pass(ctx context.Context, b *Shrunk, tried map[string]bool,
	some iter.Seq[*fault.Script]) (found bool, err error) {
	var played []*fault.Script // by the number of the job
	var unwritten error
	jobs := func(yield func(Job) bool) {
		here := map[string]bool{}
		for script := range some {
			var text bytes.Buffer
			if unwritten = s.Sources.Write(script, &text); unwritten != nil {
				return
			}
			sum := digestOf(text.String())
			if tried[sum] || here[sum] {
				continue
			}
			here[sum] = true
			played = append(played, script)
			if !yield(Job{ID: len(played) - 1, Seed: script.Seed, Script: text.String()}) {
				return
			}
		}
	}
	taken := 0
	// Those begun after the one that is taken may have ended or not, by luck: they count as not tried.
	var over []string
	err = s.Pool.Run(ctx, jobs, func(o Outcome) bool {
		over = append(over, digestOf(o.Job.Script))
		b.Steps.Runs++
		if b.Steps.Rule == "" && o.Failed() {
			b.Steps.Rule = o.Result.Violations[0].Rule
		}
		if v, broke := o.Broke(b.Steps.Rule); broke {
			found, taken, b.First = true, o.Job.ID, v
			b.Steps.Taken++
		}
		if s.Tell != nil {
			s.Tell(b.Steps)
		}
		return !found
	})
	for _, sum := range over {
		tried[sum] = true
	}
	if found {
		b.Script = played[taken] // no worker takes jobs any more
		b.Steps.Script = b.Script
	}
	return found, cmp.Or(err, unwritten)
}

func digestOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return string(sum[:])
}
