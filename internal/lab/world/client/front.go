package client

import (
	"errors"
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

// FrontEnv holds the dependencies of a Front.
type FrontEnv struct {
	Loop   *loop.Loop
	Fabric link.Fabric
	Seed   uint64
}

// Limits on the time for which a terminating node still gets new connections.
const (
	minTerminatingDelay = 200 * time.Millisecond
	maxTerminatingDelay = 400 * time.Millisecond
)

// Front distributes new connections over the admitted nodes: those that it considers ready.
type Front struct {
	config  world.Front
	env     FrontEnv
	nodes   []*frontNode
	stopped bool
}

// frontNode is the front's state of a node.
type frontNode struct {
	front       *Front
	name        string
	zone        string
	draws       *rand.Rand
	admitted    bool
	generation  int         // counts changes of the node's process; checks of an earlier generation are ignored
	checkTimer  *loop.Timer // next readiness check
	removeTimer *loop.Timer // scheduled removal; nil: none
}

// NewFront returns a front that checks the readiness of all nodes from now on.
func NewFront(c world.Front, nodes []world.Node, e FrontEnv) *Front {
	f := &Front{config: c, env: e}
	for _, n := range nodes {
		s := &frontNode{front: f, name: n.Name, zone: n.Zone, draws: figure.Stream(e.Seed, "front "+n.Name)}
		f.nodes = append(f.nodes, s)
		s.checkAfter(figure.Seconds(s.draws.Float64() * c.Check.D().Seconds()))
	}
	return f
}

// Pick draws the node for a new connection: one in the zone or, if none is admitted
// there, one in another zone. ok is false if no node is admitted.
func (f *Front) Pick(zone string, r *rand.Rand) (addr string, ok bool) {
	u := r.Float64()
	var zoneAddrs, allAddrs []string
	for _, s := range f.nodes {
		if s.admitted {
			allAddrs = append(allAddrs, s.name+port)
			if s.zone == zone {
				zoneAddrs = append(zoneAddrs, s.name+port)
			}
		}
	}
	if len(zoneAddrs) == 0 {
		zoneAddrs = allAddrs
	}
	if len(zoneAddrs) == 0 {
		return "", false
	}
	return zoneAddrs[int(u*float64(len(zoneAddrs)))], true
}

// Admitted reports whether a node gets new connections.
func (f *Front) Admitted(node string) bool {
	s := f.node(node)
	return s != nil && s.admitted
}

// NodeStarted notifies the front that a node's process has started. The node is
// admitted once it reports that it is ready, even if the front had not yet noticed
// the death of the previous process.
func (f *Front) NodeStarted(node string) {
	if s := f.node(node); s != nil {
		s.generation++
		s.remove()
		s.checkAfter(s.checkInterval())
	}
}

// NodeDied notifies the front that a node's process is dead. The front notices that
// after a delay; until then the node still gets new connections.
func (f *Front) NodeDied(node string) {
	if s := f.node(node); s != nil {
		s.generation++
		s.removeAfter(figure.Seconds(figure.Uniform(s.draws, 0.5, 1) * f.config.Notice.D().Seconds()))
	}
}

// NodeTerminating notifies the front that a node was asked to exit. The front learns
// of planned exits and sends the node no new connections after a short delay.
func (f *Front) NodeTerminating(node string) {
	if s := f.node(node); s != nil {
		s.generation++
		s.removeAfter(figure.Seconds(figure.Uniform(s.draws, minTerminatingDelay.Seconds(), maxTerminatingDelay.Seconds())))
	}
}

// Stop ends the readiness checks.
func (f *Front) Stop() {
	f.stopped = true
	for _, s := range f.nodes {
		s.generation++
		s.checkTimer.Stop()
		s.removeTimer.Stop()
	}
}

func (f *Front) node(node string) *frontNode {
	for _, s := range f.nodes {
		if s.name == node {
			return s
		}
	}
	return nil
}

// removeAfter removes an admitted node after d. A removal that is already scheduled stays.
func (s *frontNode) removeAfter(d time.Duration) {
	if !s.admitted || s.removeTimer != nil {
		return
	}
	s.removeTimer = s.front.env.Loop.After(d, func() {
		s.remove()
		s.checkAfter(s.checkInterval())
	})
}

func (s *frontNode) remove() {
	s.removeTimer.Stop()
	s.admitted, s.removeTimer = false, nil
}

// checkInterval draws the time until the next readiness check.
func (s *frontNode) checkInterval() time.Duration {
	return figure.Seconds(figure.Uniform(s.draws, 0.9, 1.1) * s.front.config.Check.D().Seconds())
}

// checkAfter checks the readiness of a node after d, and then at intervals until it is admitted.
func (s *frontNode) checkAfter(d time.Duration) {
	s.checkTimer.Stop()
	s.checkTimer = s.front.env.Loop.After(d, func() {
		if s.front.stopped || s.admitted {
			return
		}
		c := &readinessCheck{node: s, generation: s.generation, parser: http1.NewResponseParser()}
		c.conn = s.front.env.Fabric.Dial(FrontHost, s.name+port, dialTimeout, c)
		c.timeout = s.front.env.Loop.After(dialTimeout, c.finish)
		s.checkAfter(s.checkInterval())
	})
}

// readinessCheck is one request to a node's readiness endpoint.
type readinessCheck struct {
	node       *frontNode
	generation int
	conn       link.Conn
	parser     *http1.Parser
	timeout    *loop.Timer
}

// Up implements link.Handler.
func (c *readinessCheck) Up(conn link.Conn) {
	host := c.node.name
	conn.Write([]byte("GET /health/ready HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n\r\n"))
}

// Data implements link.Handler.
func (c *readinessCheck) Data(_ link.Conn, b []byte) {
	c.parser.Feed(b)
	c.read()
}

// End implements link.Handler.
func (c *readinessCheck) End(_ link.Conn, err error) {
	if errors.Is(err, link.ErrEOF) {
		c.parser.Close()
		c.read()
	}
	c.finish()
}

func (c *readinessCheck) read() {
	m, err := c.parser.Next()
	if m == nil && err == nil {
		return
	}
	if s := c.node; err == nil && m.Status == 200 && c.generation == s.generation {
		s.admitted = true
	}
	c.finish()
}

func (c *readinessCheck) finish() {
	c.timeout.Stop()
	c.conn.Close()
}
