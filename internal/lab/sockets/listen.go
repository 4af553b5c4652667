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

// listener is the listener of a modelled service. It has one listening socket per viewer.
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
	for _, viewer := range n.book.viewers() {
		view := addressView{viewer, addr}
		if s := n.listenSockets[view]; s != nil { // of a process that ended while its machine was unreachable
			s.listener = l
			continue
		}
		tcp, err := n.book.listen(view)
		if err != nil {
			l.releaseSockets()
			return nil, fmt.Errorf("listen %s: %w", addr, err)
		}
		s := &listenSocket{net: n, view: view, tcp: tcp, listener: l}
		n.listenSockets[view] = s
		s.setBlocked(n.unreachable(viewer, hostOf(addr)))
		n.tasks.Go(s.acceptLoop)
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
	for _, viewer := range l.net.book.viewers() {
		if s := l.net.listenSockets[addressView{viewer, l.addr}]; s != nil && s.listener == l {
			s.listener = nil
			if s.blocked == nil {
				s.close()
			}
		}
	}
}

// listenSocket is a listening socket. While its machine is unreachable, connections to it time out. It then stays
// open even after its listener was closed, since the kernel would refuse connections to a closed socket.
type listenSocket struct {
	net      *Net
	view     addressView
	tcp      *net.TCPListener
	listener *listener // nil: the listener was closed

	blocked     chan struct{} // not nil: no connection is accepted until the channel is closed
	stopFilling context.CancelFunc
	fillerAddr  string // local address of the connection that fills the backlog
}

func (s *listenSocket) close() {
	delete(s.net.listenSockets, s.view)
	s.tcp.Close()
}

// Lengths of the accept backlog: the default, and the minimum, which one connection fills. The kernel then drops
// further SYNs, as if the machine did not exist.
const (
	defaultBacklog = 4096
	minBacklog     = 0
)

// setBlocked takes a listening socket off the network, or brings it back.
func (s *listenSocket) setBlocked(blocked bool) {
	switch {
	case blocked && s.blocked == nil:
		s.blocked = make(chan struct{})
		s.tcp.SetDeadline(time.Unix(1, 0)) // interrupts Accept
		s.setBacklog(minBacklog)
		ctx, stop := context.WithCancel(s.net.ctx)
		s.stopFilling = stop
		s.net.tasks.Go(func() { s.fillBacklog(ctx) })
	case !blocked && s.blocked != nil:
		s.stopFilling()
		s.setBacklog(defaultBacklog)
		s.tcp.SetDeadline(time.Time{})
		close(s.blocked)
		s.blocked = nil
		if s.listener == nil {
			s.close()
		}
	}
}

func (s *listenSocket) setBacklog(length int) {
	raw, err := s.tcp.SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), length) })
	}
	if err != nil {
		s.net.recordError(err)
	}
}

// fillBacklog keeps a connection open that fills the backlog, until ctx ends.
func (s *listenSocket) fillBacklog(ctx context.Context) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", s.tcp.Addr().String())
	if err != nil {
		return // another program's connection fills the backlog
	}
	defer c.Close()
	s.net.runOnLoop(func() { s.fillerAddr = c.LocalAddr().String() })
	<-ctx.Done()
}

// acceptRetryDelay is the pause before the next accept after the operating system failed one.
const acceptRetryDelay = 10 * time.Millisecond

// acceptLoop accepts connections and passes them to the loop, one at a time.
func (s *listenSocket) acceptLoop() {
	for s.net.ctx.Err() == nil {
		c, err := s.tcp.AcceptTCP()
		switch {
		case err == nil:
			if !s.net.runOnLoop(func() { s.accept(c) }) {
				c.Close()
			}
		case errors.Is(err, os.ErrDeadlineExceeded):
			var unblocked chan struct{}
			if s.net.runOnLoop(func() { unblocked = s.blocked }) && unblocked != nil {
				select {
				case <-unblocked:
				case <-s.net.ctx.Done():
				}
			}
		case errors.Is(err, net.ErrClosed):
			return
		default:
			s.net.recordError(err)
			select {
			case <-time.After(acceptRetryDelay):
			case <-s.net.ctx.Done():
			}
		}
	}
}

// accept passes a connection to the listener, if there is one.
func (s *listenSocket) accept(tcp *net.TCPConn) {
	if s.net.ctx.Err() != nil {
		tcp.Close()
		return
	}
	if tcp.RemoteAddr().String() == s.fillerAddr {
		s.fillerAddr = ""
		tcp.Close()
		return
	}
	from := s.view.viewer
	if from == "" {
		from = AnonymousHost
	}
	c := s.net.newConn(from, s.view.addr, nil)
	c.accepted = true
	c.attach(tcp)
	c.observe(link.Open, true, nil, "")
	c.frozen = s.net.partitioned(from, c.host)
	if s.blocked != nil && !c.frozen { // it was accepted just before its machine vanished
		c.silent, c.machineVanished = true, true
	}
	if s.listener != nil {
		c.drawSilencePlan()
		c.handler = s.listener.accept(c)
	}
	if c.handler == nil {
		c.markClosed()
		c.observe(link.Reset, true, nil, "not taken")
		c.abort()
		return
	}
	s.net.tasks.Go(c.readLoop)
}
