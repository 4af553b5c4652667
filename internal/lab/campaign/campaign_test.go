package campaign_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"olivebridge/internal/lab/campaign"
	"olivebridge/internal/lab/campaign/campaigntest"
	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/rules"
	"olivebridge/internal/lab/stage"
)

// The test binary is its own worker.
func TestMain(m *testing.M) {
	if len(os.Args) == 2 && os.Args[1] == "worker" {
		campaign.Work(campaigntest.Sources())
	}
	os.Setenv("GORACE", "atexit_sleep_ms=0") // or the race detector adds a second to each worker's end
	os.Exit(m.Run())
}

// script is one of the toy's whose faults are of these kinds.
func script(kinds ...string) *fault.Script {
	s := &fault.Script{Seed: 7, Length: figure.Span(8 * time.Second)}
	for _, k := range kinds {
		s.Faults = append(s.Faults, fault.Fault{Kind: k})
	}
	return s
}

func text(t *testing.T, s *fault.Script) string {
	var b strings.Builder
	if err := campaigntest.Sources().Write(s, &b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func TestPool(t *testing.T) {
	plays := [][]string{
		{"dull"}, {"panics"}, {"breaks", "dull", "breaks"}, {"deadlocks"}, {"spins"}, {"gives up"}, {"dull"},
	}
	want := [][]string{
		nil,
		{"crash", "panic: a wrong turn", "campaigntest.act"},
		{"lost", "a call was lost"},
		{"crash", "panic: deadlock", "campaigntest.wait sources.go:"},
		{"hang", "no end within 1s", "campaigntest.act sources.go:"},
		{"crash", "failed by package testing"},
		nil,
	}
	var jobs []campaign.Job
	for i, p := range plays {
		jobs = append(jobs, campaign.Job{ID: i, Seed: 7, Script: text(t, script(p...))})
	}
	pool := campaign.Pool{Procs: 2, Patience: time.Second, Recycle: 2}
	next := 0
	err := pool.Run(t.Context(), slices.Values(jobs), func(o campaign.Outcome) bool {
		if o.Job.ID != next {
			t.Fatalf("job %d came %d. in line", o.Job.ID, next)
		}
		v := o.Result.Violations
		switch w := want[next]; {
		case w == nil && len(v) > 0:
			t.Errorf("job %d: %v", next, v)
		case w == nil:
		case len(v) == 0 || v[0].Rule != w[0]:
			t.Errorf("job %d: want %s: %v", next, w[0], v)
		default:
			for _, part := range w[1:] {
				if !strings.Contains(v[0].Detail, part) || strings.Contains(v[0].Detail, "\n") {
					t.Errorf("job %d: no %q in one line: %s", next, part, v[0].Detail)
				}
			}
		}
		next++
		return true
	})
	if err != nil || next != len(jobs) {
		t.Errorf("%d of %d jobs: %v", next, len(jobs), err)
	}
}

// A pool ends when its caller has enough, when its context does, and where a job or a
// worker cannot be begun; nothing of it runs on.
func TestPoolEnds(t *testing.T) {
	all := func(campaign.Outcome) bool { return true }
	seen := 0
	pool := campaign.Pool{Procs: 2}
	err := pool.Run(t.Context(), campaign.Seeds(1, 1000, ""), func(campaign.Outcome) bool {
		seen++
		return seen < 3
	})
	if err != nil || seen != 3 {
		t.Errorf("enough: %d seen, %v", seen, err)
	}
	ctx, stop := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer stop()
	if _, err := pool.One(ctx, campaign.Job{Script: text(t, script("spins"))}); err != context.DeadlineExceeded {
		t.Errorf("ended context: %v", err)
	}
	if err := pool.Run(t.Context(), campaign.Seeds(1, 3, "x.toml"), all); err == nil ||
		err.Error() != "x.toml:3: load: range upside down" {
		t.Errorf("bad scenario: %v", err)
	}
	broken := campaign.Pool{Command: []string{"/nowhere/olivelab"}}
	if err := broken.Run(t.Context(), campaign.Seeds(1, 3, ""), all); err == nil {
		t.Error("no worker, and no error")
	}
}

// The trace and the hash are the same in every worker, and the log is not in the trace.
func TestTraceAndLog(t *testing.T) {
	for _, cores := range []int{1, 8} {
		var trace, log bytes.Buffer
		pool := campaign.Pool{Procs: 1, Cores: cores, Trace: &trace, Log: &log}
		j := campaign.Job{Script: text(t, script("dull", "breaks")), Trace: true, Log: true}
		o, err := pool.One(t.Context(), j)
		if err != nil {
			t.Fatal(err)
		}
		if got := trace.String(); got != "1.000000000 dull\n2.000000000 breaks\n" {
			t.Errorf("trace %q", got)
		}
		if got := log.String(); got != "log of dull\nlog of breaks\n" {
			t.Errorf("log %q", got)
		}
		if o.Result.Virtual != 8*time.Second || len(o.Result.Hash) != 64 {
			t.Errorf("%+v", o.Result)
		}
	}
}

// Shrinking keeps the rule, whatever the number of workers, and nothing smaller than its
// outcome breaks it.
func TestShrink(t *testing.T) {
	full := script("dull", "breaks", "dull", "breaks", "dull", "panics")
	for _, c := range []struct {
		rule, left string
		procs      int
	}{{"", "breaks", 1}, {"", "breaks", 8}, {"lost", "breaks", 2}, {"crash", "panics", 4}} {
		if c.rule == "" {
			full.Faults = full.Faults[:5]
		} else if c.rule == "crash" {
			full = script("dull", "breaks", "panics")
		}
		s := campaign.Shrinker{Sources: campaigntest.Sources(), Rule: c.rule, Pool: &campaign.Pool{Procs: c.procs}}
		got, err := s.Shrink(t.Context(), full)
		if err != nil {
			t.Fatal(err)
		}
		if f := got.Script.Faults; len(f) != 1 || f[0].Kind != c.left || got.Script.Length.D() != time.Second {
			t.Errorf("%+v: left %v in %v", c, f, got.Script.Length.D())
		}
	}
	s := campaign.Shrinker{Sources: campaigntest.Sources(), Rule: "late", Pool: &campaign.Pool{}}
	if _, err := s.Shrink(t.Context(), full); err == nil || !strings.Contains(err.Error(), `the rule "late"`) {
		t.Errorf("a rule that holds: %v", err)
	}
}

func TestReport(t *testing.T) {
	r := campaign.NewReport()
	r.Add(campaign.Outcome{Result: stage.Result{
		Seed: 1, Virtual: 20 * time.Second, Kinds: []string{"a", "b"}, Pairs: [][2]string{{"b", "a"}},
		Tally: stage.Tally{Asked: 10, Retries: 2},
	}})
	r.Add(campaign.Outcome{Result: stage.Result{
		Seed: 2, Virtual: 10 * time.Second, Kinds: []string{"a"},
		Violations: []rules.Violation{{Rule: "late", At: time.Second, Detail: "x"}},
	}})
	var b bytes.Buffer
	if err := r.WriteJSON(&b); err != nil {
		t.Fatal(err)
	}
	var got struct {
		Seeds, Passed, Failed, Requests int
		VirtualSeconds                  float64 `json:"virtual_seconds"`
		Kinds, Pairs                    []campaign.Count
		Results                         []campaign.Outcome
	}
	if err := json.Unmarshal(b.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	want := "2 1 1 12 30 [{[a] 2} {[b] 1}] [{[a b] 1}] 2 late"
	if s := fmt.Sprint(got.Seeds, got.Passed, got.Failed, got.Requests, got.VirtualSeconds, got.Kinds, got.Pairs,
		len(got.Results), " ", got.Results[1].Result.Violations[0].Rule); s != want {
		t.Errorf("got  %s\nwant %s", s, want)
	}
}

func TestTable(t *testing.T) {
	var table campaign.Table
	table.Add([]string{"cut", "death"}, [][2]string{{"death", "cut"}, {"cut", "death"}})
	table.Add([]string{"slow"}, nil)
	var b strings.Builder
	if err := table.Write(&b, []string{"cut", "death", "move", "slow"}); err != nil {
		t.Fatal(err)
	}
	const want = `2 scripts, 3 kinds, 1 of 6 pairs met
          1 2 3 4
cut     1 1 1 . .
death   2 1 1 . .
move    3 . . . .
slow    4 . . . 1
never drawn: move
never at one time with cut: slow
never at one time with death: slow
`
	if b.String() != want {
		t.Errorf("got:\n%s", b.String())
	}
}
