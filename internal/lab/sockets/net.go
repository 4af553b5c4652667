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

// Anyone is the host of whoever dials and is no Guest.
const Anyone = "anyone"

// Net is the network. Its methods belong to the loop, or to whoever has not yet
// started it, but for Resolve, MapAddress and Place, which are safe for concurrent
// use, and Close, which may also be called when the loop has ended.
type Net struct {
	Seed uint64 // of what chance decides: HushNew

	loop  *loop.Loop
	tap   link.Tap
	book  *book
	life  context.Context // ends with Close
	end   context.CancelFunc
	tasks sync.WaitGroup
	posts atomic.Uint64

	listeners map[string]*listener // by the world's address
	doors     map[door]*entrance
	dials     map[string]uint64 // how many connections there were, by "from>host"
	conns     map[string]*conn  // those that hold a socket, or are to, by ID

	absent map[string]bool // machines that have vanished
	cuts   []*cut
	hushes []*hushing

	mu      sync.Mutex
	trouble error
}

var (
	_ link.Fabric        = (*Net)(nil)
	_ link.AddressMapper = (*Net)(nil)
)

// New makes a network. tap sees what crosses it, as far as the world's ends do,
// and may be nil.
func New(l *loop.Loop, tap link.Tap) *Net {
	n := &Net{
		loop: l, tap: tap, book: newBook(),
		listeners: map[string]*listener{}, doors: map[door]*entrance{},
		dials: map[string]uint64{}, conns: map[string]*conn{}, absent: map[string]bool{},
	}
	n.life, n.end = context.WithCancel(context.Background())
	return n
}

// Guest names the machine of a program that is not of the world: a node. It
// reaches each machine of the world at an address of its own (see MapAddress), by
// which its connections are told from others'. Guests are named before anybody
// listens.
func (n *Net) Guest(host string) { n.book.guest(host) }

// Place gives a machine its loopback address; one that is not placed gets it
// when it is first met.
func (n *Net) Place(host string) { n.book.place(host) }

// Resolve is the real address, for anyone, of an address of the world's or of a Guest.
func (n *Net) Resolve(addr string) string { return n.MapAddress("", addr) }

// MapAddress implements link.AddressMapper.
func (n *Net) MapAddress(by, addr string) string {
	at, err := n.book.at(by, addr)
	if err != nil {
		n.note(err)
	}
	return at
}

// Trouble is the first thing that this machine itself had against a connection,
// descriptors used up, say: what followed is no model's doing.
func (n *Net) Trouble() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.trouble
}

func (n *Net) note(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.trouble == nil && n.life.Err() == nil {
		n.trouble = fmt.Errorf("sockets: %w", err)
	}
}

// Open counts the connections of a host that are up, by either end.
func (n *Net) Open(host string) int {
	open := 0
	for _, c := range n.conns { // a sum: in any order
		if c.tcp != nil && !c.gone && (c.from == host || c.host == host) {
			open++
		}
	}
	return open
}

// Close ends everything, and returns once no goroutine of the network is left.
func (n *Net) Close() {
	n.end()
	for _, d := range n.doors {
		d.tcp.Close()
	}
	for _, c := range n.conns {
		c.gone = true
		c.abort()
	}
	n.tasks.Wait()
}

// post lets f run on the loop, after all that was posted before.
func (n *Net) post(f func()) { n.loop.Post(loop.Key{Sequence: n.posts.Add(1)}, f) }

// do lets f run on the loop and waits until it has; false: the network is closed,
// and f may still run.
func (n *Net) do(f func()) bool {
	done := make(chan struct{})
	n.post(func() {
		f()
		close(done)
	})
	select {
	case <-done:
		return true
	case <-n.life.Done():
		return false
	}
}

// each calls f for every connection, in the order of the names.
func (n *Net) each(f func(c *conn)) {
	for _, id := range slices.Sorted(maps.Keys(n.conns)) {
		if c := n.conns[id]; c != nil { // f may have ended it
			f(c)
		}
	}
}

// Dial implements link.Fabric. No timeout leaves the kernel's.
func (n *Net) Dial(from, to string, timeout time.Duration, h link.Handler) link.Conn {
	c := n.newConn(from, to, h)
	at, parted := n.Resolve(to), n.parted(from, c.host)
	if timeout <= 0 {
		timeout = kernelPatience
	}
	ctx, stop := context.WithTimeout(n.life, timeout)
	c.stop = stop
	c.see(link.Dial, false, nil, "")
	n.tasks.Go(func() {
		defer stop()
		if parted {
			<-ctx.Done()
			n.do(func() { c.dialed(nil, ctx.Err()) })
			return
		}
		var d net.Dialer
		s, err := d.DialContext(ctx, "tcp", at)
		tcp, _ := s.(*net.TCPConn)
		if !n.do(func() { c.dialed(tcp, err) }) && tcp != nil {
			tcp.Close()
		}
	})
	return c
}

// kernelPatience is how long a machine goes on asking for a connection.
const kernelPatience = 127 * time.Second

// dialed is what came of a dial.
func (c *conn) dialed(tcp *net.TCPConn, err error) {
	switch {
	case c.gone || c.n.life.Err() != nil:
		if tcp != nil {
			tcp.SetLinger(0)
			tcp.Close()
		}
		c.forget()
	case err != nil:
		c.gone, c.ended = true, true
		c.forget()
		why := c.n.reason(err)
		c.see(link.Fail, false, nil, why.Error())
		c.h.End(c, why)
	default:
		c.see(link.Open, false, nil, "")
		c.up(tcp)
		c.n.tasks.Go(c.readAll)
		c.h.Up(c)
		c.flush()
	}
}

// reason is what a Handler hears of a failed dial.
func (n *Net) reason(err error) error {
	var late net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return link.ErrRefused
	case errors.Is(err, syscall.ECONNRESET):
		return link.ErrReset
	case errors.As(err, &late) && late.Timeout():
		return link.ErrTimedOut
	}
	n.note(err)
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
	n.each(func(c *conn) {
		if c.machine() != host || c.gone {
			return
		}
		c.leave()
		switch {
		case c.silent:
		case c.frozen: // the resets are lost
			c.silence()
		default:
			c.see(link.Reset, c.taken, nil, "killed")
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
