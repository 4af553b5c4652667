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

// What a worker finds open beside the usual three: where its replies go, alone, and where
// traces go. Package testing writes to standard output as it likes.
const (
	replyFile = 3
	traceFile = 4
)

// Work is the life of a worker process: it plays the jobs that come on standard input, one
// at a time, until that ends. It does not return.
//
// testing/synctest wants a *testing.T, so the life goes on inside testing.Main, which the
// standard library keeps for programs that bring their own tests.
func Work(s Sources) {
	debug.SetGCPercent(400) // a worker is small, and eight of them are not much
	testing.Init()
	// The real line is not for package testing.
	if err := flag.CommandLine.Parse([]string{"-test.timeout=0"}); err != nil {
		fmt.Fprintln(os.Stderr, "worker:", err)
		os.Exit(2)
	}
	all := func(string, string) (bool, error) { return true, nil }
	go writeGoroutines()
	life := func(t *testing.T) {
		replies := os.NewFile(replyFile, "replies")
		w := worker{sources: s, scenarios: map[string]Draw{}, out: json.NewEncoder(replies)}
		w.live(t, os.Stdin)
	}
	testing.Main(all, []testing.InternalTest{{Name: "lab", F: life}}, nil, nil)
}

// writeGoroutines ends the process at SIGQUIT, as the runtime would, but with the stack of
// the goroutine that runs, too: in a run that comes to no end it is the one that matters.
func writeGoroutines() {
	quit := make(chan os.Signal, 1)
	signal.Notify(quit, syscall.SIGQUIT)
	<-quit
	all := make([]byte, 4<<20)
	fmt.Fprintf(os.Stderr, "SIGQUIT: quit\n\n%s", all[:runtime.Stack(all, true)])
	os.Exit(2)
}

type worker struct {
	sources   Sources
	scenarios map[string]Draw
	out       *json.Encoder
}

// live plays jobs until in ends. Jobs are read outside of all bubbles, so that the end of
// the parent ends a worker in the middle of a run, too.
func (w *worker) live(t *testing.T, in io.Reader) {
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

// play plays one job in a bubble of its own.
func (w *worker) play(t *testing.T, j Job) reply {
	script, err := w.script(j)
	if err != nil {
		return reply{ID: j.ID, Error: err.Error()}
	}
	var trace io.Writer
	if j.Trace || j.Watch {
		trace = os.NewFile(traceFile, "trace")
	}
	player := w.sources.Play
	if j.Log {
		player = w.sources.Logged(os.Stderr)
	}
	if j.Watch {
		if player = w.sources.Watched; player == nil {
			return reply{ID: j.ID, Error: "this worker tells nothing of its runs"}
		}
	}
	var result *stage.Result
	whole := t.Run("run", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r := player(t, script, trace)
			result = &r
		})
	})
	if result == nil {
		result = &stage.Result{Seed: script.Seed}
	}
	if !whole { // so the race detector tells, where the worker was built with it
		v := rules.Violation{Rule: RuleCrash, At: result.Virtual, Detail: "the run was failed by package testing"}
		result.Violations = append(result.Violations, v)
	}
	return reply{ID: j.ID, Result: result}
}

// script reads or draws what a job is to play.
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
