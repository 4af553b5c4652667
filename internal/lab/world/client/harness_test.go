package client

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"olivebridge/internal/lab/event"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/http1"
	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/link/direct"
	"olivebridge/internal/lab/loop"
	"olivebridge/internal/lab/world"
)

const networkDelay = 5 * time.Millisecond

func span(d time.Duration) figure.Span { return figure.Span(d) }

var classes = []world.Class{
	{
		Name: "quote", Safe: true, Objective: span(100 * time.Millisecond), Deadline: span(400 * time.Millisecond),
		Weight: 1,
	},
	{
		Name: "confirm", Objective: span(100 * time.Millisecond), Deadline: span(600 * time.Millisecond),
		Weight: 10, Body: 200,
	},
}

// harness is a network with a front and the fake nodes n1 and n2.
type harness struct {
	t         *testing.T
	loop      *loop.Loop
	net       *direct.Fabric
	front     *Front
	nodes     []*fakeNode
	malformed []string // connections reported as malformed, with the reason
	event.Observer
}

func (l *harness) MalformedInput(conn, why string, within time.Duration) {
	l.malformed = append(l.malformed, conn+" "+why)
}

// fakeNode is a node that records the requests it receives.
type fakeNode struct {
	harness      *harness
	name         string
	listener     link.Listener
	ready        bool
	onReadyCheck func()                              // called on each readiness check
	handle       func(k *nodeConn, m *http1.Message) // handles a request; nil: a 200 after 20 ms
	raw          func(k *nodeConn, b []byte)         // receives all bytes in place of the parser; may be nil
	requests     []*http1.Message
	at           []time.Duration
	conns        []*nodeConn
	openConns    int // number of open connections
	maxOpenConns int // maximum of openConns
	bytes        strings.Builder
}

// nodeConn is a connection accepted by a fake node.
type nodeConn struct {
	link.Conn
	node         *fakeNode
	parser       *http1.Parser
	requestCount int
	end          error
	endedAt      time.Duration
}

func (n *fakeNode) listen() {
	var err error
	n.listener, err = n.harness.net.Listen(n.name+port, func(c link.Conn) link.Handler {
		k := &nodeConn{Conn: c, node: n, parser: http1.NewRequestParser()}
		if !strings.HasPrefix(c.ID(), FrontHost) {
			n.conns = append(n.conns, k)
			n.openConns++
			n.maxOpenConns = max(n.maxOpenConns, n.openConns)
		}
		return k
	})
	if err != nil {
		n.harness.t.Fatal(err)
	}
}

func (k *nodeConn) Up(link.Conn) {}
func (k *nodeConn) End(c link.Conn, err error) {
	k.end, k.endedAt = err, k.node.harness.loop.Now()
	if !strings.HasPrefix(k.ID(), FrontHost) {
		k.node.openConns--
	}
	c.Close()
}
func (k *nodeConn) Data(_ link.Conn, b []byte) {
	if k.node.raw != nil && !strings.HasPrefix(k.ID(), FrontHost) {
		k.node.raw(k, b)
		return
	}
	k.parser.Feed(b)
	for {
		m, err := k.parser.Next()
		if err != nil {
			k.node.harness.t.Errorf("connection %s: invalid request: %v", k.ID(), err)
		}
		if m == nil {
			return
		}
		if m.Target == "/health/ready" && k.node.onReadyCheck != nil {
			k.node.onReadyCheck()
		}
		switch {
		case m.Target == "/health/ready" && k.node.ready:
			k.respond(200, "")
			continue
		case m.Target == "/health/ready":
			k.respond(503, "")
			continue
		}
		k.requestCount++
		k.node.requests, k.node.at = append(k.node.requests, m), append(k.node.at, k.node.harness.loop.Now())
		fmt.Fprintln(&k.node.bytes, k.node.harness.loop.Now(), m.Method, m.Target, m.Fields, string(m.Body))
		if k.node.handle == nil {
			k.node.harness.loop.After(20*time.Millisecond, func() { k.respond(200, "") })
		} else {
			k.node.handle(k, m)
		}
	}
}

func (k *nodeConn) respond(status int, fields string) {
	k.Write(fmt.Appendf(nil, "HTTP/1.1 %d Some\r\n%sContent-Length: 2\r\n\r\nok", status, fields))
}

// withHarness calls play at 1 s, when the front has admitted both nodes.
func withHarness(t *testing.T, play func(l *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := &harness{t: t, loop: loop.New(synctest.Wait)}
		l.net = direct.New(l.loop, networkDelay)
		nodes := []world.Node{{Name: "n1", Zone: "a"}, {Name: "n2", Zone: "b"}}
		for _, n := range nodes {
			l.nodes = append(l.nodes, &fakeNode{harness: l, name: n.Name, ready: true})
			l.nodes[len(l.nodes)-1].listen()
		}
		l.front = NewFront(world.Front{Check: span(200 * time.Millisecond), Notice: span(2 * time.Second)}, nodes,
			FrontEnv{l.loop, l.net, 3})
		l.runUntil(time.Second)
		play(l)
	})
}

func (l *harness) runUntil(at time.Duration) { l.loop.Run(context.Background(), at, nil) }

func (l *harness) env(seed uint64) Env {
	return Env{Loop: l.loop, Fabric: l.net, Seed: seed, Observer: l, Classes: classes, Front: l.front,
		Tenants: []world.Tenant{{Name: "acme"}}, Contract: world.Contract{MaxRetryAfter: span(1500 * time.Millisecond)}}
}

// newGroup returns a group configured by c, with defaults for the fields that tests leave unset.
func (l *harness) newGroup(c world.Clients, seed uint64) *Group {
	c.Name, c.Zone, c.Tenant = "c1", "a", "acme"
	if c.Mix == nil {
		c.Mix = map[string]float64{"quote": 0.7, "confirm": 0.3}
	}
	if c.Rate == 0 {
		c.Rate = 50
	}
	c.Backoff = span(50 * time.Millisecond)
	return New(c, l.env(seed))
}

// runGroup runs a group for a time, waits until its requests are complete, and checks that nothing is left open.
func (l *harness) runGroup(c *Group, length time.Duration) Tally {
	c.Start(l.loop.Now() + length)
	l.runUntil(l.loop.Now() + length + 10*time.Second)
	if !c.Idle() {
		l.t.Error("requests without an outcome at the end")
	}
	c.Stop()
	l.front.Stop()
	l.runUntil(l.loop.Now() + time.Second)
	if l.net.OpenEnds != 0 || l.loop.Pending() != 0 {
		l.t.Errorf("%d connection ends open, %d events pending at the end; want none", l.net.OpenEnds, l.loop.Pending())
	}
	return c.Tally()
}

func fieldValue(m *http1.Message, name string) string {
	v, _ := m.Get(name)
	return v
}
