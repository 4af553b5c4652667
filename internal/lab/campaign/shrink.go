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

// Shrinker reduces a script as long as it still breaks a rule.
type Shrinker struct {
	Sources Sources
	Pool    *Pool
	Rule    string           // rule that must stay broken; empty: the first rule that the script breaks
	OnStep  func(state Step) // called after each run; may be nil
}

// Step is the progress of a shrink.
type Step struct {
	Rule     string
	Runs     int // number of finished runs
	Accepted int // number of reductions that kept the failure
	Script   *fault.Script
}

// ShrinkResult is the result of a shrink.
type ShrinkResult struct {
	Script *fault.Script
	First  rules.Violation // first violation of the rule by Script
	Steps  Step
}

// Shrink reduces a script as long as the rule stays broken. It plays the candidates in parallel,
// but always accepts the first candidate in the order of Sources.Smaller that still fails: the
// result does not depend on the number of workers. If ctx ends, Shrink returns the result so far
// together with the error.
func (s *Shrinker) Shrink(ctx context.Context, script *fault.Script) (*ShrinkResult, error) {
	result := &ShrinkResult{Script: script, Steps: Step{Rule: s.Rule, Script: script}}
	tried := map[string]bool{}
	found, err := s.pass(ctx, result, tried, func(yield func(*fault.Script) bool) { yield(script) })
	switch {
	case err != nil:
		return nil, err
	case !found && s.Rule != "":
		return nil, fmt.Errorf("nothing to shrink: the run does not break the rule %q", s.Rule)
	case !found:
		return nil, errors.New("nothing to shrink: the run breaks no rule")
	}
	result.Steps.Accepted = 0 // the full script is not a reduction
	for found {
		if found, err = s.pass(ctx, result, tried, s.Sources.Smaller(result.Script)); err != nil {
			return result, err
		}
	}
	return result, nil
}

// pass plays those scripts that have not been tried until one breaks the rule, and stores that
// script in result.
func (s *Shrinker) pass(ctx context.Context, result *ShrinkResult, tried map[string]bool,
	scripts iter.Seq[*fault.Script]) (found bool, err error) {
	var played []*fault.Script // indexed by job ID
	var writeErr error
	jobs := func(yield func(Job) bool) {
		seen := map[string]bool{}
		for script := range scripts {
			var text bytes.Buffer
			if writeErr = s.Sources.Write(script, &text); writeErr != nil {
				return
			}
			sum := hashOf(text.String())
			if tried[sum] || seen[sum] {
				continue
			}
			seen[sum] = true
			played = append(played, script)
			if !yield(Job{ID: len(played) - 1, Seed: script.Seed, Script: text.String()}) {
				return
			}
		}
	}
	acceptedJob := 0
	// Whether jobs after the accepted one have finished depends on timing: they count as not tried.
	var finished []string
	err = s.Pool.Run(ctx, jobs, func(o Outcome) bool {
		finished = append(finished, hashOf(o.Job.Script))
		result.Steps.Runs++
		if result.Steps.Rule == "" && o.Failed() {
			result.Steps.Rule = o.Result.Violations[0].Rule
		}
		if v, broke := o.Broke(result.Steps.Rule); broke {
			found, acceptedJob, result.First = true, o.Job.ID, v
			result.Steps.Accepted++
		}
		if s.OnStep != nil {
			s.OnStep(result.Steps)
		}
		return !found
	})
	for _, sum := range finished {
		tried[sum] = true
	}
	if found {
		result.Script = played[acceptedJob] // safe to read: the pool has stopped
		result.Steps.Script = result.Script
	}
	return found, cmp.Or(err, writeErr)
}

// hashOf returns the SHA-256 sum of a script's text.
func hashOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return string(sum[:])
}
