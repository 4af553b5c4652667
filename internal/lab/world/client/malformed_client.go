package client

import (
	"cmp"
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

// MalformedClient is a client that sends one attack after another, each of them
// input that must not be served.
type MalformedClient struct {
	config      world.MalformedClient
	kind        MalformedKind
	env         Env
	draws       *rand.Rand
	attackTimer *loop.Timer
	attackCount int
	conns       []*attackConn
	results     Results
}

// Results counts a malformed client's connections by their outcome.
type Results struct {
	Connected int // connections that were established
	Unreached int // connections that failed, or attacks without an admitted node
	Answered  int // the node sent an error
	Closed    int // the node closed or reset the connection without a response
	Ignored   int // the node did neither in time
	Served    int // the node sent a 2xx, which only one of two connections with the same request may get
	Left      int // the client ended the connection and expects nothing
}

// responseLinger is the time for which a malformed client continues after a response.
// responseGrace is the time for which it waits beyond the node's deadline.
const (
	responseLinger = 200 * time.Millisecond
	responseGrace  = 500 * time.Millisecond
)

// NewMalformedClient returns a malformed client. It panics if the kind is not one of MalformedKinds.
func NewMalformedClient(c world.MalformedClient, e Env) *MalformedClient {
	kind, ok := findKind(c.Kind)
	if !ok {
		panic(fmt.Sprintf("malformed client %q: unknown kind %q", c.Name, c.Kind))
	}
	return &MalformedClient{config: c, kind: kind, env: e, draws: figure.Stream(e.Seed, c.Name+" arrivals")}
}

// Start schedules the attacks, which begin at the configured time.
func (r *MalformedClient) Start() { r.scheduleAttack(r.config.From.D()) }

func (r *MalformedClient) scheduleAttack(at time.Duration) {
	if r.config.Rate <= 0 {
		return
	}
	at += figure.Seconds(r.draws.ExpFloat64() / r.config.Rate)
	if at >= r.config.From.D()+r.config.For.D() {
		return
	}
	r.attackTimer = r.env.Loop.At(at, func() {
		r.attack()
		r.scheduleAttack(at)
	})
}

// Idle reports whether all connections have ended.
func (r *MalformedClient) Idle() bool { return len(r.conns) == 0 }

// Stop ends all attacks and closes their connections.
func (r *MalformedClient) Stop() {
	r.attackTimer.Stop()
	for _, s := range slices.Clone(r.conns) {
		s.finish(&r.results.Left)
	}
}

// Results returns the counts so far.
func (r *MalformedClient) Results() Results { return r.results }

func (r *MalformedClient) attack() {
	r.attackCount++
	draws := figure.Stream(r.env.Seed, fmt.Sprintf("%s attack %d", r.config.Name, r.attackCount))
	addr, ok := r.env.Front.Pick(r.config.Zone, draws)
	if !ok {
		r.results.Unreached++
		return
	}
	d := &builder{env: &r.env, draws: draws, id: fmt.Sprintf("bad-%016x", draws.Uint64()), reason: r.kind.Reason}
	steps := r.kind.steps(d)
	deadline := max(r.kind.Within, d.deadline)
	var conns []*attackConn
	for range max(r.kind.Conns, 1) {
		s := &attackConn{client: r, reason: d.reason, deadline: deadline, steps: steps}
		if r.kind.SameRequest {
			s.reason, s.sameRequestConns = "", &conns
		}
		conns = append(conns, s)
		r.conns = append(r.conns, s)
	}
	for _, s := range conns {
		s.conn = r.env.Fabric.Dial(r.config.Name, addr, dialTimeout, s)
	}
}

// stepEnd is the way in which a step ends the connection, if it does.
type stepEnd int

const (
	keepOpen stepEnd = iota
	closeWrite
	closeConn
	resetConn
)

// step is one write of an attack: its delay after the previous step, its bytes, and
// the end of the connection after it.
type step struct {
	after time.Duration
	bytes []byte
	then  stepEnd
}

// attackConn is one connection of an attack.
type attackConn struct {
	client           *MalformedClient
	reason           string // why the input must not be served; empty: it is valid by itself
	deadline         time.Duration
	steps            []step
	sameRequestConns *[]*attackConn // connections that send the same request, including this one, once all are established

	conn          link.Conn
	connected     bool
	received      []byte
	stepTimer     *loop.Timer // next step
	deadlineTimer *loop.Timer
	answered      bool
	ended         bool
}

// Up implements link.Handler.
func (s *attackConn) Up(c link.Conn) {
	s.connected = true
	s.client.results.Connected++
	if s.reason != "" {
		s.client.env.Observer.MalformedInput(c.ID(), s.reason, s.deadline)
	}
	s.deadlineTimer = s.client.env.Loop.After(s.deadline+responseGrace, func() {
		s.finish(&s.client.results.Ignored)
	})
	if s.sameRequestConns == nil {
		s.nextStep()
		return
	}
	for _, t := range *s.sameRequestConns {
		if !t.connected {
			return
		}
	}
	for i, t := range *s.sameRequestConns { // close enough that the first request is in progress when the next one arrives
		gap := cmp.Or(s.client.kind.Gap, sameRequestGap)
		t.stepTimer = s.client.env.Loop.After(time.Duration(i)*gap, t.nextStep)
	}
}

// nextStep schedules the next step.
func (s *attackConn) nextStep() {
	if s.ended || len(s.steps) == 0 {
		return
	}
	st := s.steps[0]
	s.stepTimer = s.client.env.Loop.After(st.after, func() {
		s.steps = s.steps[1:]
		s.conn.Write(st.bytes)
		switch st.then {
		case closeWrite:
			s.conn.CloseWrite()
		case closeConn:
			s.finish(&s.client.results.Left)
			return
		case resetConn:
			s.conn.Reset()
			s.finish(&s.client.results.Left)
			return
		}
		s.nextStep()
	})
}

// maxReceivedBytes limits the number of response bytes that are kept.
const maxReceivedBytes = 64 << 10

// statusLine matches the status line of a final response anywhere in the received bytes.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] ([2-5])\d\d `)

// Data implements link.Handler.
func (s *attackConn) Data(_ link.Conn, b []byte) {
	s.received = append(s.received, b[:min(len(b), maxReceivedBytes-len(s.received))]...)
	if !s.answered && statusLine.Match(s.received) {
		s.answered = true
		s.client.env.Loop.After(responseLinger, func() { s.finish(nil) })
	}
}

// End implements link.Handler.
func (s *attackConn) End(_ link.Conn, err error) {
	if !s.connected {
		s.finish(&s.client.results.Unreached)
		if s.sameRequestConns != nil { // the other connections wait for this one and will never send
			for _, t := range *s.sameRequestConns {
				t.finish(&s.client.results.Left)
			}
		}
		return
	}
	s.finish(&s.client.results.Closed)
}

// finish ends the connection. It increments counter or, if a response was received,
// Answered or Served.
func (s *attackConn) finish(counter *int) {
	if s.ended {
		return
	}
	s.ended = true
	s.stepTimer.Stop()
	s.deadlineTimer.Stop()
	s.conn.Close()
	r := s.client
	r.conns = slices.DeleteFunc(r.conns, func(o *attackConn) bool { return o == s })
	if s.answered {
		counter = &r.results.Answered
		for _, m := range statusLine.FindAllSubmatch(s.received, -1) {
			if m[1][0] == '2' {
				counter = &r.results.Served
			}
		}
	}
	*counter++
}
