package member

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"olivebridge/internal/fleet/mutant"
	"olivebridge/internal/fleet/record"
)

// Config is what a node is told of its fleet.
type Config struct {
	Name      string
	Zone      string
	Fleet     string         // its name
	Listen    netip.AddrPort // own address
	Advertise netip.AddrPort // where others reach it
	Join      []string       // addresses of others
	Directory string
	Log       *slog.Logger
	Record    *record.Recorder // nil: none
	// Channels serve streams that other parts of the fleet open, each until its function returns; the name is the
	// caller's. Channels 0 and 250 are this package's own.
	Channels map[byte]func(c net.Conn, from string)
	// Hear is given what others have told with Tell; it may be nil, and must not wait. The bytes are its own.
	Hear func(word []byte)
	// Up is called when this process has got the place, in a new incarnation, and Down before it gives it up; both may be nil.
	Up   func(Incarnation)
	Down func()
}

// Service is a process's part in the fleet. It holds the node's place, or its other process does, or nobody.
type Service struct {
	c       Config
	start   time.Time
	traffic traffic
	count   counts

	// ops lets one of take and give happen at a time. The library, which calls back with a lock of its own held, is
	// called with ops alone: mu is taken within its lock.
	ops sync.Mutex

	mu        sync.Mutex
	place     *place // nil: this process does not hold it
	why       string // why not
	book      *Book
	changed   chan struct{}      // closed with the next view
	waits     context.CancelFunc // ends the wait for the place; nil: none
	waiting   sync.WaitGroup
	over      bool
	yielded   time.Time // when this process gave the place to the node's other one
	successor bool      // it gets the place from a predecessor that may still have work in hand
}

type counts struct {
	views, strangers, steppedBack, pauses, cutOff, suspicions, deaths, rejoins, rejected atomic.Int64
	calls, called                                                                        atomic.Int64 // of the roll, and who was given up by it
}

// New makes a service, which does nothing until Take.
func New(c Config) *Service {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	s := &Service{c: c, start: time.Now(), why: "not yet taken", changed: make(chan struct{})}
	s.book = NewBook(s.self(Incarnation{}), 0)
	return s
}

func (s *Service) self(i Incarnation) Member {
	return Member{Name: s.c.Name, Zone: s.c.Zone, Addr: s.c.Advertise.String(), Incarnation: i}
}

func (s *Service) now() time.Duration { return time.Since(s.start) }

// retry is how long a process with patience waits between two looks whether the place is free.
const retry = 20 * time.Millisecond

// Take takes the node's place; see node.Fleet.
func (s *Service) Take(patience bool) error {
	s.ops.Lock()
	defer s.ops.Unlock()
	s.mu.Lock()
	s.successor = patience
	busy := s.over || s.place != nil || s.waits != nil
	s.mu.Unlock()
	if busy {
		return nil
	}
	if mutant.Active("upgrade-twice") && patience {
		s.c.Name += ".2"
		s.c.Listen = netip.AddrPortFrom(s.c.Listen.Addr(), s.c.Listen.Port()+1)
		s.c.Advertise = s.c.Listen
	}
	err := s.take()
	if err == nil || !patience {
		return err
	}
	s.c.Log.Warn("fleet place", "reason", "waiting", "why", err.Error())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.why = err.Error()
	s.again(retry)
	return nil
}

// again tries to take the place, each time after a pause, until it is taken. It is called with mu held.
func (s *Service) again(pause time.Duration) {
	ctx, stop := context.WithCancel(context.Background())
	s.waits = stop
	s.waiting.Go(func() {
		defer stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
			if s.tryAgain(ctx) {
				return
			}
		}
	})
}

// tryAgain reports whether there is nothing more to try.
func (s *Service) tryAgain(ctx context.Context) bool {
	s.ops.Lock()
	defer s.ops.Unlock()
	if ctx.Err() != nil {
		return true
	}
	err := s.take()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.why = err.Error()
		return false
	}
	s.waits = nil
	return true
}

// take is called with ops held. An incarnation begins with it, whoever held the place before.
func (s *Service) take() error {
	t, err := openTransport(s.c, &s.traffic)
	if err != nil {
		if errors.Is(err, syscall.EADDRINUSE) {
			return fmt.Errorf("%s is in use: %w", s.c.Listen, err)
		}
		return err
	}
	incarnation, err := enter(s.c.Directory, s.c.Name)
	if err != nil {
		t.Shutdown()
		return err
	}
	s.c.Record.Write("took", incarnation)
	s.c.Record.Write("wall", mutant.WallClock().UnixNano())
	m := s.self(incarnation)
	s.mu.Lock()
	predecessor := s.successor
	s.mu.Unlock()
	s.apply(Event{Kind: Heard, Name: m.Name, Zone: m.Zone, Addr: m.Addr, Incarnation: incarnation, Predecessor: predecessor})
	p, err := newPlace(s, t, incarnation, predecessor)
	if err != nil {
		t.Shutdown()
		return err
	}
	s.mu.Lock()
	s.place, s.why = p, ""
	s.mu.Unlock()
	s.c.Log.Info("fleet place", "reason", "taken", "life", incarnation.String(), "listen", s.c.Listen.String())
	if s.c.Up != nil {
		s.c.Up(incarnation)
	}
	return nil
}

// predecessorFor is for how long a process that has yielded the place may still say what became of what it had in hand: above
// the deadlines of calls. Others are told for as long that it may.
const predecessorFor = 10 * time.Second

// Dial opens a stream to a member's channel. A process that has yielded the place may do so for a while, by what it knew then.
func (s *Service) Dial(name string, channel byte, timeout time.Duration) (net.Conn, error) {
	s.mu.Lock()
	p, v, yielded := s.place, s.book.View(), s.yielded
	s.mu.Unlock()
	m, known := v.Of(name)
	switch {
	case p == nil && (yielded.IsZero() || time.Since(yielded) > predecessorFor):
		return nil, errors.New("this process has no place in the fleet")
	case !known || !m.State.Here():
		return nil, fmt.Errorf("%s is not in the fleet", name)
	case p == nil:
		return bareTransport(s.c, &s.traffic).dial(m.Addr, channel, timeout)
	}
	return p.t.dial(m.Addr, channel, timeout)
}

// Others are the addresses of members that a process may ask before it has the place: those to join, and those known last.
func (s *Service) Others() []string {
	var all []string
	for _, a := range append(slices.Clone(s.c.Join), readKnown(s.c.Directory)...) {
		if a != s.c.Advertise.String() && a != s.c.Listen.String() && !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	return all
}

// DialAddr opens a stream to a channel of whoever is at an address, also without the place.
func (s *Service) DialAddr(addr string, channel byte, timeout time.Duration) (net.Conn, error) {
	return bareTransport(s.c, &s.traffic).dial(addr, channel, timeout)
}

// Tell hands a word to other members, over the messages that they send each other anyway, in place of the last one of whoever it
// is from. It reaches all as long as whoever hears it hands it on.
func (s *Service) Tell(from string, word []byte) {
	if p := s.holds(); p != nil && len(word) <= MaxWord {
		p.queue.QueueBroadcast(told{from, word})
	}
}

// Yield frees the place for the node's other process.
func (s *Service) Yield() {
	if !mutant.Active("upgrade-twice") {
		s.mu.Lock()
		s.yielded = time.Now()
		s.mu.Unlock()
		s.give("yielded", "the node's other process has it")
	}
}

// Close gives the place up without a word to others.
func (s *Service) Close() {
	s.mu.Lock()
	s.over = true
	s.mu.Unlock()
	s.give("closed", "closed")
	s.waiting.Wait()
}

// give gives the place up.
func (s *Service) give(what, why string) {
	s.ops.Lock()
	defer s.ops.Unlock()
	s.mu.Lock()
	p := s.place
	if s.waits != nil {
		s.waits()
		s.waits = nil
	}
	s.mu.Unlock()
	if p == nil {
		return
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.place == p {
			s.place, s.why = nil, why
		}
	}()
	if s.c.Down != nil {
		s.c.Down()
	}
	p.close()
	s.c.Log.Info("fleet place", "reason", what)
	s.c.Record.Write(what, nil)
}

// Leaving tells the others that this node ends as planned.
func (s *Service) Leaving() {
	if p := s.holds(); p != nil {
		p.leaving()
		s.c.Record.Write("leaving", nil)
	}
}

// Left tells them that it has.
func (s *Service) Left() {
	if p := s.holds(); p != nil {
		p.leave()
		s.c.Record.Write("left", nil)
	}
	s.Close()
}

func (s *Service) holds() *place {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.place
}

// stepBack gives the name up to another process that has the better claim.
func (s *Service) stepBack(p *place, other Claim, addr string) {
	s.mu.Lock()
	if s.place != p {
		s.mu.Unlock()
		return
	}
	s.place = nil
	s.why = fmt.Sprintf("%s is used by another process, at %s, with the better claim", s.c.Name, addr)
	s.count.steppedBack.Add(1)
	if other.Home != p.incarnation.Home && !s.over {
		s.again(stepBackFor)
	} // else the node's own later incarnation has the name, for good
	s.mu.Unlock()
	s.c.Log.Error("fleet place", "reason", "stepped-back", "why", s.why)
	s.c.Record.Write("stepped-back", addr)
	go func() { // it is the library that called
		if s.c.Down != nil {
			s.c.Down()
		}
		p.close()
	}()
}

// stepBackFor is how long a stranger leaves a name alone before it looks whether it is free: others need to have
// forgotten it by then, and a mistake is not mended sooner.
const stepBackFor = 15 * time.Second

// apply takes in what was heard, and tells of a new view.
func (s *Service) apply(e Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, _ := s.book.View().Of(e.Name)
	if !s.book.Apply(s.now(), e) {
		return
	}
	after, _ := s.book.View().Of(e.Name)
	switch after.State {
	case Suspect:
		s.count.suspicions.Add(1)
	case Dead:
		s.count.deaths.Add(1)
	}
	s.c.Log.Info("fleet member", "reason", reason(before, after), "member", after.Name, "zone", after.Zone,
		"addr", after.Addr, "life", after.Incarnation.String(), "view", s.book.View().Number)
	s.tell()
}

// reason is the code of a change of a member.
func reason(before, after Member) string {
	switch {
	case before.Name == "":
		return "joined"
	case before.Incarnation != after.Incarnation:
		return "began-anew"
	case before.State == after.State && before.Addr != after.Addr:
		return "moved"
	case before.State == Suspect && after.State == Alive:
		return "cleared"
	case !before.State.Here() && after.State.Here():
		return "back"
	}
	return string(after.State)
}

// tell lets whoever waits for a view have it. It is called with the lock held.
func (s *Service) tell() {
	s.count.views.Add(1)
	s.c.Record.Write("view", s.book.View())
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.book.Tick(s.now()) {
		s.tell()
	}
}

// View is the newest view.
func (s *Service) View() *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.View()
}

// Next waits for a view later than the one of that number, and returns the newest: views come in order, and a slow
// reader misses those between.
func (s *Service) Next(ctx context.Context, after uint64) (*View, error) {
	for {
		s.mu.Lock()
		v, changed := s.book.View(), s.changed
		s.mu.Unlock()
		if v.Number > after {
			return v, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Status is for operators.
func (s *Service) Status() string {
	s.mu.Lock()
	v, why, p := s.book.View(), s.why, s.place
	s.mu.Unlock()
	if p == nil {
		return "no place: " + why
	}
	side := v.Side()
	text := v.String()
	switch {
	case side.Alone:
		text += "; nobody else is heard"
	case !side.Most:
		text += fmt.Sprintf("; only %d of %d known are here", side.Here, side.Known)
	}
	return text
}

// Counters are for the log.
func (s *Service) Counters() string {
	c := &s.count
	s.mu.Lock()
	refused, older := s.book.Refused(), s.book.Older()
	s.mu.Unlock()
	return fmt.Sprintf("views=%d suspicions=%d deaths=%d rejoins=%d strangers=%d stepped_back=%d pauses=%d cut_off=%d roll_calls=%d lost_by_call=%d rejected=%d "+
		"no_room=%d older_lives=%d %s", c.views.Load(), c.suspicions.Load(), c.deaths.Load(), c.rejoins.Load(),
		c.strangers.Load(), c.steppedBack.Load(), c.pauses.Load(), c.cutOff.Load(), c.calls.Load(), c.called.Load(), c.rejected.Load(), refused, older, &s.traffic)
}

// meta is what a member tells of itself with every message that says that it lives.
type meta struct {
	Zone        string `json:"z,omitempty"`
	Home        string `json:"h"`
	Number      uint64 `json:"n"`
	Settled     bool   `json:"s,omitempty"`
	Leaving     bool   `json:"l,omitempty"`
	Predecessor bool   `json:"e,omitempty"`
}

// maxMeta bounds that.
const maxMeta = 200

func (m meta) claim() Claim { return Claim{Incarnation{m.Home, m.Number}, m.Settled} }

func readMeta(b []byte) (m meta, err error) {
	if len(b) > maxMeta {
		return m, fmt.Errorf("%d bytes of metadata, %d at most", len(b), maxMeta)
	}
	if err := json.Unmarshal(b, &m); err != nil {
		return m, fmt.Errorf("metadata: %w", err)
	}
	if m.Home == "" || len(m.Zone) > 64 {
		return m, errors.New("metadata without a home")
	}
	return m, nil
}
