package network

import (
	"fmt"
	"syscall"
	"time"

	"olivebridge/internal/lab/link"
)

// listener takes connections that come.
type listener interface {
	// handleConn is given the end here. It is called on the loop.
	handleConn(e *end)
	// processKilled: its process was killed.
	processKilled()
}

// modelListener is one of the world's.
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

// listen reports whether the address was free.
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
	if n.listeners[addr] == l { // else a later one has it
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

// dial asks for the connection; no timeout leaves the kernel's.
func (c *conn) dial(timeout time.Duration) {
	if timeout <= 0 {
		timeout = kernelDialTimeout
	}
	c.net.observe(link.Dial, c, false, nil, "")
	c.dialTimer = c.net.loop.After(timeout, func() { c.ends[0].dialFailed(link.ErrTimedOut) })
	c.ends[0].send(syn, nil, nil)
}

// connect is what the machine dialed does when it is asked. Its kernel grants
// the connection before any program there takes it.
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
	n.conns[c.id] = c // whoever dialed may have left
	n.observe(link.Open, c, true, nil, "")
	e.send(synAck, nil, nil)
	l.handleConn(e)
}

// connected brings the connection up where it was dialed.
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

// dialFailed tells who dialed that the connection does not come up.
func (e *end) dialFailed(why error) {
	if e.closed || e.up {
		return
	}
	e.closed = true
	e.conn.dialTimer.Stop()
	e.conn.net.observe(link.Fail, e.conn, false, nil, why.Error())
	e.release()
	if e.port != nil {
		e.port.dialFailed(why)
		return
	}
	e.handler.End(e, why)
}
