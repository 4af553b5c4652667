package campaign

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"olivebridge/internal/lab/mutant"
)

// Hunter checks that the rules detect a mutant: it builds the lab tool with the mutant
// applied and plays seeds until one of the mutant's expected rules is broken.
type Hunter struct {
	Root     string // root of the module's source tree
	Dir      string // directory for the built programs
	Tool     string // package of the lab tool, as an argument of go build in Root
	Seeds    uint64 // upper bound of seeds to play, starting at 1
	Scenario string // path of the scenario file; empty: the built-in scenario
	Pool     Pool   // runs the mutant; its Command is ignored
}

// HuntResult is the result of the hunt for one mutant.
type HuntResult struct {
	Name     string        `json:"name"`
	Expected []string      `json:"expected"`
	Rule     string        `json:"rule,omitempty"` // expected rule that was broken; empty: mutant not detected
	Seed     uint64        `json:"seed,omitempty"` // seed that broke Rule; also the number of seeds played (from 1)
	What     string        `json:"what,omitempty"`
	Others   []string      `json:"others,omitempty"` // other rules broken up to that seed, but not by the unmodified build
	RealTime time.Duration `json:"real"`
}

// Hunt hunts one mutant. The pool sound runs the unmodified build: a violation does not count
// if the unmodified build breaks the same rule with the same seed.
func (h *Hunter) Hunt(ctx context.Context, m mutant.Mutant, sound *Pool) (HuntResult, error) {
	f, start := HuntResult{Name: m.Name, Expected: m.Rules}, time.Now()
	program := filepath.Join(h.Dir, m.Name)
	if err := m.Build(h.Root, h.Dir, h.Tool, program); err != nil {
		return f, err
	}
	pool := h.Pool
	pool.Command = []string{program, "worker"}
	var soundErr error
	err := pool.Run(ctx, Seeds(1, h.Seeds, h.Scenario), func(o Outcome) bool {
		if !o.Failed() {
			return true
		}
		var soundOutcome Outcome
		if soundOutcome, soundErr = sound.One(ctx, o.Job); soundErr != nil {
			return false
		}
		for _, v := range o.Result.Violations {
			if _, alsoInSound := soundOutcome.Broke(v.Rule); alsoInSound {
				continue
			}
			if slices.Contains(m.Rules, v.Rule) {
				f.Rule, f.Seed, f.What = v.Rule, o.Job.Seed, v.Detail
				return false
			}
			if !slices.Contains(f.Others, v.Rule) {
				f.Others = append(f.Others, v.Rule)
			}
		}
		return true
	})
	f.RealTime = time.Since(start)
	if err == nil {
		err = soundErr
	}
	if err != nil {
		return f, fmt.Errorf("mutant %s: %w", m.Name, err)
	}
	return f, nil
}
