package network

import (
	"fmt"
	"syscall"
	"time"

	"olivebridge/internal/lab/link"
)

// listener accepts incoming connections.
type listener interface {
	// handleConn receives the accepting end of a connection. It is called on the loop.
	handleConn(e *end)
	// processKilled is called when the process of the listener was killed.
	processKilled()
}

// modelListener is the listener of a modelled service.
type modelListener struct {
	net    *Net
	addr   string
	accept func(link.Conn) link.Handler
}

// Listen implements link.Fabric.
func (n *Net) Listen(addr string, accept func(link.Conn) link.Handler) (link.Listener, error) {
	l := &modelListener{n, addr, accept}
	if !n.listen(addr, l) {
		return nil, fmt.Errorf("listen %s: %w", addr, syscall.EADDRINUSE)
	}
	return l, nil
}

func (l *modelListener) handleConn(e *end) {
	if e.handler = l.accept(e); e.handler == nil {
		e.abort("not taken")
	}
}

func (l *modelListener) processKilled() {}

// Close implements link.Listener.
func (l *modelListener) Close() { l.net.unlisten(l.addr, l) }

// listen registers a listener, and reports whether the address was free.
func (n *Net) listen(addr string, l listener) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return false
	}
	n.listeners[addr] = l
	return true
}

func (n *Net) unlisten(addr string, l listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] == l { // a later listener may have taken the address
		delete(n.listeners, addr)
	}
}

// Dial implements link.Fabric.
func (n *Net) Dial(from, to string, timeout time.Duration, h link.Handler) link.Conn {
	c := n.newConn(from, to)
	c.ends[0].handler = h
	c.dial(timeout)
	return &c.ends[0]
}

// dial requests the connection. A timeout of zero or less means kernelDialTimeout.
func (c *conn) dial(timeout time.Duration) {
	if timeout <= 0 {
		timeout = kernelDialTimeout
	}
	c.net.observe(link.Dial, c, false, nil, "")
	c.dialTimer = c.net.loop.After(timeout, func() { c.ends[0].dialFailed(link.ErrTimedOut) })
	c.ends[0].send(syn, nil, nil)
}

// connect processes the request on the machine that was dialed. Its kernel accepts the connection before a program
// there does.
func (c *conn) connect() {
	n, e := c.net, &c.ends[1]
	n.mu.Lock()
	l := n.listeners[c.to]
	n.mu.Unlock()
	if l == nil {
		e.send(refusal, nil, nil)
		e.closed = true
		return
	}
	e.up, e.held = true, true
	n.conns[c.id] = c // the end that dialed may have released it already
	n.observe(link.Open, c, true, nil, "")
	e.send(synAck, nil, nil)
	l.handleConn(e)
}

// connected processes the acceptance at the end that dialed.
func (e *end) connected() {
	if e.closed {
		e.reset(link.ErrReset)
		return
	}
	e.up = true
	e.conn.dialTimer.Stop()
	e.conn.net.observe(link.Open, e.conn, false, nil, "")
	if e.port != nil {
		e.port.connected()
		return
	}
	e.flush()
	e.handler.Up(e)
}

// dialFailed reports to the program that dialed that the connection could not be established.
func (e *end) dialFailed(err error) {
	if e.closed || e.up {
		return
	}
	e.closed = true
	e.conn.dialTimer.Stop()
	e.conn.net.observe(link.Fail, e.conn, false, nil, err.Error())
	e.release()
	if e.port != nil {
		e.port.dialFailed(err)
		return
	}
	e.handler.End(e, err)
}
