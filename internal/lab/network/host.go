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

// Host is a process on a machine, from which a node listens and dials. Its
// methods are safe for concurrent use.
type Host struct {
	n    *Net
	name string

	mu    sync.Mutex
	dead  bool
	dials map[string]uint64
}

// Host gives the process on a machine: after Kill a new one.
func (n *Net) Host(name string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hosts[name]
	if h == nil {
		h = &Host{n: n, name: name, dials: map[string]uint64{}}
		n.hosts[name] = h
	}
	return h
}

// netAddr is an address as the node sees it.
type netAddr string

func (netAddr) Network() string  { return "tcp" }
func (a netAddr) String() string { return string(a) }

// Listen listens at an address of this machine; it may leave the host out.
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
	if h.dead {
		return fail(net.ErrClosed)
	}
	l := &hostListener{n: h.n, addr: netAddr(addr)}
	l.came.L = &l.mu
	if !h.n.listen(addr, l) {
		return fail(os.NewSyscallError("bind", syscall.EADDRINUSE))
	}
	return l, nil
}

// Dial opens a connection. It fails as a net.Dialer does.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	p := newPort(h.n)
	p.done = make(chan struct{})
	h.mu.Lock()
	dead := h.dead
	h.dials[addr]++
	key := loop.Key{Source: h.name + " dial " + addr, Sequence: h.dials[addr] * 2}
	h.mu.Unlock()
	err := ctx.Err()
	switch {
	case dead:
		err = net.ErrClosed
	case err == nil:
		h.n.loop.Post(key, func() { h.open(addr, p) })
		select {
		case <-p.done:
		case <-ctx.Done():
			select {
			case <-p.done: // it came up first
			default:
				key.Sequence++
				h.n.loop.Post(key, p.callOff)
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

// open dials, on the loop.
func (h *Host) open(addr string, p *port) {
	h.mu.Lock()
	dead := h.dead
	h.mu.Unlock()
	if dead {
		p.kill()
		return
	}
	c := h.n.newConn(h.name, addr)
	p.bind(&c.ends[0])
	c.dial(0)
}

// hostListener is a node's listener, with its queue of connections that no
// goroutine has taken yet.
type hostListener struct {
	n    *Net
	addr netAddr

	mu     sync.Mutex
	came   sync.Cond
	queue  []*port
	closed bool
}

func (l *hostListener) take(e *end) {
	p := newPort(l.n)
	p.bind(e)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = append(l.queue, p)
	l.came.Signal()
}

// Accept implements net.Listener.
func (l *hostListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.queue) == 0 && !l.closed {
		l.came.Wait()
	}
	if l.closed {
		return nil, l.errClosed("accept")
	}
	p := l.queue[0]
	l.queue = l.queue[1:]
	return p, nil
}

// Close implements net.Listener. Those in the queue are reset.
func (l *hostListener) Close() error {
	queue, ok := l.end()
	if !ok {
		return l.errClosed("close")
	}
	l.n.unlisten(string(l.addr), l)
	for _, p := range queue {
		p.turnAway()
	}
	return nil
}

// die: the connections of a killed process are seen to by Kill.
func (l *hostListener) die() { l.end() }

func (l *hostListener) end() (queue []*port, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue, ok = l.queue, !l.closed
	l.queue, l.closed = nil, true
	l.came.Broadcast()
	return queue, ok
}

func (l *hostListener) errClosed(op string) error {
	return &net.OpError{Op: op, Net: "tcp", Addr: l.addr, Err: net.ErrClosed}
}

// Addr implements net.Listener.
func (l *hostListener) Addr() net.Addr { return l.addr }

// dialError is what a node is told of a connection that did not come up.
func dialError(why error) error {
	if why == link.ErrTimedOut {
		return os.NewSyscallError("connect", syscall.ETIMEDOUT)
	}
	return os.NewSyscallError("connect", syscall.ECONNREFUSED)
}
