package client

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
	"olivebridge/internal/lab/world"
)

// Rogue is a client that sends what cannot be served, one attack after another.
type Rogue struct {
	conf    world.Rogue
	kind    Kind
	env     Env
	draws   *rand.Rand
	next    *loop.Timer
	attacks int
	open    []*shot
	results Results
}

// Results counts an attacker's connections by what came of them.
type Results struct {
	Begun     int // that came up
	Unreached int // that did not
	Answered  int // with an error
	Closed    int // by the node, without an answer
	Ignored   int // neither in time
	Served    int // with a 2xx, which nothing bad deserves; of twins, one may be
	Left      int // ended by the attacker itself, which is owed nothing then
}

// linger is how long an attacker goes on after an answer. patience is how much
// longer than a node may take he waits for one.
const (
	linger   = 200 * time.Millisecond
	patience = 500 * time.Millisecond
)

// NewRogue makes a rogue. Its kind must be one of RogueKinds.
func NewRogue(c world.Rogue, e Env) *Rogue {
	kind, ok := kindOf(c.Kind)
	if !ok {
		panic(fmt.Sprintf("rogue %q: unknown kind %q", c.Name, c.Kind))
	}
	return &Rogue{conf: c, kind: kind, env: e, draws: figure.Stream(e.Seed, c.Name+" arrivals")}
}

// Start lets the attacks begin when their time comes.
func (r *Rogue) Start() { r.attackAfter(r.conf.From.D()) }

func (r *Rogue) attackAfter(at time.Duration) {
	if r.conf.Rate <= 0 {
		return
	}
	at += figure.Seconds(r.draws.ExpFloat64() / r.conf.Rate)
	if at >= r.conf.From.D()+r.conf.For.D() {
		return
	}
	r.next = r.env.Loop.At(at, func() {
		r.attack()
		r.attackAfter(at)
	})
}

// Quiet reports whether no connection is open.
func (r *Rogue) Quiet() bool { return len(r.open) == 0 }

// Stop ends all attacks.
func (r *Rogue) Stop() {
	r.next.Stop()
	for _, s := range slices.Clone(r.open) {
		s.end(&r.results.Left)
	}
}

// Results is what came of the attacks.
func (r *Rogue) Results() Results { return r.results }

func (r *Rogue) attack() {
	r.attacks++
	draws := figure.Stream(r.env.Seed, fmt.Sprintf("%s attack %d", r.conf.Name, r.attacks))
	addr, ok := r.env.Front.Pick(r.conf.Zone, draws)
	if !ok {
		r.results.Unreached++
		return
	}
	d := &draft{env: &r.env, draws: draws, id: fmt.Sprintf("bad-%016x", draws.Uint64()), why: r.kind.Why}
	steps := r.kind.steps(d)
	within := max(r.kind.Within, d.within)
	var shots []*shot
	for range max(r.kind.Conns, 1) {
		s := &shot{rogue: r, why: d.why, within: within, steps: steps}
		if r.kind.Twin {
			s.why, s.twins = "", &shots
		}
		shots = append(shots, s)
		r.open = append(r.open, s)
	}
	for _, s := range shots {
		s.conn = r.env.Fabric.Dial(r.conf.Name, addr, dialTimeout, s)
	}
}

// ending is how an attacker ends his connection, if he does.
type ending int

const (
	stays ending = iota
	closesWriting
	closes
	resets
)

// step is bytes, sent a while after those before, and what the attacker does then.
type step struct {
	after time.Duration
	bytes []byte
	then  ending
}

// shot is one connection of an attack.
type shot struct {
	rogue  *Rogue
	why    string // it must not be served; empty: it is lawful by itself
	within time.Duration
	steps  []step
	twins  *[]*shot // that send the same, this one among them, once all are up

	conn     link.Conn
	up       bool
	heard    []byte
	due      *loop.Timer // of the next step
	overdue  *loop.Timer
	answered bool
	ended    bool
}

// Up implements link.Handler.
func (s *shot) Up(c link.Conn) {
	s.up = true
	s.rogue.results.Begun++
	if s.why != "" {
		s.rogue.env.Observer.MalformedInput(c.ID(), s.why, s.within)
	}
	s.overdue = s.rogue.env.Loop.After(s.within+patience, func() {
		s.end(&s.rogue.results.Ignored)
	})
	if s.twins == nil {
		s.step()
		return
	}
	for _, t := range *s.twins {
		if !t.up {
			return
		}
	}
	for i, t := range *s.twins { // so close together that the first is still open when the next comes
		t.due = s.rogue.env.Loop.After(time.Duration(i)*twinGap, t.step)
	}
}

// step sends the next step's bytes.
func (s *shot) step() {
	if s.ended || len(s.steps) == 0 {
		return
	}
	st := s.steps[0]
	s.due = s.rogue.env.Loop.After(st.after, func() {
		s.steps = s.steps[1:]
		s.conn.Write(st.bytes)
		switch st.then {
		case closesWriting:
			s.conn.CloseWrite()
		case closes:
			s.end(&s.rogue.results.Left)
			return
		case resets:
			s.conn.Reset()
			s.end(&s.rogue.results.Left)
			return
		}
		s.step()
	})
}

// mostHeard bounds what is kept of an answer.
const mostHeard = 64 << 10

// statusLine finds final answers in whatever comes.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] ([2-5])\d\d `)

// Data implements link.Handler.
func (s *shot) Data(_ link.Conn, b []byte) {
	s.heard = append(s.heard, b[:min(len(b), mostHeard-len(s.heard))]...)
	if !s.answered && statusLine.Match(s.heard) {
		s.answered = true
		s.rogue.env.Loop.After(linger, func() { s.end(nil) })
	}
}

// End implements link.Handler.
func (s *shot) End(_ link.Conn, err error) {
	if !s.up {
		s.end(&s.rogue.results.Unreached)
		if s.twins != nil { // the others will never begin
			for _, t := range *s.twins {
				t.end(&s.rogue.results.Left)
			}
		}
		return
	}
	s.end(&s.rogue.results.Closed)
}

// end ends the shot; how is counted, but where it was answered that is.
func (s *shot) end(how *int) {
	if s.ended {
		return
	}
	s.ended = true
	s.due.Stop()
	s.overdue.Stop()
	s.conn.Close()
	r := s.rogue
	r.open = slices.DeleteFunc(r.open, func(o *shot) bool { return o == s })
	if s.answered {
		how = &r.results.Answered
		for _, m := range statusLine.FindAllSubmatch(s.heard, -1) {
			if m[1][0] == '2' {
				how = &r.results.Served
			}
		}
	}
	*how++
}
