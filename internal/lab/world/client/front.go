package client

import (
	"math/rand/v2"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/http1"
	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
	"olivebridge/internal/lab/world"
)

// FrontHost is the front's host on the network.
const FrontHost = "front"

// FrontEnv is where a Front lives.
type FrontEnv struct {
	Loop   *loop.Loop
	Fabric link.Fabric
	Seed   uint64
}

// How long after a node was told to end new connections still come to it.
const (
	leastKeep = 200 * time.Millisecond
	mostKeep  = 400 * time.Millisecond
)

// Front spreads new connections over the nodes that it holds for ready.
type Front struct {
	conf  world.Front
	env   FrontEnv
	nodes []*station
	over  bool
}

// station is a node as the front knows it.
type station struct {
	front    *Front
	name     string
	zone     string
	draws    *rand.Rand
	admitted bool
	life     int         // of the node's process: what came of an earlier one counts no more
	next     *loop.Timer // the next check
	fall     *loop.Timer // it is taken out then
}

// NewFront makes a front that begins at once to ask all nodes whether they are ready.
func NewFront(c world.Front, nodes []world.Node, e FrontEnv) *Front {
	f := &Front{conf: c, env: e}
	for _, n := range nodes {
		s := &station{front: f, name: n.Name, zone: n.Zone, draws: figure.Stream(e.Seed, "front "+n.Name)}
		f.nodes = append(f.nodes, s)
		s.checkIn(figure.Seconds(s.draws.Float64() * c.Check.D().Seconds()))
	}
	return f
}

// Pick draws a node for a new connection: one of the zone, or, where none is
// admitted there, of another.
func (f *Front) Pick(zone string, r *rand.Rand) (addr string, ok bool) {
	u := r.Float64()
	var here, all []string
	for _, s := range f.nodes {
		if s.admitted {
			all = append(all, s.name+port)
			if s.zone == zone {
				here = append(here, s.name+port)
			}
		}
	}
	if len(here) == 0 {
		here = all
	}
	if len(here) == 0 {
		return "", false
	}
	return here[int(u*float64(len(here)))], true
}

// Admitted reports whether new connections go to a node.
func (f *Front) Admitted(node string) bool {
	s := f.station(node)
	return s != nil && s.admitted
}

// Born tells that a node's process starts. It is admitted once it says that it
// is ready, even where the death of the one before it was never noticed.
func (f *Front) Born(node string) {
	if s := f.station(node); s != nil {
		s.life++
		s.takeOut()
		s.checkIn(s.check())
	}
}

// Died tells that a node's process is dead. Until the front notices, clients
// are sent there.
func (f *Front) Died(node string) {
	if s := f.station(node); s != nil {
		s.life++
		s.takeOutIn(figure.Seconds(figure.Uniform(s.draws, 0.5, 1) * f.conf.Notice.D().Seconds()))
	}
}

// Leaving tells that a node was told to end. The front, too, knows of a planned
// end, and sends no new connections there after a moment.
func (f *Front) Leaving(node string) {
	if s := f.station(node); s != nil {
		s.life++
		s.takeOutIn(figure.Seconds(figure.Uniform(s.draws, leastKeep.Seconds(), mostKeep.Seconds())))
	}
}

// Stop ends the checks.
func (f *Front) Stop() {
	f.over = true
	for _, s := range f.nodes {
		s.life++
		s.next.Stop()
		s.fall.Stop()
	}
}

func (f *Front) station(node string) *station {
	for _, s := range f.nodes {
		if s.name == node {
			return s
		}
	}
	return nil
}

// takeOutIn takes a node out after a time, or when that was due already.
func (s *station) takeOutIn(d time.Duration) {
	if !s.admitted || s.fall != nil {
		return
	}
	s.fall = s.front.env.Loop.After(d, func() {
		s.takeOut()
		s.checkIn(s.check())
	})
}

func (s *station) takeOut() {
	s.fall.Stop()
	s.admitted, s.fall = false, nil
}

// check draws the time until the next check.
func (s *station) check() time.Duration {
	return figure.Seconds(figure.Uniform(s.draws, 0.9, 1.1) * s.front.conf.Check.D().Seconds())
}

// checkIn asks a node after a time, and again until it is admitted.
func (s *station) checkIn(d time.Duration) {
	s.next.Stop()
	s.next = s.front.env.Loop.After(d, func() {
		if s.front.over || s.admitted {
			return
		}
		c := &check{station: s, life: s.life, parser: http1.NewResponseParser()}
		c.conn = s.front.env.Fabric.Dial(FrontHost, s.name+port, dialTimeout, c)
		c.late = s.front.env.Loop.After(dialTimeout, c.done)
		s.checkIn(s.check())
	})
}

// check is one question whether a node is ready.
type check struct {
	station *station
	life    int
	conn    link.Conn
	parser  *http1.Parser
	late    *loop.Timer
}

// Up implements link.Handler.
func (c *check) Up(conn link.Conn) {
	host := c.station.name
	conn.Write([]byte("GET /health/ready HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n\r\n"))
}

// Data implements link.Handler.
func (c *check) Data(_ link.Conn, b []byte) {
	c.parser.Feed(b)
	c.read()
}

// End implements link.Handler.
func (c *check) End(_ link.Conn, err error) {
	if err == link.ErrEOF {
		c.parser.Close()
		c.read()
	}
	c.done()
}

func (c *check) read() {
	m, err := c.parser.Next()
	if m == nil && err == nil {
		return
	}
	if s := c.station; err == nil && m.Status == 200 && c.life == s.life {
		s.admitted = true
	}
	c.done()
}

func (c *check) done() {
	c.late.Stop()
	c.conn.Close()
}
