package campaign

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"testing"
	"testing/synctest"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/rules"
	"olivebridge/internal/lab/stage"
)

// Additional file descriptors of a worker: one for its replies, one for traces. Replies do not
// go to standard output because package testing writes there.
const (
	replyFD = 3
	traceFD = 4
)

// RunWorker is the main function of a worker process: it plays the jobs from standard input, one
// at a time, until the end of the input. It does not return.
//
// testing/synctest needs a *testing.T, so the jobs run inside testing.Main, which the standard
// library provides for programs with their own tests.
func RunWorker(s Sources) {
	debug.SetGCPercent(400) // trades memory for speed: a worker's heap is small, even times eight workers
	testing.Init()
	// Keep package testing from parsing the program's own command line.
	if err := flag.CommandLine.Parse([]string{"-test.timeout=0"}); err != nil {
		fmt.Fprintln(os.Stderr, "worker:", err)
		os.Exit(2)
	}
	all := func(string, string) (bool, error) { return true, nil }
	go dumpGoroutinesOnQuit()
	serveJobs := func(t *testing.T) {
		replies := os.NewFile(replyFD, "replies")
		w := worker{sources: s, scenarios: map[string]Draw{}, out: json.NewEncoder(replies)}
		w.serve(t, os.Stdin)
	}
	testing.Main(all, []testing.InternalTest{{Name: "lab", F: serveJobs}}, nil, nil)
}

// dumpGoroutinesOnQuit exits on SIGQUIT with the stacks of all goroutines, as the runtime does.
// Unlike the runtime it includes the running goroutine, which is the relevant one if a run does
// not end.
func dumpGoroutinesOnQuit() {
	quit := make(chan os.Signal, 1)
	signal.Notify(quit, syscall.SIGQUIT)
	<-quit
	all := make([]byte, 4<<20)
	fmt.Fprintf(os.Stderr, "SIGQUIT: quit\n\n%s", all[:runtime.Stack(all, true)])
	os.Exit(2)
}

// worker is the state of a worker process.
type worker struct {
	sources   Sources
	scenarios map[string]Draw
	out       *json.Encoder
}

// serve plays jobs until the end of in. It reads jobs outside of any bubble, so that the worker
// exits when the parent does, even in the middle of a run.
func (w *worker) serve(t *testing.T, in io.Reader) {
	jobs := make(chan Job)
	go func() {
		for decoder := json.NewDecoder(in); ; {
			var j Job
			if err := decoder.Decode(&j); errors.Is(err, io.EOF) {
				os.Exit(0)
			} else if err != nil {
				fmt.Fprintln(os.Stderr, "worker: reading a job:", err)
				os.Exit(2)
			}
			jobs <- j
		}
	}()
	for j := range jobs {
		if err := w.out.Encode(w.play(t, j)); err != nil {
			fmt.Fprintln(os.Stderr, "worker: writing a reply:", err)
			os.Exit(2)
		}
	}
}

// play plays one job in a new bubble.
func (w *worker) play(t *testing.T, j Job) reply {
	script, err := w.script(j)
	if err != nil {
		return reply{ID: j.ID, Error: err.Error()}
	}
	var trace io.Writer
	if j.Trace || j.Watch {
		trace = os.NewFile(traceFD, "trace")
	}
	player := w.sources.Play
	if j.Log {
		player = w.sources.Logged(os.Stderr)
	}
	if j.Watch {
		if player = w.sources.Watched; player == nil {
			return reply{ID: j.ID, Error: "this worker does not report samples"}
		}
	}
	var result *stage.Result
	passed := t.Run("run", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r := player(t, script, trace)
			result = &r
		})
	})
	if result == nil {
		result = &stage.Result{Seed: script.Seed}
	}
	if !passed { // for example by the race detector, in a worker built with it
		v := rules.Violation{Rule: RuleCrash, At: result.Virtual, Detail: "the run was failed by package testing"}
		result.Violations = append(result.Violations, v)
	}
	return reply{ID: j.ID, Result: result}
}

// script parses or draws the script of a job.
func (w *worker) script(j Job) (*fault.Script, error) {
	if j.Script != "" {
		return w.sources.Parse("script", []byte(j.Script))
	}
	draw := w.scenarios[j.Scenario]
	if draw == nil {
		var err error
		if draw, err = w.sources.Scenario(j.Scenario); err != nil {
			return nil, err
		}
		w.scenarios[j.Scenario] = draw
	}
	return draw(j.Seed), nil
}
