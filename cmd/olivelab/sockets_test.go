package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"olivebridge/internal/lab/live"
	"olivebridge/internal/lab/report"
	"olivebridge/internal/protocol"
)

// serveWrongAnswers runs a node that answers every call with the body of one other call, until SIGTERM. It returns the
// exit code.
func serveWrongAnswers() int {
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	signal.Ignore(syscall.SIGUSR1)
	go http.ListenAndServe(os.Getenv(protocol.EnvListen), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "peer=p01 call=another run=1 ")
	}))
	<-terminated
	return exitOK
}

// readReport reads the JSON report of a run.
func readReport(t *testing.T, path string) (r report.Report) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(data, &r)
	}
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards experiments on sockets: the lab's own experiments run there unchanged, their assertions hold, and a run has no
// verdict if the load tool was late. Two builds of the node are compared in the same way.
func TestRunOnSockets(t *testing.T) {
	node, err := live.Build(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"calm", "quick-failures"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			out := filepath.Join(t.TempDir(), "report.json")
			for again := true; ; again = false {
				code, text, errs := runTool(t, "run", "--short", "--node", node, "--json", out,
					filepath.Join("../../experiments", name+".toml"))
				r := readReport(t, out)
				late := r.Lateness.Share > report.MaxLateShare
				if code == exitFailed && len(r.Broken) == 0 && again {
					continue // a busy machine can fail an assertion even though the load tool was in time
				}
				if want := map[bool]int{false: exitOK, true: exitUsage}[late]; code != want {
					t.Errorf("run: exit %d, want %d: %s%s", code, want, text, errs)
				}
				lateReported := strings.Contains(errs, "olivelab: no verdict: the load tool was late")
				whole := r.Phases[0].All
				if lateReported != late || r.Clock != "sockets" || !r.Short || whole.Asked < 1000 || whole.Served == 0 ||
					whole.CPU == nil || *whole.CPU <= 0 || whole.Resident == nil || *whole.Resident < 2 || *whole.Tries <= 0 {
					t.Errorf("report has lateness %+v and implausible figures %+v: %s", r.Lateness, whole, errs)
				}
				return
			}
		})
	}
	t.Run("compare", func(t *testing.T) {
		t.Parallel()
		file := filepath.Join(t.TempDir(), "tiny.toml")
		text := strings.Replace(fmt.Sprintf(smallExperiment, 50, "least = 0.01"), `"3s"`, `"1s"`, 1)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		code, out, errs := runTool(t, "compare", "--pairs", "1", "--experiment", file, node, node)
		late := code == exitUsage && strings.Contains(errs, "no verdict")
		if !late && (code != exitOK || !strings.Contains(out, "\nA: "+node) && !strings.HasPrefix(out, "A: "+node) ||
			!strings.Contains(out, "cpu")) {
			t.Errorf("compare: exit %d, or incomplete output: %s%s", code, out, errs)
		}
	})
}

// Guards the detection of wrong answers: a response with the body of another call is a broken rule, regardless of the
// assertions and of the lateness of the load tool.
func TestRunDetectsWrongAnswers(t *testing.T) {
	writeExperiments(t)
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	code, text, errs := runTool(t, "run", "--node", self, "--json", "r.json", "tiny.toml")
	r := readReport(t, "r.json")
	if code != exitFailed || r.Verdict != report.Failed || len(r.Broken) < 10 ||
		!strings.Contains(r.Broken[0], "gets what names another call") || !strings.Contains(text, "\nbroken: wrong answer at ") {
		t.Errorf("exit %d, verdict %s, broken rules %v; want a failure for wrong answers\n%s%s",
			code, r.Verdict, r.Broken, text, errs)
	}
}
