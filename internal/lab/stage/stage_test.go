package stage

import (
	"bytes"
	"path/filepath"
	"runtime"
	"testing"
	"testing/synctest"

	"olivebridge/internal/lab/fault"
)

// play plays a script in a bubble of its own.
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

// Every script that ever failed, and those of the incidents, hold.
func TestKept(t *testing.T) {
	if racing {
		t.Skip("too many timers for the race detector; .ci/run plays them without it")
	}
	files, err := filepath.Glob("../testdata/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d kept scripts: %v", len(files), err)
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
				t.Errorf("nobody asked: %+v", r.Tally)
			}
		})
	}
}

// Guards what all of the lab rests on: a seed is the same run each time, on one core and on many.
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
			t.Errorf("seed %d: %d different traces", seed+1, len(hashes))
		}
	}
}

// Guards replay: what is written is what is hashed, and a script that was written down and read again plays alike.
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
		t.Errorf("%s and %s: %d and %d bytes", a.Hash, b.Hash, one.Len(), two.Len())
	}
	if a.Tally.Served == 0 || a.Tally != b.Tally {
		t.Errorf("%+v, then %+v", a.Tally, b.Tally)
	}
}

// Guards the draws: a client that is taken out leaves what the others ask as it was.
func TestRemovedClientLeavesOtherDraws(t *testing.T) {
	if racing {
		t.Skip("too many timers for the race detector")
	}
	s := draw(t, 5)
	if len(s.World.Clients) < 2 {
		t.Skip("one crowd")
	}
	s.Faults = nil
	less := s.Clone()
	less.World.Clients = less.World.Clients[1:]
	all, fewer := play(t, s, Options{}), play(t, less, Options{})
	if all.Tally.Asked <= fewer.Tally.Asked || fewer.Tally.Asked == 0 {
		t.Errorf("%d asked, and %d without one crowd", all.Tally.Asked, fewer.Tally.Asked)
	}
}
