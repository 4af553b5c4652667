// Package mutant holds mutants of the node: small wrong changes of its code, kept as data,
// each of which the lab must find. They are never applied to the tree: a build reads a
// changed copy of one file through the overlay of the go command.
package mutant

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

//go:embed mutants.toml
var list []byte

// Mutant is the program with one small wrong change.
type Mutant struct {
	Name   string   `toml:"name"`
	Breaks string   `toml:"breaks"` // what goes wrong by it, in a sentence
	Rules  []string `toml:"rules"`  // those that show it; one of them has to
	File   string   `toml:"file"`   // from the root of the module
	Old    string   `toml:"old"`    // stands in the file exactly once
	New    string   `toml:"new"`
}

// All reads the mutants.
func All() ([]Mutant, error) { return Parse("mutants.toml", list) }

// Parse reads a list of mutants; name is that of its file.
func Parse(name string, data []byte) ([]Mutant, error) {
	var in struct {
		Mutants []Mutant `toml:"mutant"`
	}
	d := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := d.Decode(&in); err != nil {
		return nil, fmt.Errorf("%s:%w", name, located(err))
	}
	seen := map[string]bool{}
	for i, m := range in.Mutants {
		switch {
		case m.Name == "" || strings.ContainsAny(m.Name, "/\\ "):
			return nil, fmt.Errorf("%s: mutant %d: name: missing, or with a slash or space: %q", name, i+1, m.Name)
		case seen[m.Name]:
			return nil, fmt.Errorf("%s: mutant %s: the name stands twice", name, m.Name)
		case m.Breaks == "" || len(m.Rules) == 0 || !filepath.IsLocal(m.File) || m.Old == "" || m.Old == m.New:
			return nil, fmt.Errorf("%s: mutant %s: breaks, rules, file, old or new: missing or without effect",
				name, m.Name)
		}
		seen[m.Name] = true
	}
	return in.Mutants, nil
}

// located puts the line first, as a compiler does, where the reader of TOML knows it.
func located(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		line, _ := first.Position()
		return fmt.Errorf("%d: %s: unknown key", line, strings.Join(first.Key(), "."))
	}
	var broken *toml.DecodeError
	if errors.As(err, &broken) {
		line, _ := broken.Position()
		return fmt.Errorf("%d: %w", line, err)
	}
	return fmt.Errorf(" %w", err)
}

// Root finds the root of the module's source tree from the directory that the program runs in.
func Root() (string, error) {
	out, err := exec.Command("go", "list", "-m", "-f", "{{.Path}} {{.Dir}}").Output()
	path, dir, ok := strings.Cut(strings.TrimSpace(string(out)), " ")
	if err != nil || !ok || path != module {
		return "", fmt.Errorf("the node is built from its sources: run in the tree of %s, with go", module)
	}
	return dir, nil
}

const module = "olivebridge"

// Overlay writes the changed file and the overlay that puts it in the place of the tree's
// into dir, and returns the overlay's path.
func (m *Mutant) Overlay(root, dir string) (string, error) {
	source := filepath.Join(root, filepath.FromSlash(m.File))
	text, err := os.ReadFile(source)
	if err != nil {
		return "", fmt.Errorf("mutant %s: %w", m.Name, err)
	}
	if n := strings.Count(string(text), m.Old); n != 1 {
		return "", fmt.Errorf("mutant %s: old: stands %d times in %s, not once", m.Name, n, m.File)
	}
	changed := filepath.Join(dir, m.Name+".go")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(text), m.Old, m.New, 1)), 0o600); err != nil {
		return "", fmt.Errorf("mutant %s: %w", m.Name, err)
	}
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {source: changed}})
	if err != nil {
		return "", fmt.Errorf("mutant %s: %w", m.Name, err)
	}
	path := filepath.Join(dir, m.Name+".json")
	if err := os.WriteFile(path, overlay, 0o600); err != nil {
		return "", fmt.Errorf("mutant %s: %w", m.Name, err)
	}
	return path, nil
}

// Package is the package that the mutant changes, as the go command takes it at the root.
func (m *Mutant) Package() string { return "./" + filepath.ToSlash(filepath.Dir(m.File)) }

// Build builds a package of the tree as the mutant has it; its program, if it is one, goes
// to out, unless that is empty. Work files go to dir.
func (m *Mutant) Build(root, dir, pkg, out string) error {
	overlay, err := m.Overlay(root, dir)
	if err != nil {
		return err
	}
	args := []string{"build", "-overlay", overlay}
	if out != "" {
		args = append(args, "-o", out)
	}
	cmd := exec.Command("go", append(args, pkg)...)
	cmd.Dir = root
	if said, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("mutant %s: building %s: %w: %s", m.Name, pkg, err, oneLine(said))
	}
	return nil
}

// oneLine is what a compiler said, without its headings.
func oneLine(said []byte) string {
	var lines []string
	for l := range strings.Lines(string(said)) {
		if l = strings.TrimSpace(l); l != "" && !strings.HasPrefix(l, "#") {
			lines = append(lines, l)
		}
	}
	return strings.Join(lines, "; ")
}
