package signals

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

func group(n int) (all []Peer) {
	for i := range n {
		all = append(all, Peer{uint64(i + 1), 7})
	}
	return all
}

func word(from string, number uint64, seen ...Seen) Word {
	return Word{From: from, Incarnation: "a", Number: number, Seen: seen}
}

func of(id uint64, m Mark) Seen { return Seen{Peer: Peer{id, 7}, Mark: m} }

// What others say is believed as far as it is stated, and no farther.
func TestDoubted(t *testing.T) {
	for _, c := range []struct {
		what string
		tell func(b *Book)
		want []uint64
	}{
		{"nobody says anything", func(*Book) {}, nil},
		{"one is sure", func(b *Book) { b.Hear(second, word("x", 1, of(1, Failed))) }, nil},
		{"one says it often", func(b *Book) {
			for n := range uint64(5) {
				b.Hear(second, word("x", n+1, of(1, Failed)))
			}
		}, nil},
		{"two are sure", func(b *Book) {
			b.Hear(second, word("x", 1, of(1, Failed)))
			b.Hear(second, word("y", 1, of(1, Failed)))
		}, []uint64{1}},
		{"two missed an answer", func(b *Book) {
			b.Hear(second, word("x", 1, of(1, Missed)))
			b.Hear(second, word("y", 1, of(1, Missed)))
		}, nil},
		{"three missed one", func(b *Book) {
			for _, n := range []string{"x", "y", "z"} {
				b.Hear(second, word(n, 1, of(1, Missed)))
			}
		}, []uint64{1}},
		{"one has had an answer since", func(b *Book) {
			b.Hear(second, word("x", 1, of(1, Failed)))
			b.Hear(second, word("y", 1, of(1, Failed)))
			b.Hear(2*second, word("x", 2, of(1, Good)))
		}, nil},
		{"this node has had an answer since", func(b *Book) {
			b.Hear(second, word("x", 1, of(1, Failed)))
			b.Hear(second, word("y", 1, of(1, Failed)))
			b.Saw(2*second, Peer{1, 7}, Answered)
		}, nil},
		{"this node has failed itself", func(b *Book) {
			b.Hear(second, word("x", 1, of(1, Failed)))
			b.Hear(second, word("y", 1, of(1, Failed)))
			b.Saw(2*second, Peer{1, 7}, Lost)
		}, nil},
		{"it is old", func(b *Book) {
			b.Hear(second, word("x", 1, Seen{Peer{1, 7}, Failed, fresh}))
			b.Hear(second, word("y", 1, of(1, Failed)))
		}, nil},
		{"it is of the peer's last incarnation", func(b *Book) {
			b.Hear(second, word("x", 1, Seen{Peer{1, 6}, Failed, 0}))
			b.Hear(second, word("y", 1, Seen{Peer{1, 6}, Failed, 0}))
		}, nil},
		{"one of them says so of most", func(b *Book) {
			b.Hear(second, word("x", 1, of(1, Failed), of(2, Failed), of(3, Failed)))
			b.Hear(second, word("y", 1, of(1, Failed)))
		}, nil},
		{"many peers", func(b *Book) {
			for _, n := range []string{"x", "y"} {
				b.Hear(second, word(n, 1, of(1, Failed), of(2, Failed)))
			}
			for _, n := range []string{"u", "v", "w"} {
				b.Hear(second, word(n, 1, of(3, Failed), of(4, Failed)))
			}
		}, []uint64{3, 4}}, // a quarter of eight: first those of which most say so
		{"an earlier word comes late", func(b *Book) {
			b.Hear(second, word("x", 2))
			b.Hear(second, word("x", 1, of(1, Failed)))
			b.Hear(second, word("y", 1, of(1, Failed)))
		}, nil},
		{"one of them is gone", func(b *Book) {
			b.Hear(second, word("x", 1, of(1, Failed)))
			b.Hear(second, word("y", 1, of(1, Failed)))
			b.Forget(func(n string) bool { return n != "x" })
		}, nil},
	} {
		b := NewBook("me", 2)
		c.tell(b)
		if got := b.Doubted(3*second, group(8)); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.what, got, c.want)
		}
	}
}

// A node tells of the first failure, of a surer one, and of the first answer after that; and of nothing that is old.
func TestSaw(t *testing.T) {
	b := NewBook("me", 2)
	p := Peer{3, 7}
	for i, c := range []struct {
		r    Result
		news bool
		mark Mark
		says int
	}{{Answered, false, 0, 0}, {Lost, true, Missed, 1}, {Lost, true, Failed, 1}, {Lost, false, Failed, 1}, {Answered, true, Good, 1},
		{Answered, false, Good, 1}, {Lost, true, Missed, 1}} {
		now := time.Duration(i+1) * time.Millisecond
		if news := b.Saw(now, p, c.r); news != c.news {
			t.Errorf("%d: news %v", i, news)
		}
		w := b.Say(now, "a")
		if len(w.Seen) != c.says || c.says > 0 && w.Seen[0].Mark != c.mark {
			t.Errorf("%d: it says %+v", i, w.Seen)
		}
	}
	if w := b.Say(fresh+second, "a"); len(w.Seen) != 0 {
		t.Errorf("old news: %+v", w.Seen)
	}
	b.Saw(fresh+second, Peer{3, 8}, Answered)
	if w := b.Say(fresh+second, "a"); len(w.Seen) != 0 {
		t.Errorf("of its last incarnation: %+v", w.Seen)
	}
}

// Whatever comes, in whatever order: at most a quarter is doubted, nobody is on the word of fewer nodes than stated, and a word goes
// over the wire as it is.
func TestBookHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBook("me", rapid.IntRange(2, 4).Draw(t, "witnesses"))
		all := group(rapid.IntRange(1, 12).Draw(t, "peers"))
		now, last := second, map[string]Word{}
		for i := range rapid.IntRange(1, 40).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			p := rapid.SampledFrom(all).Draw(t, "peer")
			if rapid.Bool().Draw(t, "own") {
				b.Saw(now, p, rapid.SampledFrom([]Result{Answered, Lost}).Draw(t, "result"))
			} else {
				w := Word{From: fmt.Sprint("n", rapid.IntRange(1, 5).Draw(t, "from")), Incarnation: "a", Number: uint64(i + 1)}
				for _, q := range rapid.SliceOfNDistinct(rapid.SampledFrom(all), 0, 4, func(p Peer) uint64 { return p.ID }).Draw(t, "of") {
					w.Seen = append(w.Seen, Seen{q, rapid.SampledFrom([]Mark{Failed, Missed, Good}).Draw(t, "mark"),
						time.Duration(rapid.IntRange(0, 9000).Draw(t, "age")) * time.Millisecond})
				}
				text, err := encode(w)
				if err != nil || len(text) > 1200 {
					t.Fatal(len(text), err)
				}
				again, err := decode(text)
				if err != nil || fmt.Sprint(again) != fmt.Sprint(w) {
					t.Fatalf("%v became %v, %v", w, again, err)
				}
				b.Hear(now, again)
				last[w.From] = again
			}
			doubted := b.Doubted(now, all)
			if len(doubted)*4 > len(all) {
				t.Fatalf("%d of %d", len(doubted), len(all))
			}
			for _, id := range doubted {
				n := 0
				for _, w := range last {
					if slices.ContainsFunc(w.Seen, func(s Seen) bool { return s.ID == id && s.Mark != Good }) {
						n++
					}
				}
				if n < b.need {
					t.Fatalf("%d is doubted on the word of %d", id, n)
				}
			}
		}
	})
}

// A full word fits into a packet, and garbage is told.
func TestWire(t *testing.T) {
	w := Word{From: "a-name-of-some-length", Incarnation: "0123456789abcdef/1234", Number: 1 << 40}
	for i := range MostSaid {
		w.Seen = append(w.Seen, Seen{Peer{1<<63 + uint64(i), 1764000000000000000 + int64(i)}, Failed, fresh})
	}
	text, err := encode(w)
	if err != nil || len(text) > 1200 {
		t.Fatalf("%d bytes, %v", len(text), err)
	}
	for i := range text {
		if w, err := decode(text[:i]); err == nil {
			t.Errorf("the first %d bytes are a word: %v", i, w)
		}
	}
	if _, err := decode([]byte("garbage")); err == nil {
		t.Error("garbage is a word")
	}
}
