// Package sockets carries the bytes of the lab between machines over loopback
// TCP, in real time: the world's ends hang on it by callbacks (it is a
// link.Fabric, beside the in-memory package network), the nodes are programs of
// their own and hang on nothing but their sockets.
//
// A loop.Loop on the machine's clock runs all callbacks. Each connection has one
// goroutine that reads, and waits until the loop has taken what it read; writes
// go out from the loop, and only what the kernel has no room for waits with a
// goroutine that writes. So nothing piles up beyond what a Handler writes.
//
// What sockets cannot do, or cannot tell:
//   - ErrUnread is never heard. A reset does not say what the other side had
//     read: it is ErrReset.
//   - While an end is held, a reset is heard only once it is not held any more.
//   - The way takes what loopback takes. Slow does nothing, and the delays, pieces
//     and rates of a world are not played.
//   - The network's faults happen at the world's ends, which stop reading and
//     writing; connections between two nodes, or from a node to whatever is not of
//     the world, know of none.
//   - A machine that vanishes while no process of it listens refuses connections,
//     instead of saying nothing.
//   - A Tap sees what the world's ends see: of a connection to or from a node, one side.
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

// AnonymousHost is the host of whoever dials and is no Guest.
const AnonymousHost = "anyone"

// Net is the network. Its methods belong to the loop, or to whoever has not yet
// started it, but for Resolve, MapAddress and Place, which are safe for concurrent
// use, and Close, which may also be called when the loop has ended.
type Net struct {
	Seed uint64 // of what chance decides: HushNew

	loop   *loop.Loop
	tap    link.Tap
	book   *addressBook
	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	posts  atomic.Uint64

	listeners     map[string]*listener // by the world's address
	listenSockets map[addressView]*listenSocket
	dialCounts    map[string]uint64 // how many connections there were, by "from>host"
	conns         map[string]*conn  // those that hold a socket, or are to, by ID

	vanished      map[string]bool // machines that have vanished
	partitions    []*partition
	silenceFaults []*silenceFault

	mu         sync.Mutex
	firstError error
}

var (
	_ link.Fabric        = (*Net)(nil)
	_ link.AddressMapper = (*Net)(nil)
)

// New makes a network. tap sees what crosses it, as far as the world's ends do,
// and may be nil.
func New(l *loop.Loop, tap link.Tap) *Net {
	n := &Net{
		loop: l, tap: tap, book: newAddressBook(),
		listeners: map[string]*listener{}, listenSockets: map[addressView]*listenSocket{},
		dialCounts: map[string]uint64{}, conns: map[string]*conn{}, vanished: map[string]bool{},
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// AddNode names the machine of a program that is not of the world: a node. It
// reaches each machine of the world at an address of its own (see MapAddress), by
// which its connections are told from others'. Guests are named before anybody
// listens.
func (n *Net) AddNode(host string) { n.book.addNode(host) }

// Place gives a machine its loopback address; one that is not placed gets it
// when it is first met.
func (n *Net) Place(host string) { n.book.assignIP(host) }

// Resolve is the real address, for anyone, of an address of the world's or of a Guest.
func (n *Net) Resolve(addr string) string { return n.MapAddress("", addr) }

// MapAddress implements link.AddressMapper.
func (n *Net) MapAddress(by, addr string) string {
	at, err := n.book.realAddr(by, addr)
	if err != nil {
		n.recordError(err)
	}
	return at
}

// FirstError is the first thing that this machine itself had against a connection,
// descriptors used up, say: what followed is no model's doing.
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

// Open counts the connections of a host that are up, by either end.
func (n *Net) Open(host string) int {
	open := 0
	for _, c := range n.conns { // a sum: in any order
		if c.tcp != nil && !c.closed && (c.from == host || c.host == host) {
			open++
		}
	}
	return open
}

// Close ends everything, and returns once no goroutine of the network is left.
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

// post lets f run on the loop, after all that was posted before.
func (n *Net) post(f func()) { n.loop.Post(loop.Key{Sequence: n.posts.Add(1)}, f) }

// runOnLoop lets f run on the loop and waits until it has; false: the network is closed,
// and f may still run.
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

// forEachConn calls f for every connection, in the order of the names.
func (n *Net) forEachConn(f func(c *conn)) {
	for _, id := range slices.Sorted(maps.Keys(n.conns)) {
		if c := n.conns[id]; c != nil { // f may have ended it
			f(c)
		}
	}
}

// Dial implements link.Fabric. No timeout leaves the kernel's.
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

// kernelDialTimeout is how long a machine goes on asking for a connection.
const kernelDialTimeout = 127 * time.Second

// dialDone is what came of a dial.
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
		why := c.net.dialError(err)
		c.observe(link.Fail, false, nil, why.Error())
		c.handler.End(c, why)
	default:
		c.observe(link.Open, false, nil, "")
		c.attach(tcp)
		c.net.tasks.Go(c.readLoop)
		c.handler.Up(c)
		c.flush()
	}
}

// dialError is what a Handler hears of a failed dial.
func (n *Net) dialError(err error) error {
	var late net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return link.ErrRefused
	case errors.Is(err, syscall.ECONNRESET):
		return link.ErrReset
	case errors.As(err, &late) && late.Timeout():
		return link.ErrTimedOut
	}
	n.recordError(err)
	return link.ErrRefused
}

// Kill ends the process on a machine of the world's: its connections are reset,
// its listeners are no more. Of connections that are silent nothing is heard.
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
		case c.frozen: // the resets are lost
			c.silence()
		default:
			c.observe(link.Reset, c.accepted, nil, "killed")
			c.abort()
		}
		c.resume()
	})
}

// hostOf is the machine of an address.
func hostOf(addr string) string {
	if i := strings.LastIndexByte(addr, ':'); i >= 0 {
		return addr[:i]
	}
	return addr
}
