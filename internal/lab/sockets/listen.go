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
	net    *Net
	addr   string
	accept func(link.Conn) link.Handler
}

// Listen implements link.Fabric.
func (n *Net) Listen(addr string, accept func(link.Conn) link.Handler) (link.Listener, error) {
	if n.listeners[addr] != nil {
		return nil, fmt.Errorf("listen %s: %w", addr, syscall.EADDRINUSE)
	}
	l := &listener{n, addr, accept}
	for _, by := range n.book.viewers() {
		d := addressView{by, addr}
		if e := n.listenSockets[d]; e != nil { // of a process that ended while its machine was not heard
			e.listener = l
			continue
		}
		tcp, err := n.book.listen(d)
		if err != nil {
			l.releaseSockets()
			return nil, fmt.Errorf("listen %s: %w", addr, err)
		}
		e := &listenSocket{net: n, view: d, tcp: tcp, listener: l}
		n.listenSockets[d] = e
		e.setBlocked(n.unreachable(by, hostOf(addr)))
		n.tasks.Go(e.acceptLoop)
	}
	n.listeners[addr] = l
	return l, nil
}

// Close implements link.Listener.
func (l *listener) Close() {
	if l.net.listeners[l.addr] == l {
		delete(l.net.listeners, l.addr)
		l.releaseSockets()
	}
}

func (l *listener) releaseSockets() {
	for _, by := range l.net.book.viewers() {
		if e := l.net.listenSockets[addressView{by, l.addr}]; e != nil && e.listener == l {
			e.listener = nil
			if e.blocked == nil {
				e.close()
			}
		}
	}
}

// listenSocket is a listening socket. While its machine is not heard, connections
// to it time out, and it stays even though whoever listened has gone: a close
// would let the kernel refuse them.
type listenSocket struct {
	net      *Net
	view     addressView
	tcp      *net.TCPListener
	listener *listener // nil: nobody listens any more

	blocked     chan struct{} // not nil: it takes no connections until this is closed
	stopFilling context.CancelFunc
	fillerAddr  string // the address of the connection that fills its queue
}

func (e *listenSocket) close() {
	delete(e.net.listenSockets, e.view)
	e.tcp.Close()
}

// Lengths of a queue: the usual, and the shortest there is, which one connection
// fills. The kernel then drops what asks for another, as if nobody was there.
const (
	defaultBacklog = 4096
	minBacklog     = 0
)

// setBlocked takes an entrance off the network, or brings it back.
func (e *listenSocket) setBlocked(deaf bool) {
	switch {
	case deaf && e.blocked == nil:
		e.blocked = make(chan struct{})
		e.tcp.SetDeadline(time.Unix(1, 0)) // accepting ends
		e.setBacklog(minBacklog)
		ctx, stop := context.WithCancel(e.net.ctx)
		e.stopFilling = stop
		e.net.tasks.Go(func() { e.fillBacklog(ctx) })
	case !deaf && e.blocked != nil:
		e.stopFilling()
		e.setBacklog(defaultBacklog)
		e.tcp.SetDeadline(time.Time{})
		close(e.blocked)
		e.blocked = nil
		if e.listener == nil {
			e.close()
		}
	}
}

func (e *listenSocket) setBacklog(length int) {
	raw, err := e.tcp.SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), length) })
	}
	if err != nil {
		e.net.recordError(err)
	}
}

// fillBacklog holds a connection to the entrance, the one that its queue has room for.
func (e *listenSocket) fillBacklog(ctx context.Context) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", e.tcp.Addr().String())
	if err != nil {
		return // somebody else's connection is there
	}
	defer c.Close()
	e.net.runOnLoop(func() { e.fillerAddr = c.LocalAddr().String() })
	<-ctx.Done()
}

// acceptRetryDelay is when to accept again after this machine could not.
const acceptRetryDelay = 10 * time.Millisecond

// acceptLoop brings connections to the loop, one at a time.
func (e *listenSocket) acceptLoop() {
	for e.net.ctx.Err() == nil {
		c, err := e.tcp.AcceptTCP()
		switch {
		case err == nil:
			if !e.net.runOnLoop(func() { e.accept(c) }) {
				c.Close()
			}
		case errors.Is(err, os.ErrDeadlineExceeded):
			var heard chan struct{}
			if e.net.runOnLoop(func() { heard = e.blocked }) && heard != nil {
				select {
				case <-heard:
				case <-e.net.ctx.Done():
				}
			}
		case errors.Is(err, net.ErrClosed):
			return
		default:
			e.net.recordError(err)
			select {
			case <-time.After(acceptRetryDelay):
			case <-e.net.ctx.Done():
			}
		}
	}
}

// accept gives a connection to whoever listens.
func (e *listenSocket) accept(tcp *net.TCPConn) {
	if e.net.ctx.Err() != nil {
		tcp.Close()
		return
	}
	if tcp.RemoteAddr().String() == e.fillerAddr {
		e.fillerAddr = ""
		tcp.Close()
		return
	}
	from := e.view.viewer
	if from == "" {
		from = AnonymousHost
	}
	c := e.net.newConn(from, e.view.addr, nil)
	c.accepted = true
	c.attach(tcp)
	c.observe(link.Open, true, nil, "")
	c.frozen = e.net.partitioned(from, c.host)
	if e.blocked != nil && !c.frozen { // it came just before its machine vanished
		c.silent, c.machineVanished = true, true
	}
	if e.listener != nil {
		c.drawSilencePlan()
		c.handler = e.listener.accept(c)
	}
	if c.handler == nil {
		c.markClosed()
		c.observe(link.Reset, true, nil, "not taken")
		c.abort()
		return
	}
	e.net.tasks.Go(c.readLoop)
}
