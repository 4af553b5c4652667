package campaign_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"

	"olivebridge/internal/lab/campaign"
	"olivebridge/internal/lab/mutant"
)

// workerSource is the source of a worker. With the mutant applied it breaks the rule late with
// seed 2 and the rule effect from seed 3 on; with or without it, seed 4 breaks the rule lost.
const workerSource = `package main

import (
	"encoding/json"
	"os"
)

const mutated = false

func main() {
	in, out := json.NewDecoder(os.Stdin), json.NewEncoder(os.NewFile(3, "replies"))
	for {
		var j struct{ ID, Seed int }
		if in.Decode(&j) != nil {
			return
		}
		var broken []map[string]any
		add := func(rule string) { broken = append(broken, map[string]any{"rule": rule, "what": "x"}) }
		if mutated && j.Seed == 2 {
			add("late")
		}
		if mutated && j.Seed >= 3 {
			add("effect")
		}
		if j.Seed == 4 {
			add("lost")
		}
		out.Encode(map[string]any{"id": j.ID, "result": map[string]any{"seed": j.Seed, "violations": broken}})
	}
}
`

// A mutant is detected only by one of its expected rules, with a seed for which the unmodified
// build does not break the same rule.
func TestHunt(t *testing.T) {
	root, dir := t.TempDir(), t.TempDir()
	for name, text := range map[string]string{"go.mod": "module toy\n\ngo 1.26\n", "main.go": workerSource} {
		if err := os.WriteFile(filepath.Join(root, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	build := exec.Command("go", "build", "-o", filepath.Join(dir, "sound"), ".")
	build.Dir = root
	if said, err := build.CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, said)
	}
	sound := &campaign.Pool{Command: []string{filepath.Join(dir, "sound")}}
	h := campaign.Hunter{Root: root, Dir: dir, Tool: ".", Seeds: 6, Pool: campaign.Pool{Workers: 2}}
	for _, c := range []struct {
		expected []string
		rule     string
		seed     uint64
		others   []string
	}{
		{[]string{"effect"}, "effect", 3, []string{"late"}},
		{[]string{"lost"}, "", 0, []string{"late", "effect"}},
	} {
		p := mutant.Mutant{Name: "p", Rules: c.expected, File: "main.go", Old: "mutated = false", New: "mutated = true"}
		f, err := h.Hunt(t.Context(), p, sound)
		if err != nil {
			t.Fatal(err)
		}
		if f.Rule != c.rule || f.Seed != c.seed || !slices.Equal(f.Others, c.others) {
			t.Errorf("expected rules %v: unexpected result %+v", c.expected, f)
		}
	}
}
