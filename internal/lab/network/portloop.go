package network

import (
	"net"

	"olivebridge/internal/lab/link"
)

// This file is the loop's side of a port.

// connected: the connection that the node dialed is up.
func (p *port) connected() { close(p.dialDone) }

// dialFailed: it does not come up.
func (p *port) dialFailed(why error) {
	p.err = dialError(why)
	close(p.dialDone)
}

// cancelDial: the node does not wait any longer for what it dialed. If it has come
// up after all, it is closed as it is.
func (p *port) cancelDial() {
	if p.end != nil {
		p.end.closeBoth(p.dropUnread())
	}
}

// receiveData takes in bytes, which are nobody else's.
func (p *port) receiveData(b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.received) == 0 {
		p.received = b[:len(b):len(b)]
	} else {
		p.received = append(p.received, b...)
	}
	p.readCond.Broadcast()
}

// receiveFin: the other side has ended its sending.
func (p *port) receiveFin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finReceived = true
	p.readCond.Broadcast()
}

// receiveReset: the connection was reset.
func (p *port) receiveReset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetReceived = true
	p.readCond.Broadcast()
	p.writeCond.Broadcast()
}

// releaseWindow: the other side has read n bytes.
func (p *port) releaseWindow(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.windowUsed -= n
	p.writeCond.Broadcast()
}

// kill: the process is no more.
func (p *port) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed, p.received = true, nil
	p.stop()
	if p.dialDone != nil && (p.end == nil || !p.end.up) {
		p.err = net.ErrClosed
		close(p.dialDone)
	}
}

// dataRead: the node has taken bytes.
func (e *end) dataRead(b []byte) {
	e.conn.net.observe(link.Read, e.conn, e.side == 0, b, "")
	e.other().releaseWindow(len(b))
}
