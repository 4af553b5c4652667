// Package signals is what nodes tell each other of peers: not what to do about them, but what each has seen itself, and when.
// Whoever hears of it from enough others doubts a peer that it has not met just now, and leaves it alone until the news is
// old or somebody has had an answer from it.
//
// signals.go decides, and is free of I/O, clock and goroutines: times are lengths since an origin of the caller's. service.go
// carries it out.
package signals

import (
	"cmp"
	"slices"
	"time"

	"olivebridge/internal/fleet/mutant"
)

const (
	// fresh is for how long a failure counts: a node whose decisions have taken a peer out asks it again within 2 s as a
	// rule, and tells of that.
	fresh = 6 * time.Second
	// forget is after how long a peer that was neither asked nor heard of is forgotten.
	forget = time.Minute
	// mostOut is the part of the group that may be doubted at one time on others' word. What more than that has failed for
	// many nodes at once each finds out for itself: it may be the nodes' own network.
	mostOut = 0.25
	// mostFailed is the part of the group beyond which a node's word counts for nothing: it is cut off, late itself, or wrong.
	mostFailed = 0.25
	// MostSaid bounds what a message says: the newest.
	MostSaid = 40
)

// Peer is one that takes new work, and when it last started.
type Peer struct {
	ID   uint64
	Born int64
}

// Mark is what a node has seen of a peer last.
type Mark uint8

// The marks.
const (
	Failed Mark = iota // some answers in a row did not come
	Missed             // one answer did not come
	Good               // it answered, after it had failed
)

// weight is what a mark counts towards the number of witnesses: three nodes that each missed one answer are as good as two
// that are sure. Where one answer in twenty gets lost, three nodes miss one of the same peer, with no answer between, in one
// of 170 windows of 1.5 s, after which one of them has had an answer.
func (m Mark) weight() float64 {
	switch m {
	case Failed:
		return 1
	case Missed:
		return 2.0 / 3
	}
	return 0
}

// Seen is a mark and its age.
type Seen struct {
	Peer
	Mark Mark
	Age  time.Duration // since then, when it was said
}

// Word is what one node says.
type Word struct {
	From        string
	Incarnation string // of its process
	Number      uint64 // rises with each
	Seen        []Seen
}

// sight is the same with the time.
type sight struct {
	born int64
	mark Mark
	at   time.Duration
}

// met is what this node has seen of a peer.
type met struct {
	sight
	answered time.Duration // the last time; 0: never
	failed   int           // tries and probes in a row
}

// out reports whether this node has failed with the peer, and had no answer since.
func (m *met) out() bool { return m.at > 0 && m.mark != Good }

// said is a node's last word.
type said struct {
	incarnation string
	number      uint64
	of          map[uint64]sight
}

// Result is how a try or a probe of this node's went.
type Result int

// The results. That a connection was not made in time looks like one that was refused, so that one failure tells little.
const (
	Answered Result = iota
	Lost
)

// enough is how many failures in a row are more than chance.
const enough = 2

// Book is what a node knows of peers, by itself and from others.
type Book struct {
	self   string
	need   int // witnesses
	own    map[uint64]*met
	others map[string]*said
	number uint64
	mutant func(string) bool
}

// NewBook makes the book of a node, which doubts a peer on the word of so many.
func NewBook(self string, witnesses int) *Book {
	return &Book{self: self, need: witnesses, own: map[uint64]*met{}, others: map[string]*said{}, mutant: mutant.Active}
}

// Saw takes in how a try or a probe of this node's went, and reports whether others should hear of it at once.
func (b *Book) Saw(now time.Duration, p Peer, r Result) bool {
	m := b.own[p.ID]
	if m == nil || m.born != p.Born {
		m = &met{sight: sight{born: p.Born}}
		b.own[p.ID] = m
	}
	if r == Answered {
		m.answered, m.failed = now, 0
		if !m.out() {
			return false // that it answers as ever is no news
		}
		m.mark, m.at = Good, now
		return true
	}
	before, was := m.mark, m.out()
	m.failed++
	m.mark, m.at = Missed, now
	if m.failed >= enough {
		m.mark = Failed
	}
	return !was || m.mark != before
}

// Say is this node's next word; nothing of it is old.
func (b *Book) Say(now time.Duration, incarnation string) Word {
	b.number++
	w := Word{From: b.self, Incarnation: incarnation, Number: b.number}
	for id, m := range b.own {
		switch {
		case m.at > 0 && now-m.at <= fresh:
			w.Seen = append(w.Seen, Seen{Peer{id, m.born}, m.mark, now - m.at})
		case now-max(m.at, m.answered) > forget:
			delete(b.own, id)
		}
	}
	slices.SortFunc(w.Seen, func(x, y Seen) int { return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.ID, y.ID)) })
	w.Seen = w.Seen[:min(len(w.Seen), MostSaid)]
	return w
}

// mostNodes bounds the nodes whose words are kept; a fleet has fewer.
const mostNodes = 1024

// Hear takes in another's word, and reports whether it is new: an earlier one, or the same again, changes nothing.
func (b *Book) Hear(now time.Duration, w Word) bool {
	last := b.others[w.From]
	switch {
	case w.From == b.self || len(w.Seen) > MostSaid:
		return false
	case last != nil && last.incarnation == w.Incarnation && last.number >= w.Number:
		return false
	case last == nil && len(b.others) >= mostNodes:
		return false
	}
	one := &said{w.Incarnation, w.Number, map[uint64]sight{}}
	for _, s := range w.Seen {
		one.of[s.ID] = sight{s.Born, s.Mark, now - max(s.Age, 0)}
	}
	b.others[w.From] = one
	return true
}

// Forget drops the words of those that are not here any more.
func (b *Book) Forget(here func(name string) bool) {
	for name := range b.others {
		if !here(name) {
			delete(b.others, name)
		}
	}
}

// Doubted are the peers of a group that this node should leave alone, sorted: enough nodes have failed with them since anybody
// had an answer from them, as far as this one knows, and it has not failed with them itself; else its own decisions
// ask them on, and others hear of that.
func (b *Book) Doubted(now time.Duration, group []Peer) []uint64 {
	type doubt struct {
		id     uint64
		failed float64
	}
	var all []doubt
	words, born := b.words(now, group)
	for id, n := range b.failed(words) {
		if m := b.own[id]; m != nil && m.born == born[id] && m.out() && now-m.at <= fresh {
			continue
		}
		if n >= float64(b.need)-1e-9 || b.mutant("one-witness") {
			all = append(all, doubt{id, n})
		}
	}
	slices.SortFunc(all, func(x, y doubt) int { return cmp.Or(cmp.Compare(y.failed, x.failed), cmp.Compare(x.id, y.id)) })
	if most := int(mostOut * float64(len(group))); len(all) > most {
		all = all[:most]
	}
	var ids []uint64
	for _, d := range all {
		ids = append(ids, d.id)
	}
	slices.Sort(ids)
	return ids
}

// words are what nodes say of a group and is not old, but for nodes that say that most of it has failed; and when its peers
// started.
func (b *Book) words(now time.Duration, group []Peer) (all []map[uint64]sight, born map[uint64]int64) {
	born = make(map[uint64]int64, len(group))
	for _, p := range group {
		born[p.ID] = p.Born
	}
	for _, one := range b.others {
		counts, failed := map[uint64]sight{}, 0
		for id, s := range one.of {
			if at, listed := born[id]; !listed || at != s.born || now-s.at > fresh {
				continue
			}
			counts[id] = s
			if s.mark != Good {
				failed++
			}
		}
		if float64(failed) <= max(mostFailed*float64(len(group)), 1) {
			all = append(all, counts)
		}
	}
	return all, born
}

// failed is how much others have failed with each peer since anybody had an answer from it.
func (b *Book) failed(words []map[uint64]sight) map[uint64]float64 {
	good, n := map[uint64]time.Duration{}, map[uint64]float64{}
	for _, w := range words {
		for id, s := range w {
			if s.mark == Good {
				good[id] = max(good[id], s.at)
			}
		}
	}
	for _, w := range words {
		for id, s := range w {
			since := good[id]
			if m := b.own[id]; m != nil && m.born == s.born {
				since = max(since, m.answered)
			}
			if s.mark != Good && s.at > since {
				n[id] += s.mark.weight()
			}
		}
	}
	return n
}
