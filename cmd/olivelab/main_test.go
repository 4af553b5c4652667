package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"olivebridge/internal/lab/campaign/campaigntest"
	"olivebridge/internal/protocol"
)

// worldEnv is the environment variable that makes workers play the lab's real sources instead of the toy sources of
// campaigntest.
const worldEnv = "OLIVELAB_TEST_WORLD"

// TestMain makes the test binary stand in for the programs that the tests start: a worker on the toy sources, the
// program with the command up, the reference proxy, and a node that returns wrong answers.
func TestMain(m *testing.M) {
	switch {
	case os.Getenv(protocol.EnvName) != "":
		os.Exit(serveWrongAnswers())
	case len(os.Args) > 1 && os.Args[1] == proxyCommand:
		os.Exit(run(context.Background(), os.Args[1:], os.Stdout, os.Stderr, campaigntest.Sources()))
	case len(os.Args) == 2 && os.Args[1] == "worker":
		s := campaigntest.Sources()
		if os.Getenv(worldEnv) != "" {
			s = sources()
		}
		os.Exit(run(context.Background(), os.Args[1:], os.Stdout, os.Stderr, s))
	case len(os.Args) > 1 && os.Args[1] == "up":
		main()
	}
	os.Setenv("GORACE", "atexit_sleep_ms=0") // otherwise the race detector delays the exit of each worker by one second
	os.Exit(m.Run())
}

// runTool runs the program on the toy sources, in which seeds divisible by five break the rule lost.
func runTool(t *testing.T, args ...string) (code int, out, errs string) {
	t.Helper()
	var o, e bytes.Buffer
	code = run(t.Context(), args, &o, &e, campaigntest.Sources())
	return code, o.String(), e.String()
}

func TestCalls(t *testing.T) {
	dir := t.TempDir()
	t.Chdir(dir)
	files := map[string]string{
		"good.toml": "length = '2s'\n[[fault]]\nkind = 'dull'\n",
		"bad.toml":  "length = [\n",
		"dead.toml": "length = '2s'\n[[fault]]\nkind = 'panics'\n",
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const hash = `trace sha256 [0-9a-f]{64}\n$`
	for _, c := range []struct {
		args      string
		code      int
		out, errs string // regular expressions
	}{
		{"seeds --from 1 --count 4", 0, `^4 passed, 0 failed\n$`, `4 of 4 seeds, 0 failed`},
		{"seeds --from 1 --count 6 --procs 3", 1, `^seed 5: lost at 2.000000s: a call was lost; ` +
			`replay: olivelab replay 5\n5 passed, 1 failed\n$`, ``},
		{"replay 1", 0, `^1.000000000 dull\n` + hash, `^$`},
		{"replay 5 --procs 8", 1, `dull\n` + hash, `^lost at 2.000000s: a call was lost\n$`},
		{"replay 1 --log", 0, hash, `^log of dull\n$`},
		{"replay --script good.toml", 0, hash, `^$`},
		{"replay --script dead.toml", 1, `^1.000000000 panics\n$`, `(?s)panic: a wrong turn.*\ncrash at `},
		{"shrink 10 --procs 4", 0, `^# seed 10, shrunk by 5 cuts: lost at 1.000000s: a call was lost\n`,
			`left: 1s, 1 faults`},
		{"shrink 1", 2, `^$`, `^olivelab: nothing to shrink: the run breaks no rule\n$`},
		{"faults --from 1 --count 10", 0, `10 scripts, 2 kinds, 1 of 3 pairs met\n(?s:.*)never drawn: never`,
			`^$`},

		{"", 2, `^$`, `^olivelab: which command\? see --help\n$`},
		{"sends", 2, `^$`, `^olivelab: unknown command "sends"`},
		{"seeds --form 1", 2, `^$`, `^olivelab: unknown flag: --form\n$`},
		{"seeds --from -1", 2, `^$`, `^olivelab: invalid argument "-1"`},
		{"seeds --from 1 --count 0", 2, `^$`, `^olivelab: --count: at least 1\n$`},
		{"seeds --from 18446744073709551615 --count 2", 2, `^$`, `beyond the last seed\n$`},
		{"seeds --scenario s.toml", 2, `^$`, `^olivelab: s.toml:3: load: range upside down\n$`},
		{"seeds --json no/where.json", 2, `^$`, `^olivelab: no/where.json: no such file or directory\n$`},
		{"seeds 5", 2, `^$`, `^olivelab: unknown command "5"`},
		{"replay", 2, `^$`, `^olivelab: wanted: a SEED, or --script FILE\n$`},
		{"replay 1 --script good.toml", 2, `^$`, `^olivelab: wanted: a SEED, or --script FILE\n$`},
		{"replay one", 2, `^$`, `^olivelab: SEED: not a number from 0 on: "one"\n$`},
		{"replay --script none.toml", 2, `^$`, `^olivelab: none.toml: no such file or directory\n$`},
		{"replay --script bad.toml", 2, `^$`, `^olivelab: bad.toml:1: [^\n]+\n$`},
		{"shrink 5 --rule lots", 2, `^$`, `^olivelab: --rule: there is none named "lots"\n$`},
		{"faults --count 0", 2, `^$`, `^olivelab: --count: at least 1\n$`},
		{"mutants --only none", 2, `^$`, `^olivelab: mutant two-lengths-taken: there is no rule named "bad"\n$`},
		{"mutants --seeds 0", 2, `^$`, `^olivelab: --seeds: at least 1\n$`},
		{"plants --only none", 2, `^$`, `^olivelab: mutant two-lengths-taken: there is no rule named "bad"\n$`}, // the earlier name
		{"plants --seeds 0", 2, `^$`, `^olivelab: --seeds: at least 1\n$`},

		{"path", 2, `^$`, `^olivelab: the node is built from its sources: run in the tree of olivebridge, with go\n$`},
		{"path --node n --pairs 0", 2, `^$`, `^olivelab: --pairs: at least 1\n$`},
		{"path --node n --check --accept", 2, `^$`, `^olivelab: --check and --accept: only one of them\n$`},
		{"path --node n --load gets", 2, `^$`, `^olivelab: load "gets": there is none of that name\n$`},
		{"path --node n --check --tolerances t", 2, `^$`, `^olivelab: t/tolerances.toml: no such file or directory\n$`},
	} {
		code, out, errs := runTool(t, strings.Fields(c.args)...)
		matched := regexp.MustCompile(c.out).MatchString(out) && regexp.MustCompile(c.errs).MatchString(errs)
		if code != c.code || !matched {
			t.Errorf("olivelab %s: exit %d, want %d, or output does not match\nstdout: %s\nstderr: %s",
				c.args, code, c.code, out, errs)
		}
	}
}

func TestFiles(t *testing.T) {
	t.Chdir(t.TempDir())
	if code, _, errs := runTool(t, "seeds", "--count", "10", "--json", "r.json"); code != 1 {
		t.Fatal(code, errs)
	}
	var report struct{ Seeds, Passed, Failed, Requests int }
	data, err := os.ReadFile("r.json")
	if err == nil {
		err = json.Unmarshal(data, &report)
	}
	if err != nil || report != struct{ Seeds, Passed, Failed, Requests int }{10, 8, 2, 100} {
		t.Errorf("report has totals %+v, want 10 seeds, 8 passed, 2 failed, 100 requests; error %v", report, err)
	}
	if code, out, errs := runTool(t, "shrink", "5", "--out", "s.toml"); code != 0 || out != "" {
		t.Error(code, out, errs)
	}
	code, _, errs := runTool(t, "replay", "--script", "s.toml")
	if code != 1 || !strings.HasPrefix(errs, "lost at 1.0") {
		t.Error(code, errs)
	}
	if code, _, _ := runTool(t, "shrink", "1", "--out", "none.toml"); code != 2 {
		t.Error(code)
	}
	if _, err := os.Stat("none.toml"); err == nil {
		t.Error("shrink left an empty output file behind after it failed")
	}
}
