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

const way = 5 * time.Millisecond

func span(d time.Duration) figure.Span { return figure.Span(d) }

var classes = []world.Class{
	{Name: "quote", Safe: true, Aim: span(100 * time.Millisecond), Deadline: span(400 * time.Millisecond), Worth: 1},
	{Name: "confirm", Aim: span(100 * time.Millisecond), Deadline: span(600 * time.Millisecond), Worth: 10, Body: 200},
}

// lab is a world with fake nodes n1 and n2.
type lab struct {
	t     *testing.T
	loop  *loop.Loop
	net   *direct.Fabric
	front *Front
	nodes []*node
	bad   []string // connections told to be so, and why
	event.Observer
}

func (l *lab) MalformedInput(conn, why string, within time.Duration) {
	l.bad = append(l.bad, conn+" "+why)
}

// node is a fake one.
type node struct {
	l        *lab
	name     string
	listener link.Listener
	ready    bool
	asked    func()                              // called when it is asked whether it is ready
	serve    func(k *nodeConn, m *http1.Message) // nil: a 200 after 20 ms
	raw      func(k *nodeConn, b []byte)         // in place of all reading
	got      []*http1.Message
	at       []time.Duration
	conns    []*nodeConn
	open     int // connections
	most     int // of them at a time
	bytes    strings.Builder
}

// nodeConn is a connection of a node's.
type nodeConn struct {
	link.Conn
	n      *node
	parser *http1.Parser
	got    int
	end    error
	ended  time.Duration
}

func (n *node) up() {
	var err error
	n.listener, err = n.l.net.Listen(n.name+port, func(c link.Conn) link.Handler {
		k := &nodeConn{Conn: c, n: n, parser: http1.NewRequestParser()}
		if !strings.HasPrefix(c.ID(), FrontHost) {
			n.conns = append(n.conns, k)
			n.open++
			n.most = max(n.most, n.open)
		}
		return k
	})
	if err != nil {
		n.l.t.Fatal(err)
	}
}

func (k *nodeConn) Up(link.Conn) {}
func (k *nodeConn) End(c link.Conn, err error) {
	k.end, k.ended = err, k.n.l.loop.Now()
	if !strings.HasPrefix(k.ID(), FrontHost) {
		k.n.open--
	}
	c.Close()
}
func (k *nodeConn) Data(_ link.Conn, b []byte) {
	if k.n.raw != nil && !strings.HasPrefix(k.ID(), FrontHost) {
		k.n.raw(k, b)
		return
	}
	k.parser.Feed(b)
	for {
		m, err := k.parser.Next()
		if err != nil {
			k.n.l.t.Errorf("%s: %v", k.ID(), err)
		}
		if m == nil {
			return
		}
		if m.Target == "/health/ready" && k.n.asked != nil {
			k.n.asked()
		}
		switch {
		case m.Target == "/health/ready" && k.n.ready:
			k.answer(200, "")
			continue
		case m.Target == "/health/ready":
			k.answer(503, "")
			continue
		}
		k.got++
		k.n.got, k.n.at = append(k.n.got, m), append(k.n.at, k.n.l.loop.Now())
		fmt.Fprintln(&k.n.bytes, k.n.l.loop.Now(), m.Method, m.Target, m.Fields, string(m.Body))
		if k.n.serve == nil {
			k.n.l.loop.After(20*time.Millisecond, func() { k.answer(200, "") })
		} else {
			k.n.serve(k, m)
		}
	}
}

func (k *nodeConn) answer(status int, fields string) {
	k.Write(fmt.Appendf(nil, "HTTP/1.1 %d Some\r\n%sContent-Length: 2\r\n\r\nok", status, fields))
}

// run plays in a world whose nodes are admitted by 1 s.
func run(t *testing.T, play func(l *lab)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := &lab{t: t, loop: loop.New(synctest.Wait)}
		l.net = direct.New(l.loop, way)
		nodes := []world.Node{{Name: "n1", Zone: "a"}, {Name: "n2", Zone: "b"}}
		for _, n := range nodes {
			l.nodes = append(l.nodes, &node{l: l, name: n.Name, ready: true})
			l.nodes[len(l.nodes)-1].up()
		}
		l.front = NewFront(world.Front{Check: span(200 * time.Millisecond), Notice: span(2 * time.Second)}, nodes,
			FrontEnv{l.loop, l.net, 3})
		l.until(time.Second)
		play(l)
	})
}

func (l *lab) until(at time.Duration) { l.loop.Run(context.Background(), at, nil) }

func (l *lab) env(seed uint64) Env {
	return Env{Loop: l.loop, Fabric: l.net, Seed: seed, Observer: l, Classes: classes, Front: l.front,
		Tenants: []world.Tenant{{Name: "acme"}}, Contract: world.Contract{MaxRetryAfter: span(1500 * time.Millisecond)}}
}

// crowd is c with the figures that no test leaves open.
func (l *lab) crowd(c world.Clients, seed uint64) *Crowd {
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

// one plays a crowd for a while and lets it come to rest.
func (l *lab) play(c *Crowd, length time.Duration) Tally {
	c.Start(l.loop.Now() + length)
	l.until(l.loop.Now() + length + 10*time.Second)
	if !c.Quiet() {
		l.t.Error("requests are open at the end")
	}
	c.Stop()
	l.front.Stop()
	l.until(l.loop.Now() + time.Second)
	if l.net.OpenEnds != 0 || l.loop.Pending() != 0 {
		l.t.Errorf("%d ends open, %d events pending at the end", l.net.OpenEnds, l.loop.Pending())
	}
	return c.Tally()
}

func get(m *http1.Message, name string) string {
	v, _ := m.Get(name)
	return v
}
