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

func encoded(t *testing.T, s *Script) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := s.Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// Verifies that the script of a seed does not change, since recorded failures refer to seeds. A deliberate change of
// the draws must change this hash.
func TestDrawGolden(t *testing.T) {
	const want = "b5c92c61158494c21c8462bc81cca250668256a09aeebf234eb8c21f99a49305"
	sc, sum := scenario(t), sha256.New()
	for seed := range uint64(20) {
		sum.Write(encoded(t, Draw(seed, sc)))
	}
	if got := hex.EncodeToString(sum.Sum(nil)); got != want {
		t.Errorf("hash of the scripts of seeds 0 to 19 = %s, want %s", got, want)
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
			back, err := Parse("s.toml", encoded(t, s))
			if err != nil || !reflect.DeepEqual(back, s) {
				t.Fatalf("seed %d: script read back differs from the one written; error: %v", seed, err)
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
			t.Errorf("kind %s is in %d of %d scripts, want at least one in 40", a.Name, kinds[a.Name], seeds)
		}
		for _, b := range table[:i] {
			n := pairs[[2]string{min(a.Name, b.Name), max(a.Name, b.Name)}]
			least = min(least, n)
			if n == 0 {
				t.Errorf("kinds %s and %s never overlap", a.Name, b.Name)
			}
		}
	}
	if overlap < seeds*8/10 {
		t.Errorf("faults overlap in %d of %d scripts, want 80 percent", overlap, seeds)
	}
	// Most restarts after a death must happen early enough for the cold peers to receive requests before the script ends.
	if late > kinds["death"]/2 {
		t.Errorf("%d of %d deaths end less than 2 s before the script, want at most half", late, kinds["death"])
	}
	t.Logf("%d scripts: %d with several kinds, %d with overlapping kinds; each pair at least %d times; deaths that end with the script %d of %d",
		seeds, several, overlap, least, late, kinds["death"])
}

// Verifies that random streams are independent: a changed range of one entity changes no other draws.
func TestDrawStreamsAreIndependent(t *testing.T) {
	a, sc := Draw(1<<63|7, scenario(t)), scenario(t) // the topmost bit of a seed is ignored
	sc.Node.MemoryMB = Counts{100, 101}
	sc.Discovery.Each = Spans{figure.Span(5e6), figure.Span(5e6)}
	sc.Peer.Conns = Counts{5, 5}
	b := Draw(7, sc)
	if reflect.DeepEqual(a, b) {
		t.Fatal("changed ranges had no effect on the script")
	}
	for i := range a.World.Nodes {
		b.World.Nodes[i].MemoryMB = a.World.Nodes[i].MemoryMB
	}
	b.World.Discovery.Each = a.World.Discovery.Each
	for i := range a.World.Peers {
		b.World.Peers[i].Conns = a.World.Peers[i].Conns
	}
	if !reflect.DeepEqual(a, b) {
		t.Error("changed ranges also changed values of other ranges")
	}
	sc.PeerKinds[0].ColdShare, sc.PeerKinds[1].ColdShare = Range{0.01, 0.02}, Range{0.01, 0.02}
	for _, p := range Draw(7, sc).World.Peers {
		if p.ColdShare < a.World.Contract.ColdShare {
			t.Errorf("peer %s has a ColdShare below that of the contract", p.Name)
		}
	}
}

// Verifies that a reduction also removes the entries that it makes invalid, instead of being discarded as invalid.
func TestSmallerRemovesReplacements(t *testing.T) {
	s := &Script{}
	for seed := uint64(0); len(s.Faults) == 0 || len(s.Faults[0].Replacements) < 2; seed++ {
		s = Draw(seed, scenario(t))
	}
	heir := s.Faults[0].Replacements[0]
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
		t.Errorf("reductions without faults: %v, without one replacement: %v; want both", calm, without)
	}
}

func TestSmaller(t *testing.T) {
	sc := scenario(t)
	for seed := range uint64(12) {
		s := Draw(seed, sc)
		whole := encoded(t, s)
		n := 0
		for c := range s.Smaller() {
			n++
			if err := c.Check(); err != nil || reflect.DeepEqual(c, s) {
				t.Fatalf("seed %d, reduction %d: unchanged, or invalid with error %v", seed, n, err)
			}
			if n%8 != 0 {
				c.World.Clients[0].Mix["shared"] = 1 // the map must not be shared with the original
				continue
			}
			if back, err := Parse("c.toml", encoded(t, c)); err != nil || !reflect.DeepEqual(back, c) {
				t.Fatalf("seed %d, reduction %d: script read back differs from the one written; error: %v", seed, n, err)
			}
		}
		if !bytes.Equal(whole, encoded(t, s)) {
			t.Fatalf("seed %d: Smaller changed the original script", seed)
		}
		// If every reduction that keeps a fault is accepted, all else must be removed within 1000 steps.
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
				t.Fatalf("seed %d: reduction does not terminate within 1000 steps", seed)
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
			t.Errorf("seed %d: script was not fully reduced:\n%s", seed, encoded(t, s))
		}
	}
}
