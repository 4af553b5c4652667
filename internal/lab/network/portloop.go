package network

import (
	"net"

	"olivebridge/internal/lab/link"
)

// This file holds the methods of a port that run on the loop.

// connected reports that the connection that the node dialed is up.
func (p *port) connected() { close(p.dialDone) }

// dialFailed reports that the connection that the node dialed could not be established.
func (p *port) dialFailed(err error) {
	p.err = dialError(err)
	close(p.dialDone)
}

// cancelDial abandons a dial whose context has ended. A connection that was established nevertheless is closed.
func (p *port) cancelDial() {
	if p.end != nil {
		p.end.closeBoth(p.dropUnread())
	}
}

// receiveData stores received bytes. The port takes ownership of b.
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

// receiveFin records that the other side has ended its sending.
func (p *port) receiveFin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finReceived = true
	p.readCond.Broadcast()
}

// receiveReset records that the connection was reset.
func (p *port) receiveReset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetReceived = true
	p.readCond.Broadcast()
	p.writeCond.Broadcast()
}

// releaseWindow frees n bytes of the window after the other side has read them.
func (p *port) releaseWindow(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.windowUsed -= n
	p.writeCond.Broadcast()
}

// kill makes all calls fail, since the process was killed.
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

// dataRead records that the node has read b.
func (e *end) dataRead(b []byte) {
	e.conn.net.observe(link.Read, e.conn, e.side == 0, b, "")
	e.other().releaseWindow(len(b))
}
