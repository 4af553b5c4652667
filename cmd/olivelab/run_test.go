package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
)

// smallExperiment is the format of an experiment of three seconds. Its arguments are the request rate and the bound of
// the assertion.
const smallExperiment = `name = "small"
shows = "that it runs"
seed = 1
length = "3s"

[world]
peers = 3
nodes = 1
rate = %d

[[assert]]
what = "worth"
%s
`

// writeExperiments changes to a temporary directory and writes experiment files there: among them one whose assertion
// holds, one whose assertion fails, one that is invalid, and one with a higher request rate.
func writeExperiments(t *testing.T) {
	t.Helper()
	t.Chdir(t.TempDir())
	t.Setenv(worldEnv, "yes")
	for name, text := range map[string]string{
		"good.toml":  fmt.Sprintf(smallExperiment, 20, "least = 0.01"),
		"fails.toml": fmt.Sprintf(smallExperiment, 20, "most = 0.01"),
		"bad.toml":   fmt.Sprintf(smallExperiment, 20, "least = '1s'"),
		"tiny.toml":  strings.Replace(fmt.Sprintf(smallExperiment, 50, "least = 0.01"), `"3s"`, `"1s"`, 1),
		"more.toml":  fmt.Sprintf(smallExperiment, 40, "least = 0.01"),
		"slowlink.toml": fmt.Sprintf(smallExperiment, 20, "least = 0.01") +
			"[[fault]]\nkind = 'slowlink'\nat = '1s'\nfor = '1s'\nfactor = 3\npeers = ['p01']\n",
	} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func TestRunCalls(t *testing.T) {
	writeExperiments(t)
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args      string
		code      int
		out, errs string // patterns
	}{
		{"run --virtual good.toml --json r.json --html r.html --svg r.svg", 0,
			`(?s)^small: .*\npassed: 1 of 1 assertions hold\n$`, `^$`},
		{"run --virtual fails.toml", 1,
			`\nworth +<= 0.0100 +0.\d+ +failed\n(?s:.*)\nfailed: 0 of 1 assertions hold\n$`, `^$`},
		{"run --virtual --seed 2 --short good.toml", 0, `seed 2, 3s, short form`, `^$`},
		{"run slowlink.toml", 2, `^$`, `^olivelab: fault\[0\]: slowlink: not on sockets, where .*\n$`},
		{"run good.toml --node no/where", 2, `^$`, `^olivelab: no/where: no such file or directory\n$`},
		{"run good.toml --node /bin/false", 2, `^$`, `(?m)^olivelab: playing on sockets: node n1 ended: exit status 1$`},
		{"run good.toml --virtual --node " + self, 2, `^$`, `^olivelab: --node: not with --virtual`},
		{"run --virtual bad.toml", 2, `^$`, `^olivelab: bad.toml:13: assert\[0\].least: worth needs a number\n$`},
		{"run --virtual none.toml", 2, `^$`, `^olivelab: none.toml:1: cannot be read: no such file or directory\n$`},
		{"run --virtual good.toml --json no/where", 2, `^$`, `^olivelab: no/where: no such file or directory\n$`},
		{"run", 2, `^$`, `^olivelab: accepts 1 arg`},
		{"compare --virtual good.toml good.toml --pairs 2", 0, `\nno difference seen\n$`, `pair 2 of 2: `},
		{"compare --virtual good.toml more.toml --pairs 1", 0, `too few pairs to tell: 6 at least\n$`, ``},
		{"compare --virtual --pairs 1 --experiment good.toml " + self + " " + self, 0, `the same in every pair`, ``},
		{"compare --experiment good.toml " + self + " none", 2, `^$`, `^olivelab: none: no such file or directory\n$`},
		{"compare --virtual a b", 2, `^$`, `^olivelab: --experiment: which file are the builds to play\?\n$`},
		{"compare --virtual good.toml b", 2, `^$`, `^olivelab: wanted: two experiment files, or two builds\n$`},
		{"compare --virtual good.toml good.toml --experiment good.toml", 2, `^$`, `only with two builds\n$`},
		{"compare --virtual good.toml bad.toml", 2, `^$`, `^olivelab: bad.toml:13: `},
		{"compare --virtual good.toml good.toml --pairs 0", 2, `^$`, `^olivelab: --pairs: at least 1\n$`},
		{"compare --virtual --experiment good.toml /none /none", 2, `^$`, `^olivelab: /none: .*no such file`},
	} {
		code, out, errs := runTool(t, strings.Fields(c.args)...)
		matched := regexp.MustCompile(c.out).MatchString(out) && regexp.MustCompile(c.errs).MatchString(errs)
		if code != c.code || !matched {
			t.Errorf("olivelab %s: exit %d, want %d, or output does not match\nstdout: %s\nstderr: %s",
				c.args, code, c.code, out, errs)
		}
	}
	begins := map[string]string{"r.json": "{\n \"form\": 1,", "r.html": "<!doctype html>", "r.svg": "<svg "}
	for name, begin := range begins {
		if data, err := os.ReadFile(name); err != nil || !strings.HasPrefix(string(data), begin) {
			t.Errorf("%s has an unexpected beginning, or error %v: %.40q", name, err, data)
		}
	}
}

// Guards against taking a build whose workers report no samples of their runs for a run without any requests: run exits
// with an error.
func TestRunOldBuild(t *testing.T) {
	writeExperiments(t)
	t.Setenv(worldEnv, "")
	code, _, errs := runTool(t, "run", "--virtual", "good.toml")
	if code != 2 || !strings.Contains(errs, "does not report samples") {
		t.Error(code, errs)
	}
}
