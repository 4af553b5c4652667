package network

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"

	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
)

// Host is a process on a machine; a node listens and dials through it. Its methods are safe for concurrent use.
type Host struct {
	net  *Net
	name string

	mu         sync.Mutex
	killed     bool
	dialCounts map[string]uint64
}

// Host returns the process on a machine, which it creates if there is none. After Kill it returns a new one.
func (n *Net) Host(name string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hosts[name]
	if h == nil {
		h = &Host{net: n, name: name, dialCounts: map[string]uint64{}}
		n.hosts[name] = h
	}
	return h
}

// netAddr is an address as a net.Addr.
type netAddr string

func (netAddr) Network() string  { return "tcp" }
func (a netAddr) String() string { return string(a) }

// Listen listens at an address of this machine, whose host part may be empty.
func (h *Host) Listen(addr string) (net.Listener, error) {
	if host := hostOf(addr); host == "" || host == "0.0.0.0" || host == "[::]" {
		addr = h.name + addr[len(host):]
	}
	fail := func(err error) (net.Listener, error) {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: netAddr(addr), Err: err}
	}
	if hostOf(addr) != h.name {
		return fail(os.NewSyscallError("bind", syscall.EADDRNOTAVAIL))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.killed {
		return fail(net.ErrClosed)
	}
	l := &hostListener{net: h.net, addr: netAddr(addr)}
	l.nonEmpty.L = &l.mu
	if !h.net.listen(addr, l) {
		return fail(os.NewSyscallError("bind", syscall.EADDRINUSE))
	}
	return l, nil
}

// Dial opens a connection. It returns the errors that a net.Dialer would return.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	p := newPort(h.net)
	p.dialDone = make(chan struct{})
	h.mu.Lock()
	killed := h.killed
	h.dialCounts[addr]++
	key := loop.Key{Source: h.name + " dial " + addr, Sequence: h.dialCounts[addr] * 2}
	h.mu.Unlock()
	err := ctx.Err()
	switch {
	case killed:
		err = net.ErrClosed
	case err == nil:
		h.net.loop.Post(key, func() { h.dialOnLoop(addr, p) })
		select {
		case <-p.dialDone:
		case <-ctx.Done():
			select {
			case <-p.dialDone: // the dial was completed before ctx ended
			default:
				key.Sequence++
				h.net.loop.Post(key, p.cancelDial)
				err = ctx.Err()
			}
		}
		if err == nil {
			err = p.err
		}
	}
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: netAddr(addr), Err: err}
	}
	return p, nil
}

// dialOnLoop dials. It runs on the loop.
func (h *Host) dialOnLoop(addr string, p *port) {
	h.mu.Lock()
	killed := h.killed
	h.mu.Unlock()
	if killed {
		p.kill()
		return
	}
	c := h.net.newConn(h.name, addr)
	p.attach(&c.ends[0])
	c.dial(0)
}

// hostListener is the listener of a node, with the queue of connections that Accept has not yet returned.
type hostListener struct {
	net  *Net
	addr netAddr

	mu       sync.Mutex
	nonEmpty sync.Cond
	queue    []*port
	closed   bool
}

func (l *hostListener) handleConn(e *end) {
	p := newPort(l.net)
	p.attach(e)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = append(l.queue, p)
	l.nonEmpty.Signal()
}

// Accept implements net.Listener.
func (l *hostListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.queue) == 0 && !l.closed {
		l.nonEmpty.Wait()
	}
	if l.closed {
		return nil, l.errClosed("accept")
	}
	p := l.queue[0]
	l.queue = l.queue[1:]
	return p, nil
}

// Close implements net.Listener. It resets the connections in the queue.
func (l *hostListener) Close() error {
	queue, ok := l.closeQueue()
	if !ok {
		return l.errClosed("close")
	}
	l.net.unlisten(string(l.addr), l)
	for _, p := range queue {
		p.closeUnaccepted()
	}
	return nil
}

// processKilled implements listener. Net.Kill resets the connections of the process.
func (l *hostListener) processKilled() { l.closeQueue() }

func (l *hostListener) closeQueue() (queue []*port, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue, ok = l.queue, !l.closed
	l.queue, l.closed = nil, true
	l.nonEmpty.Broadcast()
	return queue, ok
}

func (l *hostListener) errClosed(op string) error {
	return &net.OpError{Op: op, Net: "tcp", Addr: l.addr, Err: net.ErrClosed}
}

// Addr implements net.Listener.
func (l *hostListener) Addr() net.Addr { return l.addr }

// dialError returns the error of a net.Dialer for a connection that could not be established.
func dialError(err error) error {
	if err == link.ErrTimedOut {
		return os.NewSyscallError("connect", syscall.ETIMEDOUT)
	}
	return os.NewSyscallError("connect", syscall.ECONNREFUSED)
}
