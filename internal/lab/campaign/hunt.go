package campaign

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"olivebridge/internal/lab/mutant"
)

// Hunter looks for mutants: it builds the tool as one, and plays seeds until a rule
// that is to show it is broken.
type Hunter struct {
	Root     string // of the module's source tree
	Dir      string // for what is built
	Tool     string // the package of the tool, as the go command takes it at the root
	Seeds    uint64 // at most, from 1 on
	Scenario string
	Pool     Pool // but for its command
}

// Find is what became of one mutant.
type Find struct {
	Name     string        `json:"name"`
	Expected []string      `json:"expected"`
	Rule     string        `json:"rule,omitempty"` // that showed it; "": not found
	Seed     uint64        `json:"seed,omitempty"` // the seeds that it took, too: they begin at 1
	What     string        `json:"what,omitempty"`
	Others   []string      `json:"others,omitempty"` // further rules broken by then, and by the sound build not
	Real     time.Duration `json:"real"`
}

// Hunt plays one mutant. A seed at which the sound build, played by the pool sound, breaks the
// same rule does not count.
func (h *Hunter) Hunt(ctx context.Context, p mutant.Mutant, sound *Pool) (Find, error) {
	f, start := Find{Name: p.Name, Expected: p.Rules}, time.Now()
	program := filepath.Join(h.Dir, p.Name)
	if err := p.Build(h.Root, h.Dir, h.Tool, program); err != nil {
		return f, err
	}
	pool := h.Pool
	pool.Command = []string{program, "worker"}
	var failed error
	err := pool.Run(ctx, Seeds(1, h.Seeds, h.Scenario), func(o Outcome) bool {
		if !o.Failed() {
			return true
		}
		var usual Outcome
		if usual, failed = sound.One(ctx, o.Job); failed != nil {
			return false
		}
		for _, v := range o.Result.Violations {
			if _, usually := usual.Broke(v.Rule); usually {
				continue
			}
			if slices.Contains(p.Rules, v.Rule) {
				f.Rule, f.Seed, f.What = v.Rule, o.Job.Seed, v.Detail
				return false
			}
			if !slices.Contains(f.Others, v.Rule) {
				f.Others = append(f.Others, v.Rule)
			}
		}
		return true
	})
	f.Real = time.Since(start)
	if err == nil {
		err = failed
	}
	if err != nil {
		return f, fmt.Errorf("mutant %s: %w", p.Name, err)
	}
	return f, nil
}
