package member

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"olivebridge/internal/fleet/mutant"
)

const (
	// wordChannel is for streams on which a member is asked which of some others it does not reach, either.
	wordChannel = 250
	// asks is how often a silent member is asked in one round, askEach how long after the last: a process that stood still
	// for 1 s from just before the first on answers the last. Each waits for probePatience, as a probe does.
	asks    = 4
	askEach = 400 * time.Millisecond
	// atOnce bounds the members that are asked at one time: 300 take 2.8 s.
	atOnce = 256
	// wordWithin is how long another may take to give its word: a round of its own, for as many as there may be lost.
	wordWithin = 6 * time.Second
	// stillTrue is for how long what a round has found is told to others without another.
	stillTrue = time.Second
	// longestWord bounds the names that are asked for, as JSON.
	longestWord = MaxMembers * 70
)

// inquiry asks all members at once, where many were lost.
type inquiry struct {
	p     *place
	ready atomic.Bool // the place is
	busy  atomic.Bool
	last  time.Time // when others were tried; the loop's

	round sync.Mutex // one at a time
	mu    sync.Mutex
	found map[string]time.Time // silent members, by the end of the round that found them so
	lost  map[string]time.Time // those that were given up after a call, by its end
}

func newInquiry(p *place) *inquiry {
	return &inquiry{p: p, found: map[string]time.Time{}, lost: map[string]time.Time{}}
}

// look calls the roll where many were lost, and takes back what was given up by a call and has been heard since: the
// library may have had later news of it, and would not tell. The place's loop calls it.
func (q *inquiry) look(now time.Time) {
	q.back()
	if now.Sub(q.last) < tryEach || !q.p.s.View().SilentLately(q.p.s.now()) || !q.busy.CompareAndSwap(false, true) {
		return
	}
	q.last = now
	q.p.tasks.Go(func() {
		defer q.busy.Store(false)
		names := q.others()
		rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		some := names[:min(tried, len(names))]
		if MassLoss(len(q.silent(some, now, 1)), len(some)) {
			q.p.s.count.calls.Add(1)
			q.call()
		}
	})
}

func (q *inquiry) back() {
	q.mu.Lock()
	var heard []string
	for name, since := range q.lost {
		if q.p.t.heardAt(name).After(since) {
			heard = append(heard, name)
			delete(q.lost, name)
		}
	}
	q.mu.Unlock()
	if len(heard) == 0 {
		return
	}
	for _, n := range q.p.list.Members() { // whom the library has given up as well comes back by a message of its own
		if slices.Contains(heard, n.Name) {
			q.p.heard(n)
		}
	}
}

// call asks all, then some of those that answered, and gives up whom nobody reached.
func (q *inquiry) call() {
	began, before := time.Now(), q.p.s.View()
	var answered []string
	names := q.others()
	silent := q.silent(names, began, asks)
	for _, n := range names {
		if !slices.Contains(silent, n) {
			answered = append(answered, n)
		}
	}
	q.note(silent)
	var lost []string
	if len(silent) > 0 {
		lost = Lost(silent, q.words(silent, answered))
	}
	if mutant.Active("lost-unwitnessed") {
		lost = silent
	}
	q.p.s.c.Record.Write("roll", map[string]any{"asked": len(names), "silent": silent, "lost": lost})
	now := time.Now()
	for _, name := range lost {
		if q.p.t.heardAt(name).After(began) {
			continue
		}
		q.mu.Lock()
		q.lost[name] = now
		q.mu.Unlock()
		q.p.s.count.called.Add(1)
		m, _ := before.Of(name) // in another incarnation it is not the one that was called
		q.p.s.apply(Event{Kind: Suspected, Name: name, Incarnation: m.Incarnation})
		q.p.s.apply(Event{Kind: Died, Name: name, Incarnation: m.Incarnation})
		q.p.giveUp(name, m.Incarnation)
	}
}

// others are those that are here, but for this one.
func (q *inquiry) others() (names []string) {
	for _, m := range q.p.s.View().Here() {
		if m.Name != q.p.s.c.Name {
			names = append(names, m.Name)
		}
	}
	return names
}

// silent asks members, all at once and some times each, and returns those that were not heard since a time, whatever they
// said.
func (q *inquiry) silent(names []string, since time.Time, asks int) []string {
	q.round.Lock()
	defer q.round.Unlock()
	v := q.p.s.View()
	var mu sync.Mutex
	var silent []string
	var all sync.WaitGroup
	places := make(chan struct{}, atOnce)
	for _, name := range names {
		m, known := v.Of(name)
		at, err := netip.ParseAddrPort(m.Addr)
		if !known || !m.State.Here() || err != nil {
			silent = append(silent, name) // given up here already
			continue
		}
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			if q.reaches(name, net.UDPAddrFromAddrPort(at), since, asks) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			silent = append(silent, name)
		})
	}
	all.Wait()
	slices.Sort(silent)
	return silent
}

// note keeps who was found silent in a whole round.
func (q *inquiry) note(silent []string) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.found) > 2*MaxMembers {
		clear(q.found)
	}
	for _, name := range silent {
		q.found[name] = now
	}
}

func (q *inquiry) reaches(name string, at net.Addr, since time.Time, asks int) bool {
	for i := range asks {
		if q.p.t.heardAt(name).After(since) {
			return true
		}
		if _, err := q.p.list.Ping(name, at); err == nil {
			return true
		}
		if i == asks-1 {
			break
		}
		select {
		case <-q.p.stop:
			return true // nobody is given up by one that ends
		case <-time.After(askEach - probePatience):
		}
	}
	return q.p.t.heardAt(name).After(since)
}

// words asks some of those that answered which of the silent they do not reach, either. Who gives no word is passed over.
func (q *inquiry) words(silent, answered []string) (words [][]string) {
	v := q.p.s.View()
	var mu sync.Mutex
	var all sync.WaitGroup
	asked := 0
	for _, name := range around(answered, q.p.s.c.Name) {
		m, _ := v.Of(name)
		if asked == witnesses || !m.State.Here() {
			continue
		}
		asked++
		all.Go(func() {
			word, err := q.word(m.Addr, silent)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			words = append(words, word)
		})
	}
	all.Wait()
	return words
}

// around are sorted names from the first beyond one's own on, so that not all ask the same few.
func around(names []string, own string) []string {
	i, _ := slices.BinarySearch(names, own)
	return slices.Concat(names[i:], names[:i])
}

func (q *inquiry) word(addr string, silent []string) (word []string, err error) {
	c, err := q.p.t.dial(addr, wordChannel, streamPatience)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(wordWithin))
	if err := json.NewEncoder(c).Encode(silent); err != nil {
		return nil, err
	}
	err = json.NewDecoder(io.LimitReader(c, longestWord)).Decode(&word)
	return word, err
}

// give gives this member's own word of some others.
func (q *inquiry) give(c net.Conn) {
	if !q.ready.Load() {
		return
	}
	c.SetDeadline(time.Now().Add(wordWithin))
	var names []string
	if json.NewDecoder(io.LimitReader(c, longestWord)).Decode(&names) != nil || len(names) > MaxMembers {
		q.p.s.count.rejected.Add(1)
		return
	}
	now := time.Now()
	word := []string{}
	var open []string
	q.mu.Lock()
	for _, name := range names {
		at, was := q.found[name]
		switch {
		case name == q.p.s.c.Name, q.p.t.heardAt(name).After(now.Add(-stillTrue)):
		case was && now.Sub(at) < stillTrue:
			word = append(word, name)
		default:
			open = append(open, name)
		}
	}
	q.mu.Unlock()
	if len(open) > 0 {
		more := q.silent(open, now, asks)
		q.note(more)
		word = append(word, more...)
	}
	json.NewEncoder(c).Encode(word) // whoever asked is told by its end
}
