package stage

import (
	"os/exec"
	"strings"
	"testing"

	"olivebridge/internal/lab/mutant"
)

// TestTheTableFails verifies that TestFaultsAgainstStages detects a mutant of the node for each rule: one run of it,
// or a recorded script where that test's world has too much spare capacity, must break the rule. Each row names the
// run in which the mutant has an effect.
func TestTheTableFails(t *testing.T) {
	if racing || testing.Short() {
		t.Skip("builds the test binary five times")
	}
	mutants, err := mutant.All()
	if err != nil {
		t.Fatal(err)
	}
	root, err := mutant.Root()
	if err != nil {
		t.Fatal(err)
	}
	const table = "^TestFaultsAgainstStages$/"
	rows := map[string]struct{ rule, play string }{
		"drain-closes-busy":   {"lost", table + "silent_after_the_last_byte/end"},
		"deadline-missed":     {"late", table + "silent_after_the_last_byte"},
		"reset-never-sent":    {"effect", table + "reset_under_requests"},
		"drain-not-seen":      {"drain", table + "drained,_back_cold"},
		"cold-counts-as-warm": {"cold", "^TestKept$/cold-in-turn"},
	}
	for _, p := range mutants {
		c, listed := rows[p.Name]
		if !listed {
			continue
		}
		delete(rows, p.Name)
		t.Run(p.Name, func(t *testing.T) {
			overlay, err := p.Overlay(root, t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			cmd := exec.Command("go", "test", "-count=1", "-overlay", overlay,
				"-run", c.play, "./internal/lab/stage")
			cmd.Dir = root
			out, err := cmd.CombinedOutput()
			if err == nil || !strings.Contains(string(out), c.rule+" at ") {
				t.Errorf("run did not break rule %q: error %v, output %.500s", c.rule, err, out)
			}
		})
	}
	if len(rows) > 0 {
		t.Errorf("unknown mutants in the table: %v", rows)
	}
}
