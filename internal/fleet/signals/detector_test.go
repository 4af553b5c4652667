package signals

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

func group(n int) (all []Server) {
	for i := range n {
		all = append(all, Server{uint64(i + 1), 7})
	}
	return all
}

func report(from string, number uint64, seen ...Observation) Report {
	return Report{From: from, Incarnation: "a", Number: number, Observations: seen}
}

func observation(id uint64, m Condition) Observation {
	return Observation{Server: Server{id, 7}, Condition: m}
}

// A server is suspected by as many credible witnesses as are stated, and only since anybody had an answer from it.
func TestSuspected(t *testing.T) {
	for _, c := range []struct {
		what string
		tell func(b *Detector)
		want []uint64
	}{
		{"no report", func(*Detector) {}, nil},
		{"one report of a failing server", func(b *Detector) {
			b.Receive(second, report("x", 1, observation(1, Failing)))
		}, nil},
		{"one node reports it often", func(b *Detector) {
			for n := range uint64(5) {
				b.Receive(second, report("x", n+1, observation(1, Failing)))
			}
		}, nil},
		{"two reports of a failing server", func(b *Detector) {
			b.Receive(second, report("x", 1, observation(1, Failing)))
			b.Receive(second, report("y", 1, observation(1, Failing)))
		}, []uint64{1}},
		{"two reports of a missed answer", func(b *Detector) {
			b.Receive(second, report("x", 1, observation(1, Missed)))
			b.Receive(second, report("y", 1, observation(1, Missed)))
		}, nil},
		{"three reports of a missed answer", func(b *Detector) {
			for _, n := range []string{"x", "y", "z"} {
				b.Receive(second, report(n, 1, observation(1, Missed)))
			}
		}, []uint64{1}},
		{"another node had an answer since", func(b *Detector) {
			b.Receive(second, report("x", 1, observation(1, Failing)))
			b.Receive(second, report("y", 1, observation(1, Failing)))
			b.Receive(2*second, report("x", 2, observation(1, Recovered)))
		}, nil},
		{"this node had an answer since", func(b *Detector) {
			b.Receive(second, report("x", 1, observation(1, Failing)))
			b.Receive(second, report("y", 1, observation(1, Failing)))
			b.Observe(2*second, Server{1, 7}, Answered)
		}, nil},
		{"this node has failed itself", func(b *Detector) {
			b.Receive(second, report("x", 1, observation(1, Failing)))
			b.Receive(second, report("y", 1, observation(1, Failing)))
			b.Observe(2*second, Server{1, 7}, Unanswered)
		}, nil},
		{"an old observation", func(b *Detector) {
			b.Receive(second, report("x", 1, Observation{Server{1, 7}, Failing, maxAge}))
			b.Receive(second, report("y", 1, observation(1, Failing)))
		}, nil},
		{"observations before a restart of the server", func(b *Detector) {
			b.Receive(second, report("x", 1, Observation{Server{1, 6}, Failing, 0}))
			b.Receive(second, report("y", 1, Observation{Server{1, 6}, Failing, 0}))
		}, nil},
		{"a node that has failed with most servers", func(b *Detector) {
			b.Receive(second, report("x", 1, observation(1, Failing), observation(2, Failing), observation(3, Failing)))
			b.Receive(second, report("y", 1, observation(1, Failing)))
		}, nil},
		{"more than a quarter of the servers", func(b *Detector) {
			for _, n := range []string{"x", "y"} {
				b.Receive(second, report(n, 1, observation(1, Failing), observation(2, Failing)))
			}
			for _, n := range []string{"u", "v", "w"} {
				b.Receive(second, report(n, 1, observation(3, Failing), observation(4, Failing)))
			}
		}, []uint64{3, 4}}, // a quarter of eight: first those of which most say so
		{"an earlier report comes late", func(b *Detector) {
			b.Receive(second, report("x", 2))
			b.Receive(second, report("x", 1, observation(1, Failing)))
			b.Receive(second, report("y", 1, observation(1, Failing)))
		}, nil},
		{"a node that is not present any more", func(b *Detector) {
			b.Receive(second, report("x", 1, observation(1, Failing)))
			b.Receive(second, report("y", 1, observation(1, Failing)))
			b.DropNodes(func(n string) bool { return n != "x" })
		}, nil},
	} {
		b := NewDetector("me", 2)
		c.tell(b)
		if got := b.Suspected(3*second, group(8)); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.what, got, c.want)
		}
	}
}

// A node reports the first failure, a failing server, and the first answer after that; and nothing that is old.
func TestReportOfOwnObservations(t *testing.T) {
	b := NewDetector("me", 2)
	p := Server{3, 7}
	for i, c := range []struct {
		r    Result
		news bool
		mark Condition
		says int
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
		if news := b.Observe(now, p, c.r); news != c.news {
			t.Errorf("%d: news %v", i, news)
		}
		w := b.Report(now, "a")
		if len(w.Observations) != c.says || c.says > 0 && w.Observations[0].Condition != c.mark {
			t.Errorf("%d: it reports %+v", i, w.Observations)
		}
	}
	if w := b.Report(maxAge+second, "a"); len(w.Observations) != 0 {
		t.Errorf("old observations: %+v", w.Observations)
	}
	b.Observe(maxAge+second, Server{3, 8}, Answered)
	if w := b.Report(maxAge+second, "a"); len(w.Observations) != 0 {
		t.Errorf("of the last incarnation: %+v", w.Observations)
	}
}

// Whatever comes, in whatever order: at most a quarter of the servers is suspected, none by fewer nodes than stated,
// and a report is decoded as it was encoded.
func TestDetectorInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewDetector("me", rapid.IntRange(2, 4).Draw(t, "witnesses"))
		all := group(rapid.IntRange(1, 12).Draw(t, "peers"))
		now, last := second, map[string]Report{}
		for i := range rapid.IntRange(1, 40).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			p := rapid.SampledFrom(all).Draw(t, "peer")
			if rapid.Bool().Draw(t, "own") {
				b.Observe(now, p, rapid.SampledFrom([]Result{Answered, Unanswered}).Draw(t, "result"))
			} else {
				w := Report{From: fmt.Sprint("n", rapid.IntRange(1, 5).Draw(t, "from")), Incarnation: "a", Number: uint64(i + 1)}
				idOf := func(server Server) uint64 { return server.ID }
				for _, server := range rapid.SliceOfNDistinct(rapid.SampledFrom(all), 0, 4, idOf).Draw(t, "of") {
					condition := rapid.SampledFrom([]Condition{Failing, Missed, Recovered}).Draw(t, "mark")
					age := time.Duration(rapid.IntRange(0, 9000).Draw(t, "age")) * time.Millisecond
					w.Observations = append(w.Observations, Observation{server, condition, age})
				}
				text, err := encode(w)
				if err != nil || len(text) > 1200 {
					t.Fatal(len(text), err)
				}
				again, err := decode(text)
				if err != nil || fmt.Sprint(again) != fmt.Sprint(w) {
					t.Fatalf("%v became %v, %v", w, again, err)
				}
				b.Receive(now, again)
				last[w.From] = again
			}
			suspected := b.Suspected(now, all)
			if len(suspected)*4 > len(all) {
				t.Fatalf("%d of %d", len(suspected), len(all))
			}
			for _, id := range suspected {
				n := 0
				for _, w := range last {
					failed := func(o Observation) bool { return o.ID == id && o.Condition != Recovered }
					if slices.ContainsFunc(w.Observations, failed) {
						n++
					}
				}
				if n < b.witnesses {
					t.Fatalf("%d is suspected by the reports of %d", id, n)
				}
			}
		}
	})
}

// A full report fits into a packet, and a corrupt one is an error.
func TestCodec(t *testing.T) {
	w := Report{From: "a-name-of-some-length", Incarnation: "0123456789abcdef/1234", Number: 1 << 40}
	for i := range MaxObservations {
		server := Server{ID: 1<<63 + uint64(i), StartedAt: 1764000000000000000 + int64(i)}
		w.Observations = append(w.Observations, Observation{server, Failing, maxAge})
	}
	text, err := encode(w)
	if err != nil || len(text) > 1200 {
		t.Fatalf("%d bytes, %v", len(text), err)
	}
	for i := range text {
		if w, err := decode(text[:i]); err == nil {
			t.Errorf("the first %d bytes are a report: %v", i, w)
		}
	}
	if _, err := decode([]byte("garbage")); err == nil {
		t.Error("garbage is a report")
	}
}
