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
	net  *Net
	name string

	mu         sync.Mutex
	dead       bool
	dialCounts map[string]uint64
}

// Host gives the process on a machine: after Kill a new one.
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
	l := &hostListener{net: h.net, addr: netAddr(addr)}
	l.nonEmpty.L = &l.mu
	if !h.net.listen(addr, l) {
		return fail(os.NewSyscallError("bind", syscall.EADDRINUSE))
	}
	return l, nil
}

// Dial opens a connection. It fails as a net.Dialer does.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	p := newPort(h.net)
	p.dialDone = make(chan struct{})
	h.mu.Lock()
	dead := h.dead
	h.dialCounts[addr]++
	key := loop.Key{Source: h.name + " dial " + addr, Sequence: h.dialCounts[addr] * 2}
	h.mu.Unlock()
	err := ctx.Err()
	switch {
	case dead:
		err = net.ErrClosed
	case err == nil:
		h.net.loop.Post(key, func() { h.dialOnLoop(addr, p) })
		select {
		case <-p.dialDone:
		case <-ctx.Done():
			select {
			case <-p.dialDone: // it came up first
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

// dialOnLoop dials, on the loop.
func (h *Host) dialOnLoop(addr string, p *port) {
	h.mu.Lock()
	dead := h.dead
	h.mu.Unlock()
	if dead {
		p.kill()
		return
	}
	c := h.net.newConn(h.name, addr)
	p.attach(&c.ends[0])
	c.dial(0)
}

// hostListener is a node's listener, with its queue of connections that no
// goroutine has taken yet.
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

// Close implements net.Listener. Those in the queue are reset.
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

// processKilled: the connections of a killed process are seen to by Kill.
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

// dialError is what a node is told of a connection that did not come up.
func dialError(why error) error {
	if why == link.ErrTimedOut {
		return os.NewSyscallError("connect", syscall.ETIMEDOUT)
	}
	return os.NewSyscallError("connect", syscall.ECONNREFUSED)
}
