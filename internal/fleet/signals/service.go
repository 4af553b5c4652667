package signals

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"

	"olivebridge/internal/fleet/mutant"
	"olivebridge/internal/fleet/record"
)

const (
	// sayEach is how often a node says again what it has seen, while there is anything; news goes out at once, but for
	// sayPause between two words.
	sayEach  = time.Second
	sayPause = 100 * time.Millisecond
)

// Config is what a process is told.
type Config struct {
	Name      string
	Witnesses int // on whose word a peer is doubted
	// Tell hands a word to the others, in place of this one's last; see member.Service.
	Tell   func(from string, word []byte)
	Here   func(name string) bool // whether a node is in the fleet
	Record *record.Recorder
}

// Service is a process's part in telling of peers. Its methods are safe for concurrent use.
type Service struct {
	c     Config
	start time.Time
	count struct{ said, heard, stale, broken, doubts atomic.Int64 }

	mu          sync.Mutex
	book        *Book
	incarnation string // "": this process has not the node's place, and says nothing
	group       []Peer
	doubted     []uint64
	changed     func() // is told when doubts change; nil: nobody
	poke        chan struct{}
	news        atomic.Bool // there is something to say at once
	stop        chan struct{}
	tasks       sync.WaitGroup
}

// New makes a service, which says nothing until Up.
func New(c Config) *Service {
	return &Service{c: c, start: time.Now(), book: NewBook(c.Name, c.Witnesses), poke: make(chan struct{}, 1)}
}

func (s *Service) now() time.Duration { return time.Since(s.start) + 1 } // 0 is never

// Up begins, for a process that has got the node's place.
func (s *Service) Up(incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation, s.stop = incarnation, make(chan struct{})
	stop := s.stop
	s.tasks.Go(func() { s.run(stop) })
}

// Down ends that.
func (s *Service) Down() {
	s.mu.Lock()
	stop := s.stop
	s.incarnation, s.stop = "", nil
	s.mu.Unlock()
	if stop != nil {
		close(stop)
		s.tasks.Wait()
	}
}

// Changed has somebody told, from now on, when doubts change. It must not wait.
func (s *Service) Changed(tell func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed = tell
}

// Listed hears of all peers that take new work.
func (s *Service) Listed(group []Peer) {
	s.mu.Lock()
	s.group = group
	s.mu.Unlock()
	s.stir()
}

// Saw hears how a try or a probe of this node's went. It does not wait.
func (s *Service) Saw(p Peer, r Result) {
	s.mu.Lock()
	news := s.book.Saw(s.now(), p, r)
	s.mu.Unlock()
	if news {
		s.news.Store(true)
		s.stir()
	}
}

func (s *Service) stir() {
	select {
	case s.poke <- struct{}{}:
	default:
	}
}

// Hear takes in another's word, hands it on, and reports whether it was news. It does not wait.
func (s *Service) Hear(word []byte) bool {
	w, err := decode(word)
	if err != nil {
		s.count.broken.Add(1)
		return false
	}
	s.mu.Lock()
	fresh := s.c.Here(w.From) && s.book.Hear(s.now(), w)
	s.mu.Unlock()
	if !fresh {
		s.count.stale.Add(1)
		return false
	}
	s.count.heard.Add(1)
	s.c.Tell(w.From, word) // in place of the one before, to others than it came from
	s.stir()
	return true
}

// run says what there is to say, and looks what has become old.
func (s *Service) run(stop chan struct{}) {
	each := time.NewTicker(sayEach)
	defer each.Stop()
	spoke := false
	for {
		due := false
		select {
		case <-stop:
			return
		case <-s.poke:
		case <-each.C:
			due = true
		}
		if s.news.Swap(false) || due {
			spoke = s.say(spoke)
		}
		s.look()
		select {
		case <-stop:
			return
		case <-time.After(sayPause):
		}
	}
}

// say tells what this node has seen, and once more where there is nothing left to tell. It reports whether there was.
func (s *Service) say(spoke bool) bool {
	s.mu.Lock()
	s.book.Forget(s.c.Here)
	w := s.book.Say(s.now(), s.incarnation)
	if (mutant.Active("liar") || mutant.Active("one-witness")) && strings.HasSuffix(s.c.Name, "1") {
		w.Seen = nil
		for _, p := range s.group[:len(s.group)/3] { // fewer than would not be believed
			w.Seen = append(w.Seen, Seen{Peer: p})
		}
		w.Seen = w.Seen[:min(len(w.Seen), MostSaid)]
	}
	s.mu.Unlock()
	if len(w.Seen) == 0 && !spoke {
		return false
	}
	if text, err := encode(w); err == nil {
		s.count.said.Add(1)
		s.c.Tell(w.From, text)
	}
	return len(w.Seen) > 0
}

// look tells of doubts that have changed.
func (s *Service) look() {
	s.mu.Lock()
	doubted := s.book.Doubted(s.now(), s.group)
	changed := !slices.Equal(doubted, s.doubted)
	s.doubted = doubted
	tell := s.changed
	s.mu.Unlock()
	if !changed {
		return
	}
	s.count.doubts.Add(1)
	s.c.Record.Write("doubts", doubted)
	if tell != nil {
		tell()
	}
}

// Doubted are the peers that this node should leave alone.
func (s *Service) Doubted() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.doubted
}

// Status is for operators.
func (s *Service) Status() string {
	return fmt.Sprintf("signals: %d peers left alone on others' word", len(s.Doubted()))
}

// Counters are for the log.
func (s *Service) Counters() string {
	c := &s.count
	return fmt.Sprintf("words_said=%d words_heard=%d words_stale=%d words_broken=%d doubts_changed=%d", c.said.Load(), c.heard.Load(),
		c.stale.Load(), c.broken.Load(), c.doubts.Load())
}

// wire is a word as it is told: positions, no names, so that MostSaid peers fit into one packet of 1,400 bytes.
type wire struct {
	From        string
	Incarnation string
	Number      uint64
	Seen        []wireSeen
}

type wireSeen struct {
	ID   uint64
	Born int64
	Mark uint8
	Age  uint32 // milliseconds
}

// handle is how it is written.
func handle() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.StructToArray = true
	return h
}

func encode(w Word) (b []byte, err error) {
	out := wire{From: w.From, Incarnation: w.Incarnation, Number: w.Number}
	for _, s := range w.Seen {
		out.Seen = append(out.Seen, wireSeen{ID: s.ID, Born: s.Born, Mark: uint8(s.Mark), Age: uint32(s.Age.Milliseconds())})
	}
	err = codec.NewEncoderBytes(&b, handle()).Encode(&out)
	return b, err
}

func decode(b []byte) (Word, error) {
	var in wire
	if err := codec.NewDecoderBytes(b, handle()).Decode(&in); err != nil {
		return Word{}, fmt.Errorf("a word of peers: %w", err)
	}
	if in.From == "" || len(in.From) > 64 || len(in.Incarnation) > 64 || len(in.Seen) > MostSaid {
		return Word{}, fmt.Errorf("a word of peers: %d bytes of name, %d peers", len(in.From), len(in.Seen))
	}
	w := Word{From: in.From, Incarnation: in.Incarnation, Number: in.Number}
	for _, s := range in.Seen {
		if s.Mark > uint8(Good) {
			return Word{}, fmt.Errorf("a word of peers: mark %d", s.Mark)
		}
		w.Seen = append(w.Seen, Seen{Peer{s.ID, s.Born}, Mark(s.Mark), time.Duration(s.Age) * time.Millisecond})
	}
	return w, nil
}
