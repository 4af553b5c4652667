package experiment

import (
	"bytes"
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/report"
	"olivebridge/internal/lab/sample"
	"olivebridge/internal/lab/stage"
)

// bubbleRunner is a Runner on the virtual clock, in a synctest bubble of this process.
type bubbleRunner struct{ t *testing.T }

func (b bubbleRunner) Run(_ context.Context, s *fault.Script, to sample.Sink) (p RunResult, err error) {
	synctest.Test(b.t, func(t *testing.T) {
		p.Clock = clockVirtual
		for _, v := range stage.Play(t, s, stage.Options{Watch: to}).Violations {
			p.Broken = append(p.Broken, v.String())
		}
	})
	return p, nil
}

// The short form of each experiment of the repository passes its assertions.
func TestShipped(t *testing.T) {
	if raceEnabled {
		t.Skip("too long under the race detector; .ci/run runs this test without it")
	}
	files, err := filepath.Glob("../../../experiments/*.toml")
	if err != nil || len(files) < 12 {
		t.Fatalf("%d experiments, want 12 or more; error %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			e, err := Load(file)
			if err != nil {
				t.Fatal(err)
			}
			plan, err := e.Plan(e.Seed, true)
			if err != nil {
				t.Fatal(err)
			}
			r, err := plan.Run(t.Context(), bubbleRunner{t}, nil)
			if err != nil {
				t.Fatal(err)
			}
			name := strings.TrimSuffix(filepath.Base(file), ".toml")
			if e.Name != name || len(r.Checks) < 3 || r.Verdict != report.Passed {
				var text strings.Builder
				r.WriteText(&text)
				t.Error(text.String())
			}
		})
	}
}

// recordedRunner is a Runner that reports a fixed list of requests.
type recordedRunner []sample.Request

func (o recordedRunner) Run(_ context.Context, s *fault.Script, to sample.Sink) (RunResult, error) {
	for at := time.Duration(0); at <= s.Length.D(); at += 250 * time.Millisecond {
		r := sample.Reading{At: at}
		for i, p := range s.World.Peers { // 8 tries per second arrive at each peer; the first peer is down at the beginning
			down := i == 0 && at < 2*time.Second
			r.Peers = append(r.Peers, sample.Peer{Name: p.Name, OpenRequests: i, Down: down, AttemptsReceived: int(8 * at / time.Second)})
		}
		r.Nodes = []sample.Node{{Name: "n1", CPU: at / 100, ResidentBytes: 64 << 20}}
		if at >= 8*time.Second {
			r.Nodes[0].ResidentBytes *= 2
		}
		to.Reading(r)
	}
	for _, q := range o {
		to.Request(q)
	}
	return RunResult{Clock: clockSockets}, nil
}

// Checks the figures of known requests: latencies count from the due instant, requests whose client left are not
// counted, and a request without a response counts with the whole time that its client waited.
func TestFiguresOfRecordedRequests(t *testing.T) {
	e, err := Parse("a.toml", []byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	plan, err := e.Plan(3, false)
	if err != nil {
		t.Fatal(err)
	}
	ms := time.Millisecond
	var all recordedRunner
	add := func(due, begun, ended time.Duration, o sample.Outcome, class string) {
		all = append(all, sample.Request{
			Class: class, Tenant: "ashby-dental", ScheduledAt: due, SentAt: begun, EndedAt: ended, Outcome: o, Attempts: 1,
		})
	}
	for i := range time.Duration(96) { // class quote is worth 1 if served within 200 ms
		at := 3*time.Second + i*ms
		add(at, at, at+50*ms, sample.Served, "quote")
	}
	add(4*time.Second, 4*time.Second, 4*time.Second+500*ms, sample.Served, "quote") // after the 200 ms
	add(4*time.Second, 4*time.Second, 4*time.Second+600*ms, sample.Unanswered, "quote")
	add(4*time.Second, 4*time.Second, 4*time.Second+ms, sample.Rejected, "quote")
	add(4*time.Second, 4*time.Second, 4*time.Second+ms, sample.NotAccepted, "quote")
	add(4*time.Second, 4*time.Second, 4*time.Second+ms, sample.ClientLeft, "quote")
	add(11*time.Second, 11*time.Second, 12*time.Second, sample.Failed, "order-confirm") // not in phase calm; worth 10
	r, err := plan.Run(t.Context(), all, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		what, phase string
		of          report.Scope
		want        float64
	}{
		{"worth", "calm", report.Scope{}, 0.96}, {"worth", Whole, report.Scope{}, 96.0 / 110},
		{"served", "calm", report.Scope{Class: "quote"}, 0.96}, {"late", "calm", report.Scope{}, 0.01},
		{"refused", "calm", report.Scope{}, 0.01}, {"failed", "calm", report.Scope{}, 0.01},
		{"failed", Whole, report.Scope{Class: "order-confirm"}, 1},
		{"worth", "calm", report.Scope{Tenant: "ashby-dental"}, 0.96},
		{"unanswered", "calm", report.Scope{}, 0.01},
		{"p50", "calm", report.Scope{}, 50}, {"p999", "calm", report.Scope{}, 600},
		{"tries", "calm", report.Scope{}, 8 * 8 * float64(len(plan.Script.World.Peers)) / 101},
		{"cpu", "calm", report.Scope{}, 80.0 / 101},
		{"resident", "calm", report.Scope{}, 80}, {"growth", "calm", report.Scope{}, 1.8},
	} {
		got, ok := r.Figure(c.what, c.phase, c.of)
		if !ok || got < c.want*0.998 || got > c.want*1.002 {
			t.Errorf("%s in phase %s of %+v: %v, measured %v; want %v", c.what, c.phase, c.of, got, ok, c.want)
		}
	}
	if h := r.Peers[0].InFlight; h[0] != report.Down || h[2] != 0 || r.Peers[3].InFlight[5] != 3 || r.Seconds[3].Asked != 96 {
		t.Errorf("unexpected held %v of the first peer, %v of the fourth, or second 3: %+v", h, r.Peers[3].InFlight, r.Seconds[3])
	}
	if r.Verdict != report.Failed || r.Checks[0].Verdict != report.Passed || r.Checks[1].Verdict != report.Failed {
		t.Errorf("unexpected verdict %s or checks %+v", r.Verdict, r.Checks)
	}
}

// The latency of a request includes the lateness of the load generator. If too many requests start late, the report
// has no verdict.
func TestLateLoadTool(t *testing.T) {
	e, err := Parse("a.toml", []byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	plan, err := e.Plan(3, false)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		late int
		want report.Verdict
		p99  float64
	}{{1, report.Passed, 10}, {3, report.NoVerdict, 130}} {
		var all recordedRunner
		for i := range 200 {
			at, lag := 3*time.Second+time.Duration(i), time.Duration(0)
			if i < c.late {
				lag = 120 * time.Millisecond
			}
			all = append(all, sample.Request{
				Class: "quote", Tenant: "ashby-dental", Outcome: sample.Served,
				ScheduledAt: at, SentAt: at + lag, EndedAt: at + lag + 10*time.Millisecond,
			})
		}
		r, err := plan.Run(t.Context(), all, nil)
		if err != nil {
			t.Fatal(err)
		}
		if p99, _ := r.Figure("p99", "calm", report.Scope{}); r.Verdict != c.want || p99 < c.p99*0.99 || p99 > c.p99*1.01 {
			t.Errorf("%d late requests: verdict %s %s, p99 %v; want %s, %v", c.late, r.Verdict, r.Reason, p99, c.want, c.p99)
		}
	}
}

// A rule violation fails the run however late the load generator was.
func TestViolationFailsDespiteLateness(t *testing.T) {
	r := report.Report{Lateness: report.Lateness{Share: 1}, Broken: []string{"wrong answer"}}
	if r.Conclude(); r.Verdict != report.Failed {
		t.Error(r.Verdict)
	}
}

// Two runs of a plan give the same report, byte for byte, and the same number of progress calls.
func TestSameReport(t *testing.T) {
	e, err := Parse("a.toml", []byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	var first string
	for range 2 {
		plan, err := e.Plan(3, true)
		if err != nil {
			t.Fatal(err)
		}
		steps := 0
		r, err := plan.Run(t.Context(), bubbleRunner{t}, func(p Progress) { steps++ })
		if err != nil {
			t.Fatal(err)
		}
		var b bytes.Buffer
		if err := r.WriteJSON(&b); err != nil {
			t.Fatal(err)
		}
		if text := fmt.Sprint(steps, b.String()); first == "" {
			first = text
		} else if text != first {
			t.Error("two runs of one plan gave different reports")
		}
		if steps < 8 || r.Phases[0].All.Asked < 300 {
			t.Errorf("%d progress calls, %d requests; want at least 8 and 300", steps, r.Phases[0].All.Asked)
		}
	}
}
