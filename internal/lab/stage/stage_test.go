package stage

import (
	"bytes"
	"path/filepath"
	"runtime"
	"testing"
	"testing/synctest"

	"olivebridge/internal/lab/fault"
)

// play plays a script in its own bubble.
func play(t *testing.T, s *fault.Script, o Options) (r Result) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { r = Play(t, s, o) })
	return r
}

func draw(t testing.TB, seed uint64) *fault.Script {
	t.Helper()
	sc, err := fault.Default()
	if err != nil {
		t.Fatal(err)
	}
	return fault.Draw(seed, sc)
}

// Verifies that the recorded scripts, each of which once failed or reproduces an incident, break no rule.
func TestKept(t *testing.T) {
	if racing {
		t.Skip("too many timers for the race detector; .ci/run plays them without it")
	}
	files, err := filepath.Glob("../testdata/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("found %d recorded scripts, want at least one; error: %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			s, err := fault.Load(file)
			if err != nil {
				t.Fatal(err)
			}
			r := play(t, s, Options{})
			for _, v := range r.Violations {
				t.Error(v)
			}
			if r.Tally.Asked == 0 {
				t.Errorf("clients sent no requests: %+v", r.Tally)
			}
		})
	}
}

// Verifies that a seed yields the same run each time, with one core and with many. All of the lab depends on this.
func TestRunsAreDeterministic(t *testing.T) {
	if racing {
		t.Skip("too many timers for the race detector; .ci/run compares the hashes of whole replays")
	}
	was := runtime.GOMAXPROCS(0)
	defer runtime.GOMAXPROCS(was)
	for seed := range uint64(4) {
		hashes := map[string]int{}
		for _, procs := range []int{1, 8, 3} {
			runtime.GOMAXPROCS(procs)
			hashes[play(t, draw(t, seed+1), Options{}).Hash]++
		}
		if len(hashes) != 1 {
			t.Errorf("seed %d: %d different traces, want 1", seed+1, len(hashes))
		}
	}
}

// Verifies replay: a script that is written and read back yields the same trace and hash.
func TestTrace(t *testing.T) {
	if racing {
		t.Skip("too many timers for the race detector")
	}
	var one, two bytes.Buffer
	s := draw(t, 3)
	a := play(t, s, Options{Trace: &one})
	var file bytes.Buffer
	if err := s.Write(&file); err != nil {
		t.Fatal(err)
	}
	again, err := fault.Parse("script", file.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	b := play(t, again, Options{Trace: &two})
	if a.Hash != b.Hash || !bytes.Equal(one.Bytes(), two.Bytes()) || one.Len() == 0 {
		t.Errorf("runs differ or have no trace: hashes %s and %s, %d and %d bytes", a.Hash, b.Hash, one.Len(), two.Len())
	}
	if a.Tally.Served == 0 || a.Tally != b.Tally {
		t.Errorf("tallies differ or no request was served: %+v, then %+v", a.Tally, b.Tally)
	}
}

// Verifies that removing a client removes only that client's requests.
func TestRemovedClientLeavesOtherDraws(t *testing.T) {
	if racing {
		t.Skip("too many timers for the race detector")
	}
	s := draw(t, 5)
	if len(s.World.Clients) < 2 {
		t.Skip("the script has only one crowd")
	}
	s.Faults = nil
	less := s.Clone()
	less.World.Clients = less.World.Clients[1:]
	all, fewer := play(t, s, Options{}), play(t, less, Options{})
	if all.Tally.Asked <= fewer.Tally.Asked || fewer.Tally.Asked == 0 {
		t.Errorf("%d requests, and %d without one crowd; want fewer, but more than 0", all.Tally.Asked, fewer.Tally.Asked)
	}
}
