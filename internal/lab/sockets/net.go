// Package sockets is the network of the lab over loopback TCP, in real time. The modelled services use it through
// callbacks (it implements link.Fabric, like the in-memory package network); the nodes are programs of their own that
// use nothing but their sockets.
//
// A loop.Loop on the machine's clock runs all callbacks. Each connection has one goroutine that reads, and waits
// until the loop has processed what it read. The loop writes without blocking; only what does not fit into the
// kernel's buffer is written by a goroutine. Thus the only unbounded buffer holds what a Handler has written.
//
// Limits of this implementation:
//   - ErrUnread is never reported. A reset does not tell what the other side has read: it is always ErrReset.
//   - A reset that arrives while reading is paused is reported only after the pause.
//   - Delays are those of loopback. Slow does nothing, and the delays, pieces and rates of a world are ignored.
//   - Network faults act at the ends of the modelled services, which stop reading and writing. They do not affect
//     connections between two nodes, or from a node to an address outside the modelled services.
//   - A machine that vanishes while no process of it listens refuses connections instead of not responding.
//   - A Tap observes the ends of the modelled services: one side of a connection to or from a node.
package sockets

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
)

// AnonymousHost is the dialing host of connections from programs that are not registered by AddNode.
const AnonymousHost = "anyone"

// Net is a network over loopback. Its methods belong to the goroutine of the Loop, or to the creator until the Loop
// runs. Exceptions are Resolve, MapAddress and Place, which are safe for concurrent use, and Close, which may also be
// called after the Loop has ended.
type Net struct {
	Seed uint64 // of the random draws of HushNew

	loop   *loop.Loop
	tap    link.Tap
	book   *addressBook
	ctx    context.Context // canceled by Close
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	posts  atomic.Uint64

	listeners     map[string]*listener // by modelled address
	listenSockets map[addressView]*listenSocket
	dialCounts    map[string]uint64 // number of connections, by "from>host"
	conns         map[string]*conn  // connections with a socket or a dial in progress, by ID

	vanished      map[string]bool // machines that are off the network
	partitions    []*partition
	silenceFaults []*silenceFault

	mu         sync.Mutex
	firstError error
}

var (
	_ link.Fabric        = (*Net)(nil)
	_ link.AddressMapper = (*Net)(nil)
)

// New returns a network. tap observes the events at the ends of the modelled services and may be nil.
func New(l *loop.Loop, tap link.Tap) *Net {
	n := &Net{
		loop: l, tap: tap, book: newAddressBook(),
		listeners: map[string]*listener{}, listenSockets: map[addressView]*listenSocket{},
		dialCounts: map[string]uint64{}, conns: map[string]*conn{}, vanished: map[string]bool{},
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// AddNode registers the machine of a node, a program outside the modelled services. The node reaches each modelled
// machine at a separate address (see MapAddress), which distinguishes its connections from those of others. All nodes
// must be added before the first Listen.
func (n *Net) AddNode(host string) { n.book.addNode(host) }

// Place assigns a machine its loopback address. A machine that is not placed gets one at its first use.
func (n *Net) Place(host string) { n.book.assignIP(host) }

// Resolve returns the real address of a modelled address or an address of a node, for programs that are not nodes.
func (n *Net) Resolve(addr string) string { return n.MapAddress("", addr) }

// MapAddress implements link.AddressMapper.
func (n *Net) MapAddress(viewer, addr string) string {
	at, err := n.book.realAddr(viewer, addr)
	if err != nil {
		n.recordError(err)
	}
	return at
}

// FirstError returns the first error of the machine that runs the lab, such as the lack of file descriptors, or nil.
// Later results of the run are then not caused by the models.
func (n *Net) FirstError() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.firstError
}

func (n *Net) recordError(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.firstError == nil && n.ctx.Err() == nil {
		n.firstError = fmt.Errorf("sockets: %w", err)
	}
}

// Open returns the number of established connections that have a host at either end.
func (n *Net) Open(host string) int {
	open := 0
	for _, c := range n.conns { // the order does not matter for a sum
		if c.tcp != nil && !c.closed && (c.from == host || c.host == host) {
			open++
		}
	}
	return open
}

// Close closes all connections and listeners, and returns once all goroutines of the network have ended.
func (n *Net) Close() {
	n.cancel()
	for _, d := range n.listenSockets {
		d.tcp.Close()
	}
	for _, c := range n.conns {
		c.closed = true
		c.abort()
	}
	n.tasks.Wait()
}

// post runs f on the loop, after everything that was posted before.
func (n *Net) post(f func()) { n.loop.Post(loop.Key{Sequence: n.posts.Add(1)}, f) }

// runOnLoop runs f on the loop and waits for its end. It returns false if the network was closed first; f may then
// still run.
func (n *Net) runOnLoop(f func()) bool {
	done := make(chan struct{})
	n.post(func() {
		f()
		close(done)
	})
	select {
	case <-done:
		return true
	case <-n.ctx.Done():
		return false
	}
}

// forEachConn calls f for every connection, in the order of their IDs.
func (n *Net) forEachConn(f func(c *conn)) {
	for _, id := range slices.Sorted(maps.Keys(n.conns)) {
		if c := n.conns[id]; c != nil { // an earlier call of f may have ended the connection
			f(c)
		}
	}
}

// Dial implements link.Fabric. A timeout of zero or less means kernelDialTimeout.
func (n *Net) Dial(from, to string, timeout time.Duration, h link.Handler) link.Conn {
	c := n.newConn(from, to, h)
	at, parted := n.Resolve(to), n.partitioned(from, c.host)
	if timeout <= 0 {
		timeout = kernelDialTimeout
	}
	ctx, stop := context.WithTimeout(n.ctx, timeout)
	c.cancelDial = stop
	c.observe(link.Dial, false, nil, "")
	n.tasks.Go(func() {
		defer stop()
		if parted {
			<-ctx.Done()
			n.runOnLoop(func() { c.dialDone(nil, ctx.Err()) })
			return
		}
		var d net.Dialer
		s, err := d.DialContext(ctx, "tcp", at)
		tcp, _ := s.(*net.TCPConn)
		if !n.runOnLoop(func() { c.dialDone(tcp, err) }) && tcp != nil {
			tcp.Close()
		}
	})
	return c
}

// kernelDialTimeout is the dial timeout where the caller sets none: the time for which a kernel retries a SYN.
const kernelDialTimeout = 127 * time.Second

// dialDone processes the result of a dial.
func (c *conn) dialDone(tcp *net.TCPConn, err error) {
	switch {
	case c.closed || c.net.ctx.Err() != nil:
		if tcp != nil {
			tcp.SetLinger(0)
			tcp.Close()
		}
		c.forget()
	case err != nil:
		c.closed, c.endNotified = true, true
		c.forget()
		reason := c.net.dialError(err)
		c.observe(link.Fail, false, nil, reason.Error())
		c.handler.End(c, reason)
	default:
		c.observe(link.Open, false, nil, "")
		c.attach(tcp)
		c.net.tasks.Go(c.readLoop)
		c.handler.Up(c)
		c.flush()
	}
}

// dialError returns the error with which a Handler is notified of a failed dial.
func (n *Net) dialError(err error) error {
	var netErr net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return link.ErrRefused
	case errors.Is(err, syscall.ECONNRESET):
		return link.ErrReset
	case errors.As(err, &netErr) && netErr.Timeout():
		return link.ErrTimedOut
	}
	n.recordError(err)
	return link.ErrRefused
}

// Kill ends the process on a modelled machine: its connections are reset and its listeners are closed. Nothing is
// sent on connections that are silent.
func (n *Net) Kill(host string) {
	for addr, l := range n.listeners {
		if hostOf(addr) == host {
			l.Close()
		}
	}
	n.forEachConn(func(c *conn) {
		if c.machine() != host || c.closed {
			return
		}
		c.markClosed()
		switch {
		case c.silent:
		case c.frozen: // the partition drops the reset
			c.silence()
		default:
			c.observe(link.Reset, c.accepted, nil, "killed")
			c.abort()
		}
		c.resume()
	})
}

// hostOf returns the host part of an address.
func hostOf(addr string) string {
	if i := strings.LastIndexByte(addr, ':'); i >= 0 {
		return addr[:i]
	}
	return addr
}
