package work

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"olivebridge/internal/fleet/agreed"
	"olivebridge/internal/fleet/member"
	"olivebridge/internal/fleet/mutant"
	"olivebridge/internal/fleet/record"
)

// The channels of the members' streams that work uses.
const (
	VotersChannel = 3 // between voters
	WorkChannel   = 4 // from whoever has work to the leader
)

const (
	// askWithin is how long one question to a voter may take; beginWithin and endWithin how long work may wait to be begun,
	// and an outcome to be kept, over all questions. Nothing has run by the end of the first: the client is told to come back.
	askWithin   = 250 * time.Millisecond
	beginWithin = 400 * time.Millisecond
	endWithin   = 600 * time.Millisecond
	// dialPause is how long a voter is left alone that was dialled, askPause how long a question waits for its next try.
	dialPause = 200 * time.Millisecond
	askPause  = 25 * time.Millisecond
	// quietFor is how long nobody asks after nobody knew who keeps the work: an election takes ten times as long.
	quietFor = 60 * time.Millisecond
	// laterMost is the longest pause between two tries to tell the ledger what it has not heard.
	laterMost = time.Second
	// sweepEvery is how often the leader looks for owners that are gone, beside each new view.
	sweepEvery = time.Second
	// knownAfter is for how long a leader must have been in the fleet before it takes an owner for gone of whom it has never
	// heard: by then the members have told each other of everybody.
	knownAfter = 15 * time.Second
)

// ErrNoLeader says that work cannot be kept just now. It has not been begun.
var ErrNoLeader = errors.New("nobody keeps the work")

// Config is what a process is told of its fleet's work.
type Config struct {
	Name      string
	Voters    agreed.Roster
	Directory string
	Limits    Limits
	Tries     int // owners that may let one piece out
	Dial      func(name string, channel byte, timeout time.Duration) (net.Conn, error)
	Next      func(ctx context.Context, after uint64) (*member.View, error)
	Log       *slog.Logger
	Record    *record.Book
}

// Service is a process's part in keeping work.
type Service struct {
	c     Config
	part  *agreed.Part // in keeping the log
	calls atomic.Uint64
	// pending are those that the ledger is still to be told of.
	pending atomic.Int64
	count   counts

	mu          sync.Mutex
	incarnation string // "": this process has not the node's place
	predecessor string // the incarnation in which it had it last, of whose work it may still say for a while what became of it
	down        time.Time
	up          time.Time
	log         *agreed.Log // nil: this is no voter, or not yet
	ledger      *ledger
	term        uint64
	base        int64 // the ledger's clock at the beginning of the term
	began       time.Time
	view        *member.View
	to          map[string]*stream // by voter
	last        string             // that answered last
	quiet       time.Time          // until then nobody is asked: nobody knew who keeps the work
	turn        int
	stop        context.CancelFunc
	tasks       sync.WaitGroup

	dialing sync.Mutex
	failed  map[string]time.Time // when a voter was dialled last; of whoever holds dialing
}

type counts struct{ begun, kept, unknown, elsewhere, refused, lost atomic.Int64 }

// New makes a service, which keeps nothing until Up.
func New(c Config) *Service {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	s := &Service{c: c, to: map[string]*stream{}, failed: map[string]time.Time{}}
	s.part = agreed.NewPart(agreed.PartConfig{Name: c.Name, Roster: c.Voters, Directory: filepath.Join(c.Directory, "work"),
		What: "fleet work", Log: c.Log, Opened: s.opened, Closed: func() { s.opened(nil, nil) }, New: func() raft.FSM { return newLedger() },
		Dial: func(name string, timeout time.Duration) (net.Conn, error) {
			return c.Dial(name, VotersChannel, timeout)
		}})
	return s
}

// Up begins, for a process that has got the node's place.
func (s *Service) Up(home string, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	s.incarnation, s.up, s.stop, s.view = fmt.Sprintf("%s/%d", home, incarnation), time.Now(), stop, nil
	s.tasks.Go(func() { s.follow(ctx) })
	s.tasks.Go(func() { s.sweep(ctx) })
	s.part.Up()
}

// opened takes the log in that this process keeps, or that it keeps none.
func (s *Service) opened(log *agreed.Log, state raft.FSM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = log
	s.ledger, _ = state.(*ledger)
}

// Keep lets others keep the log from now on.
func (s *Service) Keep(r agreed.Roster) { s.part.Keep(r) }

// ServeVoters takes a stream from another voter.
func (s *Service) ServeVoters(c net.Conn, from string) { s.part.Serve(c, from) }

// Down ends that.
func (s *Service) Down() {
	s.mu.Lock()
	if s.stop == nil {
		s.mu.Unlock()
		return
	}
	s.stop()
	s.incarnation, s.predecessor, s.down, s.stop = "", s.incarnation, time.Now(), nil
	all := s.to
	s.to, s.last = map[string]*stream{}, ""
	s.mu.Unlock()
	for _, one := range all {
		one.close(ErrNoLeader)
	}
	s.part.Down()
	s.tasks.Wait()
}

// follow takes the views in.
func (s *Service) follow(ctx context.Context) {
	for after := uint64(0); ; {
		v, err := s.c.Next(ctx, after)
		if err != nil {
			return
		}
		after = v.Number
		s.mu.Lock()
		s.view = v
		s.mu.Unlock()
		s.release(ctx)
	}
}

// sweep looks for owners that are gone.
func (s *Service) sweep(ctx context.Context) {
	each := time.NewTicker(sweepEvery)
	defer each.Stop()
	for {
		select {
		case <-each.C:
			s.release(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// release lets the ledger know of owners that are gone, at whoever keeps it.
func (s *Service) release(ctx context.Context) {
	s.mu.Lock()
	log, state, v, up := s.log, s.ledger, s.view, s.up
	s.mu.Unlock()
	if log == nil || v == nil || !log.Leads() || ctx.Err() != nil {
		return
	}
	var all []process
	for _, one := range state.owners() {
		if gone(v, one, time.Since(up)) {
			all = append(all, one)
		}
	}
	if len(all) == 0 {
		return
	}
	slices.SortFunc(all, func(a, b process) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	got, err := s.agree(command{Lost: &Lost{all}})
	if n, ok := got.(int); err == nil && ok {
		s.count.lost.Add(int64(n))
		s.c.Log.Info("fleet work", "reason", "taken-over", "from", fmt.Sprint(all), "pieces", n)
		s.c.Record.Write("released", all)
	}
}

// gone reports whether a process is given up. A node that has begun a later incarnation has ended the one before it: its directory
// belongs to one process at a time. Of an incarnation that the view has not heard of yet nobody can say.
func gone(v *member.View, p process, known time.Duration) bool {
	m, ok := v.Lookup(p.Name)
	if !ok {
		return known > knownAfter
	}
	switch incarnation := m.Incarnation.String(); {
	case incarnation == p.Incarnation:
		return !m.State.Present()
	case strings.HasPrefix(p.Incarnation, m.Incarnation.Home+"/"):
		number, err := strconv.ParseUint(p.Incarnation[len(m.Incarnation.Home)+1:], 10, 64)
		if err == nil && m.Predecessor && m.State.Present() && number+1 == m.Incarnation.Number {
			return false // in an upgrade, the predecessor ends what it has in hand
		}
		return err != nil || number < m.Incarnation.Number
	}
	return true // of another home, whose place this one has
}

// agree adds to the log, with the ledger's time: it goes on from what it was by the clock of whoever leads, which only tells
// how long that has led.
func (s *Service) agree(c command) (any, error) {
	s.mu.Lock()
	log, state := s.log, s.ledger
	if log == nil || !log.Leads() {
		s.mu.Unlock()
		return nil, ErrNoLeader
	}
	if term := log.Term(); term != s.term {
		s.term, s.base, s.began = term, state.clock(), time.Now()
		s.c.Record.Write("keeps-work", term)
	}
	c.Now, c.Limits = s.base+time.Since(s.began).Milliseconds(), s.c.Limits
	s.mu.Unlock()
	return log.Agree(c)
}

// question and reply go over the stream to the voter.
type question struct {
	Number uint64 `json:"number"`
	Begin  *Begin `json:"begin,omitempty"`
	End    *End   `json:"end,omitempty"`
}

type reply struct {
	Number  uint64  `json:"number"`
	Refuse  string  `json:"refuse,omitempty"`
	Leader  string  `json:"keeper,omitempty"` // who keeps the work, as far as is known
	Verdict Verdict `json:"verdict,omitzero"`
	Taken   bool    `json:"taken,omitempty"`
}

// answer answers a question, if this process keeps the work.
func (s *Service) answer(q question) reply {
	r := reply{Number: q.Number}
	got, err := s.agree(command{Begin: q.Begin, End: q.End})
	switch v := got.(type) {
	case Verdict:
		r.Verdict = v
	case bool:
		r.Taken = v
	}
	if err != nil {
		r.Refuse = err.Error()
		s.mu.Lock()
		if s.log != nil {
			r.Leader = s.log.Leader()
		}
		s.mu.Unlock()
	}
	return r
}

// predecessorFor is for how long a process tells the ledger what became of work that it had when it gave the place away: as
// long as members let it, and no longer.
const predecessorFor = 10 * time.Second

// mostOpen bounds the questions of one stream that are being answered.
const mostOpen = 512

// ServeWork answers questions until their stream ends.
func (s *Service) ServeWork(c net.Conn, from string) {
	in, out := json.NewDecoder(c), json.NewEncoder(c)
	var mu sync.Mutex
	var open sync.WaitGroup
	defer open.Wait()
	places := make(chan struct{}, mostOpen)
	for {
		var q question
		if err := in.Decode(&q); err != nil {
			return
		}
		if q.Begin != nil && q.Begin.Owner.Name != from || q.End != nil && q.End.Owner.Name != from {
			return // who asks is told by the stream
		}
		places <- struct{}{}
		open.Go(func() {
			defer func() { <-places }()
			r := s.answer(q)
			mu.Lock()
			defer mu.Unlock()
			c.SetWriteDeadline(time.Now().Add(askWithin))
			if out.Encode(r) != nil {
				c.Close() // nothing further would go out
			}
		})
	}
}

// Owner is a new owner for one call of this process; false: it has no place in the fleet.
func (s *Service) Owner() (Owner, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Owner{s.c.Name, s.incarnation, s.calls.Add(1)}, s.incarnation != ""
}

// Begin asks for the permission to let a piece of work out.
func (s *Service) Begin(ctx context.Context, b Begin) (Verdict, error) {
	if b.Most == 0 {
		b.Most = s.c.Tries
	}
	if mutant.Active("out-before-permission") {
		go s.ask(context.Background(), question{Begin: &b}, beginWithin)
		return Verdict{Yours: true}, nil
	}
	r, err := s.ask(ctx, question{Begin: &b}, beginWithin)
	switch {
	case err != nil:
		s.count.refused.Add(1)
		// It may have been taken all the same. Nothing has left, so what is known is that it is free.
		s.later(End{Key: b.Key, Print: b.Print, Owner: b.Owner, State: Free})
		return Verdict{}, err
	case r.Verdict.Yours:
		s.count.begun.Add(1)
		s.c.Record.Write("begun", b)
	default:
		s.count.elsewhere.Add(1)
	}
	return r.Verdict, nil
}

// End says what became of it, and waits a little until the ledger has it. What it has not by then it is told later, as long as
// this process has the node's place: work whose owner lives and says nothing would be nobody's to go on with.
func (s *Service) End(e End) bool {
	switch e.State {
	case Answered:
		s.count.kept.Add(1)
	case Unknown:
		s.count.unknown.Add(1)
	}
	r, err := s.ask(context.Background(), question{End: &e}, endWithin)
	if err == nil {
		return r.Taken
	}
	s.later(e)
	return false
}

// mostLater bounds what the ledger is told later. Beyond it work stays with this process until it ends, and is unknown then.
const mostLater = 20000

// later tells the ledger once it can be told.
func (s *Service) later(e End) {
	if s.pending.Add(1) > mostLater {
		s.pending.Add(-1)
		s.c.Log.Error("fleet work", "reason", "not-told", "key", e.Key)
		return
	}
	go func() {
		defer s.pending.Add(-1)
		for pause := 200 * time.Millisecond; ; pause = min(2*pause, laterMost) {
			time.Sleep(pause)
			s.mu.Lock()
			late := s.predecessor == e.Owner.Incarnation && time.Since(s.down) < predecessorFor
			over := s.incarnation != e.Owner.Incarnation && !late // then the leader finds that the process is gone
			s.mu.Unlock()
			if over {
				return
			}
			if _, err := s.ask(context.Background(), question{End: &e}, endWithin); err == nil {
				return
			}
		}
	}()
}

// ask asks whoever keeps the work, and again until somebody has answered or the time is up.
func (s *Service) ask(ctx context.Context, q question, within time.Duration) (r reply, err error) {
	ctx, stop := context.WithTimeout(ctx, within)
	defer stop()
	s.mu.Lock()
	who := s.last
	s.mu.Unlock()
	for {
		if who == "" { // nobody knows: one after the other
			voters := s.part.Roster().Names
			s.mu.Lock()
			who = voters[s.turn%len(voters)]
			s.turn++
			s.mu.Unlock()
		}
		s.mu.Lock()
		quiet := time.Now().Before(s.quiet)
		s.mu.Unlock()
		if !quiet {
			r, err = s.once(ctx, q, who)
			if s.heard(who, r, err) {
				return r, nil
			}
			if who = r.Leader; err != nil {
				who = ""
			}
		}
		select {
		case <-ctx.Done():
			return r, fmt.Errorf("%w: %v %s", ErrNoLeader, err, r.Refuse)
		case <-time.After(askPause):
		}
	}
}

// heard takes in how a question to a voter went, and reports whether it was answered. Where nobody knows who keeps the work, all
// questions wait a little: hundreds that each ask on would keep the voters from finding out.
func (s *Service) heard(who string, r reply, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && r.Refuse == "" {
		s.last, s.quiet = who, time.Time{}
		return true
	}
	if s.last == who {
		s.last = ""
	}
	if err != nil || r.Leader == "" {
		s.quiet = time.Now().Add(quietFor)
	}
	return false
}

// once asks one voter.
func (s *Service) once(ctx context.Context, q question, who string) (reply, error) {
	s.mu.Lock()
	here := s.incarnation != ""
	s.mu.Unlock()
	if who == s.c.Name && here { // else the node's other process may keep it
		return s.answer(q), nil
	}
	to, err := s.connect(who)
	if err != nil {
		return reply{}, err
	}
	return to.ask(ctx, q)
}

// connect gives the stream to a voter, which all questions share. One dials at a time, and not at once again where that failed:
// all that wait would do so together.
func (s *Service) connect(who string) (*stream, error) {
	s.mu.Lock()
	to, incarnation := s.to[who], s.incarnation+s.predecessor
	s.mu.Unlock()
	if to != nil && !to.over() {
		return to, nil
	}
	if incarnation == "" {
		return nil, ErrNoLeader
	}
	s.dialing.Lock()
	defer s.dialing.Unlock()
	s.mu.Lock()
	to = s.to[who]
	s.mu.Unlock()
	if to != nil && !to.over() {
		return to, nil
	}
	if time.Since(s.failed[who]) < dialPause {
		return nil, ErrNoLeader
	}
	s.failed[who] = time.Now() // a stream that ends at once is no better than none
	c, err := s.c.Dial(who, WorkChannel, askWithin)
	if err != nil {
		return nil, err
	}
	one := newStream(who, c)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation+s.predecessor == "" { // it has no place yet
		one.close(ErrNoLeader)
		return nil, ErrNoLeader
	}
	s.to[who] = one
	return one, nil
}

// Status is for operators.
func (s *Service) Status() string {
	s.mu.Lock()
	log, state, incarnation := s.log, s.ledger, s.incarnation
	s.mu.Unlock()
	switch {
	case incarnation == "":
		return "work: none is kept without a place in the fleet"
	case log == nil:
		return "work: kept by others"
	}
	n := state.counts()
	return fmt.Sprintf("work: %d running, %d free, %d answered, %d unknown; kept by %s", n[Running], n[Free], n[Answered], n[Unknown],
		log.Leader())
}

// Counters are for the log.
func (s *Service) Counters() string {
	c := &s.count
	return fmt.Sprintf("work_begun=%d work_kept=%d work_unknown=%d work_elsewhere=%d work_refused=%d work_taken_over=%d",
		c.begun.Load(), c.kept.Load(), c.unknown.Load(), c.elsewhere.Load(), c.refused.Load(), c.lost.Load())
}
