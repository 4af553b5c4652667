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

// TestPathCheckFails guards path --check: it passes with the tolerances accepted on this machine, and for each mutant
// it reports the count that has risen and the function that caused the increase.
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
		t.Fatalf("path --accept: exit %d, want exitOK\n%s%s", code, out, errs)
	}
	code, sound, errs := runTool(t, append(args, "--check")...)
	if code != exitOK {
		t.Errorf("check of the unchanged node: exit %d, want exitOK\n%s%s", code, sound, errs)
	}
	brought := map[string]string{
		"allocation": `brought by transport\.\(\*UpstreamTransport\)\.RoundTrip \(\+1\.00(, new)?\)`,
		"write":      `brought by transport\.\(\*clientConn\)\.Write by net\.\S+ \(\+1\.00\)`,
		"copy":       `brought by transport\.\(\*clientConn\)\.Write \(\+\d+\.\d\d, new\)`,
	}
	for _, p := range mutants {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel() // concurrent runs do not change counts, only times
			if strings.Contains(sound, "not checked: get: "+p.Rules[0]) {
				t.Skip("this machine does not allow the count to be measured: " + sound)
			}
			overlay, err := p.Overlay(root, t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			code, out, errs := runTool(t, append(args, "--check", "--overlay", overlay)...)
			want := `(?m)^risen: get: ` + p.Rules[0] + `: .*` + brought[p.Name]
			if code != exitFailed || !regexp.MustCompile(want).MatchString(out) {
				t.Errorf("exit %d, want %d and output that matches %s\n%s%s", code, exitFailed, want, out, errs)
			}
		})
	}
}

// TestPathReport guards the report of path: node and proxy serve the same load, and the report has the cost of each.
func TestPathReport(t *testing.T) {
	file := filepath.Join(t.TempDir(), "r.json")
	code, out, errs := runTool(t, "path", "--short", "--load", "upload", "--json", file)
	if code != exitOK || !strings.Contains(out, "processor time, of ReverseProxy's: ") {
		t.Fatalf("path --json: exit %d, or no processor time in the output\n%s%s", code, out, errs)
	}
	var r path.Report
	data, err := os.ReadFile(file)
	if err == nil {
		err = json.Unmarshal(data, &r)
	}
	if err != nil || len(r.Loads) != 1 {
		t.Fatalf("report is not one load in JSON (error %v): %s", err, data)
	}
	for name, p := range map[string]path.Process{"node": r.Loads[0].Node, "proxy": r.Loads[0].Proxy} {
		if p.Allocations < 10 || p.Writes < 2 || p.ReadBytes < 32<<10 || p.WrittenBytes < 32<<10 || p.Micros < 5 {
			t.Errorf("%s: implausibly low cost in the report: %+v", name, p)
		}
	}
}
