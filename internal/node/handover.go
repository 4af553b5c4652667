package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/admin"
	"olivebridge/internal/handover"
	"olivebridge/internal/routing"
)

// heritageTimeout is how long the decisions may take to tell a successor what they have learnt.
const heritageTimeout = 300 * time.Millisecond

// company are the other processes of this node: the one before it, and its
// successor, each for as long as it lives.
type company struct {
	mu          sync.Mutex
	seat        *handover.Listener // where a successor finds this process; nil: it has one, or can have none
	predecessor *handover.Link     // nil: none
	successor   *handover.Link     // nil: none
	over        bool               // this process ends
	took        bool               // the successor takes clients
	calls       sync.Mutex         // one operator's call at a time, so that both processes see them in one order
	running     sync.WaitGroup
}

// processes counts this one, too.
func (c *company) processes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 1
	for _, l := range []*handover.Link{c.predecessor, c.successor} {
		if l != nil {
			n++
		}
	}
	return n
}

// inherit takes over from the process in service, if there is one. Whatever
// fails there is logged, and the node starts as if it were alone.
func (n *Node) inherit() (listener net.Listener, paused bool) {
	if n.parts.HandoverPath == "" || n.servers == nil {
		return nil, false
	}
	takeover, err := handover.Connect(n.parts.HandoverPath)
	if err == nil && takeover != nil && !serves(takeover.Listener, n.config.Listen) {
		err = fmt.Errorf("the process in service listens on %s, and this one is told %s",
			takeover.Listener.Addr(), n.config.Listen)
		takeover.Listener.Close()
		takeover.Link.Close()
	}
	if err != nil {
		n.log.Warn("hand-over failed", "reason", err.Error())
	}
	if takeover == nil || err != nil {
		return nil, false
	}
	state := takeover.State
	n.company.predecessor = takeover.Link
	n.servers.Import(state.Servers)
	known := routing.EndpointList{}
	for _, r := range state.Servers {
		known.Endpoints = append(known.Endpoints, routing.Endpoint{Server: balancer.Server(r.Listed), Name: r.Name, Addr: r.Addr})
	}
	if len(known.Endpoints) > 0 {
		n.config.KnownEndpoints, n.config.KnownEndpointsVersion = known, -1
		if state.DiscoveryAddr == n.config.Discovery {
			n.config.KnownEndpointsVersion = state.ListVersion
		}
	}
	n.config.Settings.WarmThroughput = state.WarmThroughput
	n.log.Info("taking over", "servers", len(state.Servers), "version", n.config.KnownEndpointsVersion, "paused", state.Paused)
	return takeover.Listener, state.Paused
}

// serves reports whether a listener is on an address, of which port 0 is any.
func serves(l net.Listener, addr string) bool {
	want, err := net.ResolveTCPAddr("tcp", addr)
	have, ok := l.Addr().(*net.TCPAddr)
	return err == nil && ok && (want.Port == 0 || want.Port == have.Port && want.IP.Equal(have.IP))
}

// settle tells the process before this one that clients are served here, and
// makes this one the one that a successor asks.
func (n *Node) settle() {
	if n.parts.HandoverPath == "" || n.servers == nil {
		return
	}
	c := &n.company
	if l := c.predecessor; l != nil {
		c.running.Go(func() { n.converse(l) })
		if err := l.Request(handover.Message{Kind: handover.KindReady}); err != nil {
			n.log.Warn("hand-over failed", "reason", err.Error())
		}
	}
	n.sit()
}

// sit waits for a successor.
func (n *Node) sit() {
	seat, err := handover.Listen(n.parts.HandoverPath)
	if err != nil {
		n.log.Warn("no hand-over to a successor", "reason", err.Error())
		return
	}
	c := &n.company
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over { // it ended meanwhile, and waits for what runs
		seat.Close()
		return
	}
	c.seat = seat
	c.running.Go(func() {
		for {
			l, err := seat.Accept()
			if err != nil {
				return
			}
			if err := n.bequeath(l); err != nil {
				n.log.Warn("hand-over failed", "reason", err.Error())
				l.Close()
				continue
			}
			n.converse(l)
		}
	})
}

// bequeath tells a successor all that this process knows. Calls that come
// meanwhile follow on the link.
func (n *Node) bequeath(l *handover.Link) error {
	c := &n.company
	c.calls.Lock()
	defer c.calls.Unlock()
	var h handover.NodeState
	h.Servers, h.ListVersion = n.servers.Export()
	h.Paused = n.front.Paused()
	ctx, stop := context.WithTimeout(context.Background(), heritageTimeout)
	defer stop()
	if learnt, err := n.router.Snapshot(ctx); err == nil { // else the successor learns it anew
		h.WarmThroughput = learnt.WarmThroughput
	}
	n.mu.Lock()
	h.DiscoveryAddr = n.config.Discovery
	n.mu.Unlock()
	for _, m := range h.Messages() {
		var with syscall.Conn
		if m.Kind == handover.KindListener {
			with, _ = n.listener.(syscall.Conn)
		}
		if err := l.Send(m, with); err != nil {
			return err
		}
	}
	c.mu.Lock()
	c.successor, c.took = l, false
	c.mu.Unlock()
	n.log.Info("successor", "servers", len(h.Servers))
	n.bound()
	return nil
}

// converse takes what another process says until it has ended.
func (n *Node) converse(l *handover.Link) {
	for {
		m, file, err := l.Receive()
		if err != nil {
			break
		}
		n.heard(l, m, file)
		if file != nil {
			file.Close()
		}
	}
	n.parted(l)
}

// heard carries out what another process has said. A fault over it must not end the node.
func (n *Node) heard(l *handover.Link, m handover.Message, file *os.File) {
	defer func() {
		if p := recover(); p != nil {
			n.log.Error("panic", "in", "hand-over", "value", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	switch m.Kind {
	case handover.KindReady:
		n.company.mu.Lock()
		n.company.took = l == n.company.successor
		n.company.mu.Unlock()
		n.log.Info("successor takes clients")
		n.yield()
		l.Send(handover.Message{Kind: handover.KindResult, RequestNumber: m.RequestNumber}, nil)
	case handover.KindCommand:
		if m.ServerID != "" { // it was listed there, if not here
			n.router.AddKnownServer(m.ServerID)
		}
		_, err := n.apply(admin.Command{Name: m.Command, ServerID: m.ServerID}, l)
		done := handover.Message{Kind: handover.KindResult, RequestNumber: m.RequestNumber}
		if err != nil {
			done.Error = err.Error()
		}
		l.Send(done, nil) // if it fails, so does the next Receive
	case handover.KindResult:
		l.Resolve(m)
	case handover.KindConnection:
		if file == nil {
			return
		}
		if conn, err := net.FileConn(file); err == nil {
			n.front.Adopt(conn) // before anything further is heard: an end that came between would lose it
		}
	}
}

// parted notes that another process of the node has ended.
func (n *Node) parted(l *handover.Link) {
	l.Close()
	c := &n.company
	c.mu.Lock()
	took := l == c.successor && c.took
	again := l == c.successor && !c.over // it may have taken the seat, though it never said that it was ready
	switch l {
	case c.successor:
		c.successor, c.took = nil, false
	case c.predecessor:
		c.predecessor = nil
	}
	c.mu.Unlock()
	n.log.Info("the node's other process has ended")
	n.bound()
	if again {
		c.closeSeat()
		n.sit()
		if took {
			n.resume()
		}
	}
}

func (c *company) closeSeat() {
	c.mu.Lock()
	seat := c.seat
	c.seat = nil
	c.mu.Unlock()
	if seat != nil {
		seat.Close()
	}
}

// end leaves the others.
func (c *company) end() {
	c.mu.Lock()
	c.over = true
	links := []*handover.Link{c.predecessor, c.successor}
	c.mu.Unlock()
	c.closeSeat()
	for _, l := range links {
		if l != nil {
			l.Close()
		}
	}
	c.running.Wait()
}

// tookOver is the successor that takes clients; nil: there is none.
func (c *company) tookOver() *handover.Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.took {
		return nil
	}
	return c.successor
}

// both does an operator's call here and in the node's other processes.
func (n *Node) both(call admin.Command) (string, error) {
	n.company.calls.Lock()
	defer n.company.calls.Unlock()
	return n.apply(call, nil)
}

// apply does a call here, then in the processes but for the one it came from.
// Where another does not say that it holds there, too, the caller is told to
// make the call again: a yes would be false.
func (n *Node) apply(call admin.Command, from *handover.Link) (string, error) {
	text, err := n.do(call)
	if err != nil {
		return "", err
	}
	c := &n.company
	c.mu.Lock()
	links := []*handover.Link{c.predecessor, c.successor}
	c.mu.Unlock()
	for _, l := range links { // a process has both only while a third one starts
		if l == nil || l == from {
			continue
		}
		err := l.Request(handover.Message{Kind: handover.KindCommand, Command: call.Name, ServerID: call.ServerID})
		if err != nil && !errors.Is(err, handover.ErrProcessEnded) {
			return "", fmt.Errorf("it holds in this process alone, call again: %w", err)
		}
	}
	return text, nil
}

// bound keeps this process to its part of the node's limits.
func (n *Node) bound() {
	n.mu.Lock()
	defer n.mu.Unlock()
	part := handover.ResourceShare(n.company.processes())
	n.carrier.Configure(n.carrierConfig(n.config, part))
	n.front.SetClientLimits(clientBounds(n.config, part))
	n.boundDoor(n.config, part)
	if n.parts.ApplyLimits != nil {
		n.parts.ApplyLimits(n.config, part)
	}
}

// give hands client connections on, until the link fails: each that waits for a
// successor that hangs would wait in vain, and the others behind it. A connection
// that has ended just then says nothing of the link.
func give(l *handover.Link) func(syscall.Conn) error {
	var failed atomic.Pointer[error]
	return func(conn syscall.Conn) error {
		if err := failed.Load(); err != nil {
			return *err
		}
		err := l.Send(handover.Message{Kind: handover.KindConnection}, conn)
		if err != nil && !errors.Is(err, handover.ErrConnectionEnded) {
			failed.Store(&err)
		}
		return err
	}
}
