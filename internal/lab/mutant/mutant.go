// Package mutant lists mutants of the node: small faulty changes of its source code, stored as data, each of which the
// lab must detect. A mutant never modifies the source tree: the build reads a changed copy of one file through the
// -overlay flag of the go command.
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
var embeddedMutants []byte

// Mutant is one small faulty change of the program's source code.
type Mutant struct {
	Name   string   `toml:"name"`
	Breaks string   `toml:"breaks"` // the misbehaviour that the change causes, in one sentence
	Rules  []string `toml:"rules"`  // the rules that can detect the mutant; at least one must be broken
	File   string   `toml:"file"`   // path relative to the root of the module
	Old    string   `toml:"old"`    // the text to replace; must occur exactly once in File
	New    string   `toml:"new"`    // the replacement; may be empty
}

// All returns the mutants of the embedded file mutants.toml.
func All() ([]Mutant, error) { return Parse("mutants.toml", embeddedMutants) }

// Parse decodes and validates a list of mutants. Errors begin with name, the name of the file that data comes from.
func Parse(name string, data []byte) ([]Mutant, error) {
	var in struct {
		Mutants []Mutant `toml:"mutant"`
	}
	d := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := d.Decode(&in); err != nil {
		return nil, fmt.Errorf("%s:%w", name, withLineNumber(err))
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

// withLineNumber prefixes a decoding error with its line number, as a compiler does, if the TOML decoder reports one.
func withLineNumber(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		line, _ := first.Position()
		return fmt.Errorf("%d: %s: unknown key", line, strings.Join(first.Key(), "."))
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		return fmt.Errorf("%d: %w", line, err)
	}
	return fmt.Errorf(" %w", err)
}

// Root returns the root directory of the module that contains the working directory. It returns an error if that is
// not the module olivebridge or if the go command is missing.
func Root() (string, error) {
	out, err := exec.Command("go", "list", "-m", "-f", "{{.Path}} {{.Dir}}").Output()
	path, dir, ok := strings.Cut(strings.TrimSpace(string(out)), " ")
	if err != nil || !ok || path != modulePath {
		return "", fmt.Errorf("the node is built from its sources: run in the tree of %s, with go", modulePath)
	}
	return dir, nil
}

const modulePath = "olivebridge"

// Overlay writes the changed source file and an overlay file that substitutes it for the original to dir, and returns
// the path of the overlay file. It returns an error unless Old occurs exactly once in the original.
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

// Package returns the package that the mutant changes, as a path for the go command relative to the module root.
func (m *Mutant) Package() string { return "./" + filepath.ToSlash(filepath.Dir(m.File)) }

// Build builds package pkg of the source tree at root with the mutant applied. If out is not empty, the program is
// written there. The changed source file and the overlay file are written to dir.
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
	if output, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("mutant %s: building %s: %w: %s", m.Name, pkg, err, joinCompilerErrors(output))
	}
	return nil
}

// joinCompilerErrors joins the lines of a compiler's output with semicolons, without the lines that name a package.
func joinCompilerErrors(output []byte) string {
	var lines []string
	for l := range strings.Lines(string(output)) {
		if l = strings.TrimSpace(l); l != "" && !strings.HasPrefix(l, "#") {
			lines = append(lines, l)
		}
	}
	return strings.Join(lines, "; ")
}
