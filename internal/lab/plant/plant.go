// Package plant holds planted faults: small wrong changes of the node's code, kept as data,
// each of which the lab must find. They are never applied to the tree: a build reads a
// changed copy of one file through the overlay of the go command.
package plant

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

//go:embed plants.toml
var list []byte

// Plant is one small wrong change.
type Plant struct {
	Name   string   `toml:"name"`
	Breaks string   `toml:"breaks"` // what goes wrong by it, in a sentence
	Rules  []string `toml:"rules"`  // those that show it; one of them has to
	File   string   `toml:"file"`   // from the root of the module
	Old    string   `toml:"old"`    // stands in the file exactly once
	New    string   `toml:"new"`
}

// All reads the planted faults.
func All() ([]Plant, error) { return Parse("plants.toml", list) }

// Parse reads a list of planted faults; name is that of its file.
func Parse(name string, data []byte) ([]Plant, error) {
	var in struct {
		Plants []Plant `toml:"plant"`
	}
	d := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := d.Decode(&in); err != nil {
		return nil, fmt.Errorf("%s:%w", name, located(err))
	}
	seen := map[string]bool{}
	for i, p := range in.Plants {
		switch {
		case p.Name == "" || strings.ContainsAny(p.Name, "/\\ "):
			return nil, fmt.Errorf("%s: plant %d: name: missing, or with a slash or space: %q", name, i+1, p.Name)
		case seen[p.Name]:
			return nil, fmt.Errorf("%s: plant %s: the name stands twice", name, p.Name)
		case p.Breaks == "" || len(p.Rules) == 0 || !filepath.IsLocal(p.File) || p.Old == "" || p.Old == p.New:
			return nil, fmt.Errorf("%s: plant %s: breaks, rules, file, old or new: missing or without effect",
				name, p.Name)
		}
		seen[p.Name] = true
	}
	return in.Plants, nil
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
func (p *Plant) Overlay(root, dir string) (string, error) {
	source := filepath.Join(root, filepath.FromSlash(p.File))
	text, err := os.ReadFile(source)
	if err != nil {
		return "", fmt.Errorf("plant %s: %w", p.Name, err)
	}
	if n := strings.Count(string(text), p.Old); n != 1 {
		return "", fmt.Errorf("plant %s: old: stands %d times in %s, not once", p.Name, n, p.File)
	}
	changed := filepath.Join(dir, p.Name+".go")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(text), p.Old, p.New, 1)), 0o600); err != nil {
		return "", fmt.Errorf("plant %s: %w", p.Name, err)
	}
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {source: changed}})
	if err != nil {
		return "", fmt.Errorf("plant %s: %w", p.Name, err)
	}
	path := filepath.Join(dir, p.Name+".json")
	if err := os.WriteFile(path, overlay, 0o600); err != nil {
		return "", fmt.Errorf("plant %s: %w", p.Name, err)
	}
	return path, nil
}

// Package is the package that the plant changes, as the go command takes it at the root.
func (p *Plant) Package() string { return "./" + filepath.ToSlash(filepath.Dir(p.File)) }

// Build builds a package of the tree with the plant in it; its program, if it is one, goes
// to out, unless that is empty. Work files go to dir.
func (p *Plant) Build(root, dir, pkg, out string) error {
	overlay, err := p.Overlay(root, dir)
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
		return fmt.Errorf("plant %s: building %s: %w: %s", p.Name, pkg, err, oneLine(said))
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
