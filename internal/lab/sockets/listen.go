package sockets

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"olivebridge/internal/lab/link"
)

// listener is one of the world's. It stands at one entrance for each view.
type listener struct {
	n      *Net
	addr   string
	accept func(link.Conn) link.Handler
}

// Listen implements link.Fabric.
func (n *Net) Listen(addr string, accept func(link.Conn) link.Handler) (link.Listener, error) {
	if n.listeners[addr] != nil {
		return nil, fmt.Errorf("listen %s: %w", addr, syscall.EADDRINUSE)
	}
	l := &listener{n, addr, accept}
	for _, by := range n.book.views() {
		d := door{by, addr}
		if e := n.doors[d]; e != nil { // of a process that ended while its machine was not heard
			e.of = l
			continue
		}
		tcp, err := n.book.listen(d)
		if err != nil {
			l.leave()
			return nil, fmt.Errorf("listen %s: %w", addr, err)
		}
		e := &entrance{n: n, door: d, tcp: tcp, of: l}
		n.doors[d] = e
		e.deafen(n.unheard(by, hostOf(addr)))
		n.tasks.Go(e.run)
	}
	n.listeners[addr] = l
	return l, nil
}

// Close implements link.Listener.
func (l *listener) Close() {
	if l.n.listeners[l.addr] == l {
		delete(l.n.listeners, l.addr)
		l.leave()
	}
}

func (l *listener) leave() {
	for _, by := range l.n.book.views() {
		if e := l.n.doors[door{by, l.addr}]; e != nil && e.of == l {
			e.of = nil
			if e.deaf == nil {
				e.close()
			}
		}
	}
}

// entrance is a listening socket. While its machine is not heard, connections
// to it time out, and it stays even though whoever listened has gone: a close
// would let the kernel refuse them.
type entrance struct {
	n    *Net
	door door
	tcp  *net.TCPListener
	of   *listener // nil: nobody listens any more

	deaf   chan struct{} // not nil: it takes no connections until this is closed
	stop   context.CancelFunc
	filler string // the address of the connection that fills its queue
}

func (e *entrance) close() {
	delete(e.n.doors, e.door)
	e.tcp.Close()
}

// Lengths of a queue: the usual, and the shortest there is, which one connection
// fills. The kernel then drops what asks for another, as if nobody was there.
const (
	usualQueue = 4096
	leastQueue = 0
)

// deafen takes an entrance off the network, or brings it back.
func (e *entrance) deafen(deaf bool) {
	switch {
	case deaf && e.deaf == nil:
		e.deaf = make(chan struct{})
		e.tcp.SetDeadline(time.Unix(1, 0)) // accepting ends
		e.queue(leastQueue)
		ctx, stop := context.WithCancel(e.n.life)
		e.stop = stop
		e.n.tasks.Go(func() { e.fill(ctx) })
	case !deaf && e.deaf != nil:
		e.stop()
		e.queue(usualQueue)
		e.tcp.SetDeadline(time.Time{})
		close(e.deaf)
		e.deaf = nil
		if e.of == nil {
			e.close()
		}
	}
}

func (e *entrance) queue(length int) {
	raw, err := e.tcp.SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), length) })
	}
	if err != nil {
		e.n.note(err)
	}
}

// fill holds a connection to the entrance, the one that its queue has room for.
func (e *entrance) fill(ctx context.Context) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", e.tcp.Addr().String())
	if err != nil {
		return // somebody else's connection is there
	}
	defer c.Close()
	e.n.do(func() { e.filler = c.LocalAddr().String() })
	<-ctx.Done()
}

// again is when to accept again after this machine could not.
const again = 10 * time.Millisecond

// run brings connections to the loop, one at a time.
func (e *entrance) run() {
	for e.n.life.Err() == nil {
		c, err := e.tcp.AcceptTCP()
		switch {
		case err == nil:
			if !e.n.do(func() { e.take(c) }) {
				c.Close()
			}
		case errors.Is(err, os.ErrDeadlineExceeded):
			var heard chan struct{}
			if e.n.do(func() { heard = e.deaf }) && heard != nil {
				select {
				case <-heard:
				case <-e.n.life.Done():
				}
			}
		case errors.Is(err, net.ErrClosed):
			return
		default:
			e.n.note(err)
			select {
			case <-time.After(again):
			case <-e.n.life.Done():
			}
		}
	}
}

// take gives a connection to whoever listens.
func (e *entrance) take(tcp *net.TCPConn) {
	if e.n.life.Err() != nil {
		tcp.Close()
		return
	}
	if tcp.RemoteAddr().String() == e.filler {
		e.filler = ""
		tcp.Close()
		return
	}
	from := e.door.by
	if from == "" {
		from = Anyone
	}
	c := e.n.newConn(from, e.door.addr, nil)
	c.taken = true
	c.up(tcp)
	c.see(link.Open, true, nil, "")
	c.frozen = e.n.parted(from, c.host)
	if e.deaf != nil && !c.frozen { // it came just before its machine vanished
		c.silent, c.lost = true, true
	}
	if e.of != nil {
		c.drawHush()
		c.h = e.of.accept(c)
	}
	if c.h == nil {
		c.leave()
		c.see(link.Reset, true, nil, "not taken")
		c.abort()
		return
	}
	e.n.tasks.Go(c.readAll)
}
