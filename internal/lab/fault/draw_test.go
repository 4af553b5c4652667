package fault

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"reflect"
	"slices"
	"testing"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/world"
)

func scenario(t *testing.T) *Scenario {
	t.Helper()
	sc, err := Default()
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

func written(t *testing.T, s *Script) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := s.Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// A seed is a script for good: kept failures name seeds. Whoever changes what
// is drawn changes this hash, knowingly.
func TestDrawGolden(t *testing.T) {
	const want = "6b96361bf648c3ff1acf7febbdc7e0bd31817bafa84cb1abb7d5e2f8c5cad3d4"
	sc, sum := scenario(t), sha256.New()
	for seed := range uint64(20) {
		sum.Write(written(t, Draw(seed, sc)))
	}
	if got := hex.EncodeToString(sum.Sum(nil)); got != want {
		t.Errorf("scripts of seeds 0 to 19 have hash %s, want %s", got, want)
	}
}

func TestDrawnScripts(t *testing.T) {
	sc := scenario(t)
	const seeds = 2000
	kinds, pairs := map[string]int{}, map[[2]string]int{}
	overlap, several, late := 0, 0, 0
	for seed := range uint64(seeds) {
		s := Draw(seed, sc)
		if err := s.Check(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if seed < 200 {
			back, err := Parse("s.toml", written(t, s))
			if err != nil || !reflect.DeepEqual(back, s) {
				t.Fatalf("seed %d: not the same when read back: %v", seed, err)
			}
		}
		for _, k := range s.Kinds() {
			kinds[k]++
		}
		for _, p := range s.Pairs() {
			pairs[p]++
		}
		if len(s.Kinds()) >= 2 {
			several++
		}
		if len(s.Pairs()) > 0 {
			overlap++
		}
		for _, f := range s.Faults {
			if f.Kind == "death" && f.At+f.For+figure.Span(2e9) > s.Length {
				late++
			}
		}
	}
	least := seeds
	table := KindTable()
	for i, a := range table {
		if kinds[a.Name] < seeds/40 {
			t.Errorf("%s is in %d of %d scripts", a.Name, kinds[a.Name], seeds)
		}
		for _, b := range table[:i] {
			n := pairs[[2]string{min(a.Name, b.Name), max(a.Name, b.Name)}]
			least = min(least, n)
			if n == 0 {
				t.Errorf("%s and %s never meet", a.Name, b.Name)
			}
		}
	}
	if overlap < seeds*8/10 {
		t.Errorf("faults overlap in %d of %d scripts", overlap, seeds)
	}
	// Who comes back from a death must mostly be met cold, not at the script's end.
	if late > kinds["death"]/2 {
		t.Errorf("%d of %d deaths last to the end", late, kinds["death"])
	}
	t.Logf("%d scripts: %d with several kinds, %d where they overlap; each pair at least %d times; deaths to the end %d of %d",
		seeds, several, overlap, least, late, kinds["death"])
}

// Streams stand for themselves: another range for one entity leaves all else.
func TestDrawsAreApart(t *testing.T) {
	a, sc := Draw(1<<63|7, scenario(t)), scenario(t) // no file holds the topmost bit
	sc.Node.MemoryMB = Counts{100, 101}
	sc.Discovery.Each = Spans{figure.Span(5e6), figure.Span(5e6)}
	sc.Peer.Conns = Counts{5, 5}
	b := Draw(7, sc)
	if reflect.DeepEqual(a, b) {
		t.Fatal("no range has had an effect")
	}
	for i := range a.World.Nodes {
		b.World.Nodes[i].MemoryMB = a.World.Nodes[i].MemoryMB
	}
	b.World.Discovery.Each = a.World.Discovery.Each
	for i := range a.World.Peers {
		b.World.Peers[i].Conns = a.World.Peers[i].Conns
	}
	if !reflect.DeepEqual(a, b) {
		t.Error("ranges of some figures moved others")
	}
	sc.PeerKinds[0].ColdShare, sc.PeerKinds[1].ColdShare = Range{0.01, 0.02}, Range{0.01, 0.02}
	for _, p := range Draw(7, sc).World.Peers {
		if p.ColdShare < a.World.Contract.ColdShare {
			t.Errorf("%s starts colder than the contract has it", p.Name)
		}
	}
}

// What a cut leaves without a meaning goes with it, and the cut is offered.
func TestSmallerHeirs(t *testing.T) {
	s := &Script{}
	for seed := uint64(0); len(s.Faults) == 0 || len(s.Faults[0].Heirs) < 2; seed++ {
		s = Draw(seed, scenario(t))
	}
	heir := s.Faults[0].Heirs[0]
	calm, without := false, false
	for c := range s.Smaller() {
		late := slices.ContainsFunc(c.World.Peers, func(p world.Peer) bool { return p.Late })
		calm = calm || len(c.Faults) == 0 && !late
		gone := !slices.ContainsFunc(c.World.Peers, func(p world.Peer) bool { return p.Name == heir })
		old := slices.ContainsFunc(c.World.Peers, func(p world.Peer) bool { return p.Name == s.Faults[0].Peers[0] })
		without = without || gone && old && len(c.Faults) == len(s.Faults) && len(c.World.Peers) == len(s.World.Peers)-1 &&
			len(c.Faults[0].Peers) == len(s.Faults[0].Peers)-1
	}
	if !calm || !without {
		t.Errorf("no script without faults (%v), or without one heir (%v)", calm, without)
	}
}

func TestSmaller(t *testing.T) {
	sc := scenario(t)
	for seed := range uint64(12) {
		s := Draw(seed, sc)
		whole := written(t, s)
		n := 0
		for c := range s.Smaller() {
			n++
			if err := c.Check(); err != nil || reflect.DeepEqual(c, s) {
				t.Fatalf("seed %d, cut %d: same or %v", seed, n, err)
			}
			if n%8 != 0 {
				c.World.Clients[0].Mix["shared"] = 1 // must not be
				continue
			}
			if back, err := Parse("c.toml", written(t, c)); err != nil || !reflect.DeepEqual(back, c) {
				t.Fatalf("seed %d, cut %d: not the same when read back: %v", seed, n, err)
			}
		}
		if !bytes.Equal(whole, written(t, s)) {
			t.Fatalf("seed %d: the script itself has changed", seed)
		}
		// One fault, of one peer, kept alive: all else must go, in a bounded number of steps.
		keep := func(c *Script) bool { return len(c.Faults) > 0 || len(s.Faults) == 0 }
		steps := 0
		for again := true; again; {
			again = false
			for c := range s.Smaller() {
				if keep(c) {
					s, again = c, true
					break
				}
			}
			if steps++; steps > 1000 {
				t.Fatalf("seed %d: no end", seed)
			}
		}
		w := &s.World
		early := 0
		for _, p := range w.Peers {
			if !p.Late {
				early++
			}
		}
		if len(s.Faults) > 1 || len(w.Nodes) > 1 || len(w.Clients) > 1 || len(w.Malformed) > 0 || early > 2 ||
			s.Length > figure.Span(8e9) {
			t.Errorf("seed %d: stays large:\n%s", seed, written(t, s))
		}
	}
}
