package signals

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

// group returns n servers with the IDs 1 to n.
func group(n int) (all []Server) {
	for i := range n {
		all = append(all, Server{uint64(i + 1), 7})
	}
	return all
}

func report(from string, number uint64, observations ...Observation) Report {
	return Report{From: from, Incarnation: "a", Number: number, Observations: observations}
}

func observation(id uint64, condition Condition) Observation {
	return Observation{Server: Server{id, 7}, Condition: condition}
}

// A server is suspected if the configured number of credible nodes report failures since the last answer to any node.
// Old, overtaken and implausible reports and those of nodes that left do not count.
func TestSuspected(t *testing.T) {
	for _, c := range []struct {
		name  string
		apply func(d *Detector)
		want  []uint64
	}{
		{"no report", func(*Detector) {}, nil},
		{"one report of a failing server", func(d *Detector) {
			d.Receive(second, report("x", 1, observation(1, Failing)))
		}, nil},
		{"one node repeats its report", func(d *Detector) {
			for n := range uint64(5) {
				d.Receive(second, report("x", n+1, observation(1, Failing)))
			}
		}, nil},
		{"two reports of a failing server", func(d *Detector) {
			d.Receive(second, report("x", 1, observation(1, Failing)))
			d.Receive(second, report("y", 1, observation(1, Failing)))
		}, []uint64{1}},
		{"two nodes report a missed answer", func(d *Detector) {
			d.Receive(second, report("x", 1, observation(1, Missed)))
			d.Receive(second, report("y", 1, observation(1, Missed)))
		}, nil},
		{"three nodes report a missed answer", func(d *Detector) {
			for _, n := range []string{"x", "y", "z"} {
				d.Receive(second, report(n, 1, observation(1, Missed)))
			}
		}, []uint64{1}},
		{"another node received an answer since", func(d *Detector) {
			d.Receive(second, report("x", 1, observation(1, Failing)))
			d.Receive(second, report("y", 1, observation(1, Failing)))
			d.Receive(2*second, report("x", 2, observation(1, Recovered)))
		}, nil},
		{"this node received an answer since", func(d *Detector) {
			d.Receive(second, report("x", 1, observation(1, Failing)))
			d.Receive(second, report("y", 1, observation(1, Failing)))
			d.Observe(2*second, Server{1, 7}, Answered)
		}, nil},
		{"this node has observed a failure itself", func(d *Detector) {
			d.Receive(second, report("x", 1, observation(1, Failing)))
			d.Receive(second, report("y", 1, observation(1, Failing)))
			d.Observe(2*second, Server{1, 7}, Unanswered)
		}, nil},
		{"an old observation", func(d *Detector) {
			d.Receive(second, report("x", 1, Observation{Server{1, 7}, Failing, maxAge}))
			d.Receive(second, report("y", 1, observation(1, Failing)))
		}, nil},
		{"observations before a restart of the server", func(d *Detector) {
			d.Receive(second, report("x", 1, Observation{Server{1, 6}, Failing, 0}))
			d.Receive(second, report("y", 1, Observation{Server{1, 6}, Failing, 0}))
		}, nil},
		{"one of two nodes reports failures of too many servers", func(d *Detector) {
			d.Receive(second, report("x", 1, observation(1, Failing), observation(2, Failing), observation(3, Failing)))
			d.Receive(second, report("y", 1, observation(1, Failing)))
		}, nil},
		{"failures of more than a quarter of the servers", func(d *Detector) {
			for _, n := range []string{"x", "y"} {
				d.Receive(second, report(n, 1, observation(1, Failing), observation(2, Failing)))
			}
			for _, n := range []string{"u", "v", "w"} {
				d.Receive(second, report(n, 1, observation(3, Failing), observation(4, Failing)))
			}
		}, []uint64{3, 4}}, // the limit is a quarter of eight; servers with more witnesses come first
		{"an earlier report arrives after a later one", func(d *Detector) {
			d.Receive(second, report("x", 2))
			d.Receive(second, report("x", 1, observation(1, Failing)))
			d.Receive(second, report("y", 1, observation(1, Failing)))
		}, nil},
		{"one of two reporting nodes is no longer present", func(d *Detector) {
			d.Receive(second, report("x", 1, observation(1, Failing)))
			d.Receive(second, report("y", 1, observation(1, Failing)))
			d.DropNodes(func(n string) bool { return n != "x" })
		}, nil},
	} {
		d := NewDetector("me", 2)
		c.apply(d)
		if got := d.Suspected(3*second, group(8)); !slices.Equal(got, c.want) {
			t.Errorf("%s: suspected %v, want %v", c.name, got, c.want)
		}
	}
}

// A node reports the first failure of a server, consecutive failures and the first answer after them. It does not
// report old observations or those of an earlier incarnation of the server.
func TestReportOfOwnObservations(t *testing.T) {
	d := NewDetector("me", 2)
	server := Server{3, 7}
	for i, c := range []struct {
		result       Result
		changed      bool
		condition    Condition
		observations int
	}{
		{Answered, false, 0, 0},
		{Unanswered, true, Missed, 1},
		{Unanswered, true, Failing, 1},
		{Unanswered, false, Failing, 1},
		{Answered, true, Recovered, 1},
		{Answered, false, Recovered, 1},
		{Unanswered, true, Missed, 1},
	} {
		now := time.Duration(i+1) * time.Millisecond
		if changed := d.Observe(now, server, c.result); changed != c.changed {
			t.Errorf("result %d: Observe returned %v, want the opposite", i, changed)
		}
		r := d.Report(now, "a")
		if len(r.Observations) != c.observations || c.observations > 0 && r.Observations[0].Condition != c.condition {
			t.Errorf("result %d: unexpected report %+v", i, r.Observations)
		}
	}
	if r := d.Report(maxAge+second, "a"); len(r.Observations) != 0 {
		t.Errorf("old observations are reported: %+v", r.Observations)
	}
	d.Observe(maxAge+second, Server{3, 8}, Answered)
	if r := d.Report(maxAge+second, "a"); len(r.Observations) != 0 {
		t.Errorf("observations of the last incarnation of the server are reported: %+v", r.Observations)
	}
}

// With random observations and reports, at most a quarter of the servers is suspected, each by at least the configured
// number of nodes, and a report is decoded as it was encoded.
func TestDetectorInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDetector("me", rapid.IntRange(2, 4).Draw(t, "witnesses"))
		all := group(rapid.IntRange(1, 12).Draw(t, "servers"))
		now, last := second, map[string]Report{}
		for i := range rapid.IntRange(1, 40).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			observedServer := rapid.SampledFrom(all).Draw(t, "server")
			if rapid.Bool().Draw(t, "own") {
				d.Observe(now, observedServer, rapid.SampledFrom([]Result{Answered, Unanswered}).Draw(t, "result"))
			} else {
				r := Report{From: fmt.Sprint("n", rapid.IntRange(1, 5).Draw(t, "from")), Incarnation: "a", Number: uint64(i + 1)}
				idOf := func(server Server) uint64 { return server.ID }
				for _, server := range rapid.SliceOfNDistinct(rapid.SampledFrom(all), 0, 4, idOf).Draw(t, "reported servers") {
					condition := rapid.SampledFrom([]Condition{Failing, Missed, Recovered}).Draw(t, "condition")
					age := time.Duration(rapid.IntRange(0, 9000).Draw(t, "age")) * time.Millisecond
					r.Observations = append(r.Observations, Observation{server, condition, age})
				}
				message, err := encode(r)
				if err != nil || len(message) > 1200 {
					t.Fatal(len(message), err)
				}
				decoded, err := decode(message)
				if err != nil || fmt.Sprint(decoded) != fmt.Sprint(r) {
					t.Fatalf("report %v was decoded as %v, %v", r, decoded, err)
				}
				d.Receive(now, decoded)
				last[r.From] = decoded
			}
			suspected := d.Suspected(now, all)
			if len(suspected)*4 > len(all) {
				t.Fatalf("%d of %d servers are suspected, more than a quarter", len(suspected), len(all))
			}
			for _, id := range suspected {
				n := 0
				for _, r := range last {
					failed := func(o Observation) bool { return o.ID == id && o.Condition != Recovered }
					if slices.ContainsFunc(r.Observations, failed) {
						n++
					}
				}
				if n < d.witnesses {
					t.Fatalf("server %d is suspected by the reports of only %d nodes", id, n)
				}
			}
		}
	})
}

// A report of MaxObservations fits into a packet, and a truncated or malformed one is an error.
func TestCodec(t *testing.T) {
	r := Report{From: "a-name-of-some-length", Incarnation: "0123456789abcdef/1234", Number: 1 << 40}
	for i := range MaxObservations {
		server := Server{ID: 1<<63 + uint64(i), StartedAt: 1764000000000000000 + int64(i)}
		r.Observations = append(r.Observations, Observation{server, Failing, maxAge})
	}
	message, err := encode(r)
	if err != nil || len(message) > 1200 {
		t.Fatalf("encoded to %d bytes, want at most 1200, %v", len(message), err)
	}
	for i := range message {
		if r, err := decode(message[:i]); err == nil {
			t.Errorf("the first %d bytes are decoded as a report: %v", i, r)
		}
	}
	if _, err := decode([]byte("garbage")); err == nil {
		t.Error("decode returned no error for a malformed message")
	}
}
