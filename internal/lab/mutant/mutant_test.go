package mutant

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestMutantsApply checks that each mutant applies to the current sources and compiles: a mutant that does not cannot
// test the lab.
func TestMutantsApply(t *testing.T) {
	all, err := All()
	if err != nil {
		t.Fatal(err)
	}
	if len(all) < 16 {
		t.Errorf("got %d mutants, want at least 16", len(all))
	}
	root, err := Root()
	if err != nil {
		t.Fatal(err)
	}
	for _, mutant := range all {
		t.Run(mutant.Name, func(t *testing.T) {
			t.Parallel()
			if err := mutant.Build(root, t.TempDir(), mutant.Package(), ""); err != nil {
				t.Error(err)
			}
		})
	}
}

func TestOverlayRequiresOldTextOnce(t *testing.T) {
	root := t.TempDir()
	if err := os.WriteFile(filepath.Join(root, "a.go"), []byte("x = 1\nx = 1\ny = 2\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for old, want := range map[string]string{
		"x = 1": "mutant p: old: stands 2 times in a.go, not once",
		"z":     "mutant p: old: stands 0 times in a.go, not once",
		"y = 2": "",
	} {
		p := Mutant{Name: "p", File: "a.go", Old: old, New: "w"}
		_, err := p.Overlay(root, t.TempDir())
		if got := ""; err != nil {
			if got = err.Error(); got != want {
				t.Errorf("old text %q: unexpected error %s", old, got)
			}
		} else if want != "" {
			t.Errorf("old text %q: no error", old)
		}
	}
}

func TestParse(t *testing.T) {
	const whole = "[[mutant]]\nname = 'a'\nbreaks = 'b'\nrules = ['lost']\nfile = 'f.go'\nold = 'x'\nnew = 'y'\n"
	for _, c := range []struct{ text, want string }{
		{whole, ""},
		{whole + whole, "f: mutant a: the name stands twice"},
		{strings.Replace(whole, "'a'", "'a b'", 1), "f: mutant 1: name: missing"},
		{strings.Replace(whole, "'y'", "'x'", 1), "f: mutant a: breaks, rules, file, old or new"},
		{strings.Replace(whole, "'f.go'", "'../f.go'", 1), "f: mutant a: breaks, rules, file, old or new"},
		{whole + "newer = 1\n", "f:8: mutant.newer: unknown key"},
		{whole + "[", "f:8: "},
	} {
		_, err := Parse("f", []byte(c.text))
		if got := ""; err != nil {
			if got = err.Error(); c.want == "" || !strings.HasPrefix(got, c.want) || strings.Contains(got, "\n") {
				t.Errorf("file %q: unexpected error %s", c.text, got)
			}
		} else if c.want != "" {
			t.Errorf("file %q: no error", c.text)
		}
	}
}
