package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"olivebridge/internal/lab/mutant"
	"olivebridge/internal/lab/path"
)

// TestPathCheckFails: the check of the path holds against what was accepted on this machine, and finds each
// mutant's cost: it names the count, and the function that brought it.
func TestPathCheckFails(t *testing.T) {
	root, err := mutant.Root()
	if err != nil {
		t.Fatal(err)
	}
	const file = "testdata/path_mutants.toml"
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	mutants, err := mutant.Parse(file, text)
	if err != nil {
		t.Fatal(err)
	}
	accepted := t.TempDir()
	for _, name := range []string{"tolerances.toml", "places.toml"} {
		text, err := os.ReadFile(filepath.Join(root, path.TolerancesDir, name))
		if err == nil {
			err = os.WriteFile(filepath.Join(accepted, name), text, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	args := []string{"path", "--short", "--load", "get", "--tolerances", accepted}
	if code, out, errs := runTool(t, append(args, "--accept")...); code != exitOK {
		t.Fatalf("accept: exit %d\n%s%s", code, out, errs)
	}
	code, sound, errs := runTool(t, append(args, "--check")...)
	if code != exitOK {
		t.Errorf("the sound node: exit %d\n%s%s", code, sound, errs)
	}
	brought := map[string]string{
		"allocation": `brought by transport\.\(\*UpstreamTransport\)\.RoundTrip \(\+1\.00(, new)?\)`,
		"write":      `brought by transport\.\(\*clientConn\)\.Write by net\.\S+ \(\+1\.00\)`,
		"copy":       `brought by transport\.\(\*clientConn\)\.Write \(\+\d+\.\d\d, new\)`,
	}
	for _, p := range mutants {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel() // they are counts, not times
			if strings.Contains(sound, "not checked: get: "+p.Rules[0]) {
				t.Skip("this machine does not let it count: " + sound)
			}
			overlay, err := p.Overlay(root, t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			code, out, errs := runTool(t, append(args, "--check", "--overlay", overlay)...)
			want := `(?m)^risen: get: ` + p.Rules[0] + `: .*` + brought[p.Name]
			if code != exitFailed || !regexp.MustCompile(want).MatchString(out) {
				t.Errorf("exit %d, want %d and %s\n%s%s", code, exitFailed, want, out, errs)
			}
		})
	}
}

// TestPathReport: node and proxy serve the same load, and the report has what both of them took.
func TestPathReport(t *testing.T) {
	file := filepath.Join(t.TempDir(), "r.json")
	code, out, errs := runTool(t, "path", "--short", "--load", "upload", "--json", file)
	if code != exitOK || !strings.Contains(out, "processor time, of ReverseProxy's: ") {
		t.Fatalf("exit %d\n%s%s", code, out, errs)
	}
	var r path.Report
	data, err := os.ReadFile(file)
	if err == nil {
		err = json.Unmarshal(data, &r)
	}
	if err != nil || len(r.Loads) != 1 {
		t.Fatalf("%v: %s", err, data)
	}
	for name, p := range map[string]path.Process{"node": r.Loads[0].Node, "proxy": r.Loads[0].Proxy} {
		if p.Allocations < 10 || p.Writes < 2 || p.ReadBytes < 32<<10 || p.WrittenBytes < 32<<10 || p.Micros < 5 {
			t.Errorf("%s: %+v", name, p)
		}
	}
}
