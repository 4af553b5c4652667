package live

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/loop"
	"olivebridge/internal/lab/sample"
)

var program string // the node's

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "live-")
	if err == nil {
		program, err = Build(context.Background(), dir)
	}
	code := 1
	if err != nil {
		os.Stderr.WriteString(err.Error() + "\n")
	} else {
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

func start(t *testing.T, s *fault.Script, o Options) *Run {
	t.Helper()
	o.Node, o.Dir = program, t.TempDir()
	r, err := Start(t.Context(), s, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Stop() })
	return r
}

// until looks at the run until it is such.
func until(t *testing.T, r *Run, such func(s Snapshot) bool) Snapshot {
	t.Helper()
	each := time.NewTicker(20 * time.Millisecond)
	defer each.Stop()
	for deadline := time.After(30 * time.Second); ; {
		select {
		case <-each.C:
			if s := r.Table(); such(s) {
				return s
			}
		case <-deadline:
			t.Fatalf("it never became so: %+v", r.Table())
		}
	}
}

func span(d time.Duration) figure.Span { return figure.Span(d) }

// scripted is how long TestScript's script is. A planned end may take 2.2 s and more on a busy machine, a start too, and
// a peer that has started cold has its first requests by chance: there is time for each, many times over.
const scripted = 10 * time.Second

// Guards the play of scripts: faults of every family happen, what they undo is undone, and nothing is left.
func TestScript(t *testing.T) {
	s := Sample(4, 2, 100)
	s.Length = span(scripted)
	for i := range s.World.Classes { // how fast a busy machine is, is not what this shows
		s.World.Classes[i].Objective, s.World.Classes[i].Deadline = span(750*time.Millisecond), span(1500*time.Millisecond)
	}
	s.World.Contract.ConnectTimeout = span(time.Second)
	s.Faults = []fault.Fault{
		{Kind: "death", At: span(100 * time.Millisecond), For: span(time.Second), Peers: []string{"p01"}},
		{Kind: "vanish", At: span(200 * time.Millisecond), For: span(time.Second), Peers: []string{"p02"}},
		{Kind: "cut", At: span(1500 * time.Millisecond), For: span(300 * time.Millisecond), Zone: "west"},
		{Kind: "move", At: span(300 * time.Millisecond), Pause: span(100 * time.Millisecond)},
		{Kind: "node-kill", At: span(2500 * time.Millisecond), For: span(500 * time.Millisecond), Nodes: []string{"n1"}},
		{Kind: "node-restart", At: span(2500 * time.Millisecond), For: span(5 * time.Second), Nodes: []string{"n2"}},
	}
	var log bytes.Buffer
	var seen seen
	r := start(t, s, Options{Log: &log, Watch: &seen})
	r.on(func() { seen.run = r })
	before := r.Table()
	if err := r.Wait(); err != nil || log.Len() > 0 {
		t.Errorf("%v: %s", err, &log)
	}
	end := r.Table()
	if n := end.Total; n.Asked < 500 || n.Served < n.Asked/2 || n.Foreign > 0 || n.Tries < n.Served {
		t.Errorf("%+v", n)
	}
	seen.check(t, end)
	if broken := r.Broken(); len(broken) > 0 {
		t.Error(broken)
	}
	for i, n := range end.Nodes {
		if n.State != Up || n.PID == before.Nodes[i].PID || syscall.Kill(n.PID, 0) == nil {
			t.Errorf("%+v, and before %+v", n, before.Nodes[i])
		}
		text, err := os.ReadFile(filepath.Join(r.options.Dir, n.Name+".log"))
		said := func(what string) int { return strings.Count(string(text), what) }
		if err != nil || said("msg=started") != 2 || said("msg=reloaded") != 1 || said("when=asked") != 0 {
			t.Errorf("%v in the log of %s: %s", err, n.Name, text)
		}
	}
	for _, p := range end.Peers {
		if p.State != Up || p.Served == 0 {
			t.Errorf("%+v", p)
		}
	}
}

// seen is what a run has told.
type seen struct {
	requests []sample.Request
	readings []sample.Reading
	events   []string
	run      *Run        // nil until it has started
	overdue  *loop.Timer // happens unless the next reading goes before
	missed   int         // readings that did not
}

func (s *seen) Request(q sample.Request) { s.requests = append(s.requests, q) }

// Reading expects the next one when it is due. The loop lets events happen in the order in which they are due, however
// late the machine is; a reading that is late may be due at once.
func (s *seen) Reading(r sample.Reading) {
	s.readings = append(s.readings, r)
	if s.overdue.Stop(); s.run == nil {
		return
	}
	s.overdue = s.run.loop.After(readEach, func() {
		s.overdue = s.run.loop.After(looks, func() {
			if s.run.watch.on { // until the script's end
				s.missed++
			}
		})
	})
}
func (s *seen) Event(e sample.Event) { s.events = append(s.events, e.Name+" "+e.Change) }

// check holds what TestScript's run has told against how it ended: each request once, with times of the script's;
// readings close to each other, in which nothing runs backwards though processes come and go; what happened.
func (s *seen) check(t *testing.T, end Snapshot) {
	t.Helper()
	served := 0
	for _, q := range s.requests {
		if q.ScheduledAt < 0 || q.ScheduledAt > scripted || q.SentAt < q.ScheduledAt || q.EndedAt < q.SentAt {
			t.Errorf("%+v", q)
		}
		if q.Outcome == sample.Served {
			served++
		}
	}
	if n := end.Total; len(s.requests) != n.Asked || served != n.Served+n.Late {
		t.Errorf("%d requests, %d served, but %+v", len(s.requests), served, n)
	}
	if s.missed > 0 || s.overdue == nil {
		t.Errorf("%d readings came too late", s.missed)
	}
	down, last := false, s.readings[0]
	for _, r := range s.readings[1:] {
		if r.At < last.At || len(r.Peers) != 4 || r.Nodes[0].CPU < last.Nodes[0].CPU {
			t.Errorf("%+v after %+v", r, last)
		}
		down = down || r.Peers[0].Down
		last = r
	}
	if s.readings[0].At > 100*time.Millisecond || !down || last.Nodes[0].CPU <= 0 || last.Nodes[1].ResidentBytes < 1<<20 {
		t.Errorf("first %+v, last %+v", s.readings[0], last)
	}
	for _, want := range []string{"p01 ended", "p01 started cold", "p01 listed Ready", "n1 killed", "n1 started",
		"n2 told SIGTERM", "n2 ended", "n2 started", "n1 told SIGHUP"} {
		if !slices.Contains(s.events, want) {
			t.Errorf("%q is not among %q", want, s.events)
		}
	}
}

// stuck lets the loop stand still once, as a machine that is short of processors does.
type stuck struct {
	sample.Sink
	once sync.Once
}

func (s *stuck) Request(sample.Request) {}
func (s *stuck) Event(sample.Event)     {}
func (s *stuck) Reading(r sample.Reading) {
	if r.At >= readEach { // not before the clients have begun
		s.once.Do(func() { time.Sleep(ending + time.Second) })
	}
}

// Guards the end of a script: a machine that was late plays it to there.
func TestLateMachine(t *testing.T) {
	s := Sample(2, 1, 400)
	s.Length = span(time.Second)
	r := start(t, s, Options{Watch: &stuck{}})
	if err := r.Wait(); err != nil || r.Table().Total.Asked < 300 {
		t.Errorf("%v: %+v", err, r.Table().Total)
	}
}

func TestDo(t *testing.T) {
	r := start(t, Sample(3, 2, 60), Options{})
	for _, c := range []struct{ command, did, err string }{
		{"kill p01", "p01 is killed", ""}, {"kill p01", "", "kill: p01 is down; heal starts it"},
		{"slow p02 4", "p02 is slow x4", ""}, {"fail p02 0.5", "p02 is failing 0.5", ""},
		{"drain p03", "p03 is draining", ""}, {"kill n2", "n2 is killed", ""},
		{"kill p9", "", `kill: no peer or node named "p9"`}, {"kill", "", "kill: takes a name"},
		{"drain n1", "", `drain: no peer named "n1"`}, {"restart p01", "", `restart: no node named "p01"`},
		{"slow p02", "", "slow: takes a peer and a figure"},
		{"slow p02 0", "", `slow: not a number of times from 1 to 1000: "0"`},
		{"fail p02 2", "", `fail: not a share above 0 and up to 1: "2"`},
		{"heal p9", "", `heal: no peer or node named "p9"`}, {"burn p01", "", "burn: no such command"},
	} {
		did, err := r.Do(c.command)
		if did != c.did || (err == nil) != (c.err == "") || err != nil && err.Error() != c.err {
			t.Errorf("%s: %q, %v", c.command, did, err)
		}
	}
	s := until(t, r, func(s Snapshot) bool { return s.Peers[0].Listed == "Gone" && s.Nodes[0].Tries > 0 })
	if p := s.Peers; p[0].State != Down || p[1].Ails != "slow x4, failing 0.5" || s.Nodes[1].State != Down {
		t.Errorf("%+v", s)
	}
	until(t, r, func(s Snapshot) bool { return s.Peers[2].State == Down }) // the drain comes to its end
	if _, err := r.Do("heal"); err != nil {
		t.Fatal(err)
	}
	until(t, r, func(s Snapshot) bool {
		return s.Peers[0].Listed == "Ready" && s.Peers[2].State == Up && s.Peers[1].Ails == "" && s.Nodes[1].State == Up
	})
	old := r.Table().Nodes[0].PID
	if _, err := r.Do("restart n1"); err != nil {
		t.Fatal(err)
	}
	until(t, r, func(s Snapshot) bool { return s.Nodes[0].State == Up && s.Nodes[0].PID != old })
	if err := r.Stop(); err != nil {
		t.Error(err)
	}
	if _, err := r.Do("heal"); err == nil {
		t.Error("something was done to a run that is over")
	}
}

// A call of anybody's is answered through a node, and the list that anybody gets names peers that anybody reaches.
func TestAnybody(t *testing.T) {
	r := start(t, Sample(2, 1, 1), Options{})
	get := func(url string, fields ...string) string {
		t.Helper()
		q, err := http.NewRequest("GET", url, nil)
		if err != nil {
			t.Fatal(err)
		}
		for i := 0; i < len(fields); i += 2 {
			q.Header.Set(fields[i], fields[i+1])
		}
		a, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		defer a.Body.Close()
		body, err := io.ReadAll(a.Body)
		if err != nil || a.StatusCode != 200 {
			t.Errorf("%s: %d, %v", url, a.StatusCode, err)
		}
		return string(body)
	}
	call := get("http://"+r.Resolve("n1:9000")+"/api?user=me", "X-Call-Id", "mine", "X-Call-Class", "quote",
		"X-Caller", "acme", "X-Budget", "0.6")
	if !strings.Contains(call, "call=mine ") {
		t.Errorf("%.80q", call)
	}
	list := get("http://" + r.Resolve("registry:8500") + "/registry/instances")
	if at := r.Resolve("p01:9000"); !strings.Contains(list, at) || strings.Contains(list, "p01:9000") {
		t.Errorf("%s is not in %s", at, list)
	}
	get("http://" + r.Resolve("p01:9000") + "/health/live")
}

func TestCannotStart(t *testing.T) {
	broken := Sample(1, 1, 1)
	broken.World.Peers[0].Cores = 0
	slow := Sample(1, 1, 1)
	slow.Faults = []fault.Fault{{Kind: "slowlink", For: span(time.Second), Peers: []string{"p01"}, Factor: 2}}
	for _, c := range []struct {
		name, node, err string
		script          *fault.Script
	}{
		{"no such program", "/no/where", "no such file", Sample(1, 1, 1)},
		{"a program that ends", "/bin/false", "node n1 ended: exit status 1", Sample(1, 1, 1)},
		{"a script that cannot be", program, "world.peer[0].cores: 0 is not from 1", broken},
		{"a fault that cannot be", program, "slowlink: not on sockets", slow},
	} {
		_, err := Start(t.Context(), c.script, Options{Node: c.node, Dir: t.TempDir()})
		if err == nil || !strings.Contains(err.Error(), c.err) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}
