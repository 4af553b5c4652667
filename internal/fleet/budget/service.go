package budget

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"olivebridge/internal/fleet/mutant"
	"olivebridge/internal/fleet/raftlog"
	"olivebridge/internal/fleet/record"
)

// The channels of the members' streams that budgets use.
const (
	VotersChannel = 1 // between voters
	BookChannel   = 2 // from holders to the leader
)

// asksPerLease is how often a holder asks in a lease: two asks may be lost before a part runs out, and demand that moves
// is followed within a quarter of it.
const asksPerLease = 8

// Config is what a process is told of its fleet's budgets.
type Config struct {
	Name      string
	Wholes    []Whole
	Terms     Terms
	Voters    raftlog.VoterSet // of the book
	Directory string
	Dial      func(name string, channel byte, timeout time.Duration) (net.Conn, error)
	Log       *slog.Logger
	Record    *record.Recorder
}

// Service is a process's part in the fleet's budgets: what it holds, and, in a voter's process, the book.
type Service struct {
	c     Config
	part  *raftlog.Participant // in keeping the book
	start time.Time
	count counts

	mu     sync.Mutex
	holder *Holder // nil: this process has not the node's place in the fleet, and holds nothing
	leader *Leader // of this term; nil: another keeps the book, or nobody
	book   *book   // nil: this is no voter, or not yet
	home   string
	seat   int
	// orphans are units that an earlier holder of this process has let into use, by budget: they are released here, too.
	orphans []int

	stop  chan struct{}
	tasks sync.WaitGroup
}

type counts struct {
	passed, turned, asks, answered, refused, lost, granted atomic.Int64
}

// New makes a service, which holds nothing until Up.
func New(c Config) *Service {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	s := &Service{c: c, start: time.Now(), orphans: make([]int, len(c.Wholes))}
	s.part = raftlog.NewParticipant(raftlog.ParticipantConfig{Name: c.Name, Voters: c.Voters, Directory: filepath.Join(c.Directory, "book"),
		LogMessage: "fleet budget", Log: c.Log, OnOpen: s.opened, OnClose: func() { s.opened(nil, nil) }, NewState: func() raft.FSM { return newLedger() },
		Dial: func(name string, timeout time.Duration) (net.Conn, error) {
			return c.Dial(name, VotersChannel, timeout)
		}})
	return s
}

// opened takes the log in that this process keeps, or that it keeps none.
func (s *Service) opened(log *raftlog.Log, state raft.FSM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.book, s.leader = nil, nil; log != nil {
		s.book = &book{log, state.(*ledger)}
	}
}

// Keep lets others keep the book from now on.
func (s *Service) Keep(r raftlog.VoterSet) { s.part.SetVoters(r) }

// ServeVoters takes a stream from another voter.
func (s *Service) ServeVoters(c net.Conn, from string) { s.part.ServeStream(c, from) }

func (s *Service) now() time.Duration { return time.Since(s.start) }

// Up begins to hold, for a process that has got the node's place, in an incarnation of its home's.
func (s *Service) Up(home string, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.home = home
	s.holder = NewHolder(s.c.Terms, s.c.Wholes, s.c.Name, fmt.Sprintf("%s/%d", home, incarnation), s.now())
	kept := s.readSeat(home)
	s.seat = kept.Seat
	s.holder.Seat(kept.Kept)
	s.stop = make(chan struct{})
	stop := s.stop
	s.part.Start()
	s.tasks.Go(func() { s.ask(stop) })
}

// Down ends that: nothing is held any more.
func (s *Service) Down() {
	s.mu.Lock()
	if s.holder == nil || s.stop == nil {
		s.mu.Unlock()
		return
	}
	for i, p := range s.holder.parts {
		s.orphans[i] += p.inUse
	}
	if !mutant.Active("held-twice") {
		s.holder = nil // from here on nothing is let through
	}
	s.record()
	close(s.stop)
	s.stop = nil
	s.mu.Unlock()
	s.tasks.Wait() // what is held is given back first: this process may keep the book
	s.part.Stop()
}

// Change lets other wholes hold from now on: the same budgets, with other amounts.
func (s *Service) Change(wholes []Whole) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.c.Wholes, wholes) {
		return
	}
	s.c.Wholes = wholes
	if s.leader != nil {
		s.leader.Change(s.now(), wholes)
	}
	if s.holder != nil {
		s.holder.Change(s.now(), wholes)
	}
	s.record()
	s.c.Log.Info("fleet budget", "reason", "changed")
}

// Admit asks for one unit of a budget, by its place in the list.
func (s *Service) Admit(budget int) (ok bool, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder == nil {
		s.count.turned.Add(1)
		return false, s.c.Terms.Lease / asksPerLease
	}
	if ok, wait = s.holder.Admit(s.now(), mutant.WallClock(), budget); ok {
		s.count.passed.Add(1)
		return true, 0
	}
	s.count.turned.Add(1)
	if next := s.c.Terms.Lease / asksPerLease; wait == 0 || wait > next && s.c.Wholes[budget].Kind != Count {
		wait = next // by then it may hold another part
	}
	return false, wait
}

// AdmitEach asks for some units for one thing, of a budget that is for each of many.
func (s *Service) AdmitEach(budget int, key uint64, units float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder != nil && s.holder.AdmitEach(s.now(), budget, key, units) {
		s.count.passed.Add(1)
		return true
	}
	s.count.turned.Add(1)
	return false
}

// Release gives a unit back that was admitted, of a budget of the kind InUse.
func (s *Service) Release(budget int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.orphans[budget] > 0:
		s.orphans[budget]--
	case s.holder != nil:
		s.holder.Release(budget)
	}
}

// ServeBook answers a holder until its stream ends.
func (s *Service) ServeBook(c net.Conn, from string) {
	in, out := json.NewDecoder(c), json.NewEncoder(c)
	for {
		var a asked
		if err := in.Decode(&a); err != nil {
			return
		}
		if a.Holder != from { // who asks is told by the stream
			return
		}
		if err := out.Encode(s.answer(a)); err != nil {
			return
		}
	}
}

// asked is an Ask with what the book needs besides.
type asked struct {
	Ask
	Home  string `json:"home"`
	Seat  int    `json:"seat,omitempty"` // that the home has by its own disk
	Terms string `json:"terms"`          // what its file says of budgets
}

// answered is an Answer with the seat.
type answered struct {
	Answer
	Seat int `json:"seat,omitempty"`
}

// answer answers a holder, if this process keeps the book.
func (s *Service) answer(a asked) answered {
	no := func(why string) answered {
		return answered{Answer: Answer{Number: a.Number, Refuse: why, Leader: s.leaderName()}}
	}
	s.mu.Lock()
	b := s.book
	s.mu.Unlock()
	switch {
	case b == nil || !b.IsLeader() && !mutant.Active("no-majority"):
		return no("another keeps the book, or nobody")
	case a.Terms != s.describe():
		return no("the budgets of this node's fleet file are not the leader's")
	}
	term := b.Term()
	s.mu.Lock()
	if s.leader == nil || s.leader.Term() != term {
		s.leader = NewLeader(s.c.Terms, s.c.Wholes, term, s.now())
		s.c.Log.Info("fleet budget", "reason", "keeps-the-book", "term", term)
		s.c.Record.Write("keeps", term)
	}
	reserves := s.c.Terms.reserves(s.c.Wholes)
	s.leader.HoldBack(b.ledger.beyond(reserves))
	out := answered{Answer: s.leader.Ask(s.now(), a.Ask)}
	s.mu.Unlock()
	// What was decided holds only if this process was in office after it: no later leader has begun by then.
	if err := b.VerifyLeader(); (err != nil || b.Term() != term) && !mutant.Active("no-majority") {
		return no("the leader was not in office any more")
	}
	s.count.granted.Add(int64(len(out.Grants)))
	if out.Refuse == "" {
		out.Counts = s.spend(b, a.Ask)
		s.tellLent(a.Ask, out.Answer)
	}
	if !a.Over && len(reserves) > 0 {
		if n, err := b.seat(seatCommand{a.Home, a.Seat, s.c.Terms.Seats, reserves}); err == nil {
			out.Seat = n
		}
	}
	return out
}

// Lent is a grant in the record of the leader.
type Lent struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"life"`
	Grant       uint64 `json:"grant"`
	Until       int64  `json:"until"` // when it counts it as ended, as record.Line has it
}

// tellLent records what was lent.
func (s *Service) tellLent(a Ask, out Answer) {
	if s.c.Record == nil {
		return
	}
	for _, w := range s.wholes() {
		if g, ok := out.Grants[w.Name]; ok {
			s.c.Record.Write("lends", Lent{a.Holder, a.Incarnation, g.Number, int64(record.Now() + s.c.Terms.counted() + w.Hold)})
		}
	}
}

// spend gives stocks of counts, of the period that most voters are in.
func (s *Service) spend(b *book, a Ask) map[string]CountGrant {
	out := map[string]CountGrant{}
	for _, w := range s.wholes() {
		ask, asks := a.Counts[w.Name]
		if w.Kind != Count || !asks || !s.inPeriod(w, ask.Period) {
			continue
		}
		g, err := b.count(countCommand{w.Name, int64(w.Amount), a.Holder + " " + a.Incarnation, a.Number, ask})
		if err == nil {
			out[w.Name] = g
		}
	}
	return out
}

// inPeriod reports whether a count's period is that of most voters.
func (s *Service) inPeriod(w Whole, period int64) bool {
	if mutant.Active("own-clock") {
		return period == periodOf(mutant.WallClock(), w.Period)
	}
	voters := s.part.Voters().Names
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == nil {
		return false
	}
	now, most := s.leader.Period(s.now(), w.Name, voters)
	return most && now == period
}

// describe is what must be the same at leader and holder.
func (s *Service) describe() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.described()
}

// described is the same with the lock held.
func (s *Service) described() string { return fmt.Sprintf("%v %+v", s.c.Wholes, s.c.Terms) }

func (s *Service) wholes() []Whole {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.c.Wholes
}

// leaderName is who keeps the book, as far as this voter knows.
func (s *Service) leaderName() string {
	s.mu.Lock()
	b := s.book
	s.mu.Unlock()
	if b == nil {
		return ""
	}
	return b.Leader()
}

// seatFile holds the home's seat of the reserve.
const seatFile = "seat.json"

type seatJSON struct {
	Home string             `json:"home"`
	Seat int                `json:"seat"`
	Kept map[string]float64 `json:"kept"`
}

func (s *Service) readSeat(home string) seatJSON {
	data, err := os.ReadFile(filepath.Join(s.c.Directory, seatFile))
	var f seatJSON
	if err != nil || json.Unmarshal(data, &f) != nil || f.Home != home || f.Seat < 1 || f.Seat > s.c.Terms.Seats {
		return seatJSON{} // it is asked for again
	}
	return f
}

// sit takes a seat, which the book never gives to another home. It was asked for under these terms.
func (s *Service) sit(seat int, terms string) {
	if seat < 1 || seat > s.c.Terms.Seats {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder == nil || terms != s.described() {
		return
	}
	if s.seat == seat && s.holder.seated() {
		return
	}
	s.seat = seat
	kept := s.holder.Seat(s.holder.Reserves())
	data, err := json.Marshal(seatJSON{s.home, seat, kept})
	if err == nil {
		err = os.WriteFile(filepath.Join(s.c.Directory, seatFile), data, 0o600)
	}
	if err != nil { // it is asked for again after the next start
		s.c.Log.Warn("fleet budget", "reason", "seat-not-kept", "why", err.Error())
	}
}

// record tells what this process may use now. It is called with the lock held.
func (s *Service) record() {
	if s.c.Record == nil {
		return
	}
	var all []Holding
	if s.holder != nil {
		mono := record.Now() // before the other: a pause between the two must not make an end seem later
		all = s.holder.Holdings(s.now())
		for i := range all {
			all[i].Ends = int64(mono + all[i].Left)
		}
	}
	s.c.Record.Write("holds", all)
}

// Status is for operators.
func (s *Service) Status() string {
	leader := s.leaderName()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder == nil {
		return "budgets: nothing is held without a place in the fleet"
	}
	var parts []string
	for i, h := range s.holder.Holdings(s.now()) {
		w := s.c.Wholes[i]
		parts = append(parts, fmt.Sprintf("%s %.1f lent and %.1f reserved of %.1f a second, asked for %.1f", h.Budget, h.Amount,
			h.Reserve, w.Amount, h.Want))
	}
	text := "budgets: " + strings.Join(parts, ", ")
	if leader != "" {
		text += "; book kept by " + leader
	}
	if s.leader != nil {
		for _, w := range s.c.Wholes {
			for _, h := range s.leader.Shares(s.now(), w.Name) {
				text += fmt.Sprintf("; %s: %s has %.1f, is to have %.1f, asks for %.1f", w.Name, h.Holder, h.Held, h.Target, h.Want)
			}
		}
	}
	return text
}

// Counters are for the log.
func (s *Service) Counters() string {
	c := &s.count
	return fmt.Sprintf("passed=%d turned=%d asks=%d answered=%d refused=%d lost=%d granted=%d", c.passed.Load(),
		c.turned.Load(), c.asks.Load(), c.answered.Load(), c.refused.Load(), c.lost.Load(), c.granted.Load())
}

var errNobody = errors.New("nobody keeps the book")
