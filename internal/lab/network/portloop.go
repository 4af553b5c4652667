package network

import (
	"net"

	"olivebridge/internal/lab/link"
)

// This file is the loop's side of a port.

// granted: the connection that the node dialed is up.
func (p *port) granted() { close(p.done) }

// failed: it does not come up.
func (p *port) failed(why error) {
	p.err = dialError(why)
	close(p.done)
}

// callOff: the node does not wait any longer for what it dialed. If it has come
// up after all, it is closed as it is.
func (p *port) callOff() {
	if p.e != nil {
		p.e.shut(p.unread())
	}
}

// arrived takes in bytes, which are nobody else's.
func (p *port) arrived(b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.in) == 0 {
		p.in = b[:len(b):len(b)]
	} else {
		p.in = append(p.in, b...)
	}
	p.readable.Broadcast()
}

// arrivedEnd: the other side has ended its sending.
func (p *port) arrivedEnd() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	p.readable.Broadcast()
}

// broke: the connection was reset.
func (p *port) broke() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reset = true
	p.readable.Broadcast()
	p.writable.Broadcast()
}

// credit: the other side has read n bytes.
func (p *port) credit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used -= n
	p.writable.Broadcast()
}

// kill: the process is no more.
func (p *port) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed, p.in = true, nil
	p.stop()
	if p.done != nil && (p.e == nil || !p.e.up) {
		p.err = net.ErrClosed
		close(p.done)
	}
}

// read: the node has taken bytes.
func (e *end) read(b []byte) {
	e.c.n.see(link.Read, e.c, e.side == 0, b, "")
	e.other().credit(len(b))
}
