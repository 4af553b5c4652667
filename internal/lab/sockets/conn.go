package sockets

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"olivebridge/internal/lab/link"
)

// conn is the world's end of a connection. All of it belongs to the loop, but
// for the socket itself.
type conn struct {
	net            *Net
	id             string
	from, to, host string // who dialed, the address dialed, and its machine
	accepted       bool   // it was accepted here, not dialed
	handler        link.Handler
	cancelDial     func() // ends a dial
	tcp            *net.TCPConn
	raw            syscall.RawConn

	closed      bool // closed or broken here: the Handler hears nothing more
	endNotified bool // the Handler has heard its End
	paused      bool
	closing     closeMode
	finSent     bool

	sendBuffer  []byte      // what is still to be written
	writing     bool        // a goroutine is at it
	writeFailed bool        // the kernel takes no more
	pendingRead *readResult // what was read and not given out: it is held, or frozen
	readTaken   chan struct{}

	silent          bool // nothing passes any more, either way
	machineVanished bool // since its machine vanished: it breaks when that is back
	frozen          bool // nothing passes for now
	blockedSince    time.Duration
	silencePlan     *silencePlan
}

// closeMode is what is to be done once all is written.
type closeMode uint8

const (
	closeNothing closeMode = iota
	closeSending
	closeBoth
)

// readResult is what one read brought.
type readResult struct {
	data []byte
	err  error
	at   time.Duration
}

func (n *Net) newConn(from, to string, h link.Handler) *conn {
	host := hostOf(to)
	way := from + ">" + host
	n.dialCounts[way]++
	c := &conn{
		net: n, id: fmt.Sprintf("%s#%d", way, n.dialCounts[way]), from: from, to: to, host: host, handler: h,
		cancelDial: func() {}, readTaken: make(chan struct{}, 1),
	}
	n.conns[c.id] = c
	return c
}

// machine is the one at this end.
func (c *conn) machine() string {
	if c.accepted {
		return c.host
	}
	return c.from
}

// observe shows the Tap what crosses. back: from the side that was dialed.
func (c *conn) observe(what link.EventKind, back bool, b []byte, note string) {
	if c.net.tap != nil {
		c.net.tap.Observe(link.Event{
			At: c.net.loop.Now(), Kind: what, Conn: c.id, From: c.from, To: c.to, Back: back, Data: b, Note: note,
		})
	}
}

// attach takes the socket.
func (c *conn) attach(tcp *net.TCPConn) {
	c.tcp = tcp
	c.raw, _ = tcp.SyscallConn() // it fails for no socket
}

// readSize is how much is read at once.
const readSize = 16 << 10

// readLoop reads until the end, and no further than the loop has taken what came.
func (c *conn) readLoop() {
	buf := make([]byte, readSize)
	for {
		k, err := c.tcp.Read(buf)
		c.net.post(func() { c.handleRead(&readResult{buf[:k], err, c.net.loop.Now()}) })
		select {
		case <-c.readTaken:
		case <-c.net.ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// handleRead takes what was read, or lets it wait.
func (c *conn) handleRead(m *readResult) {
	if !c.closed && !c.silent && (c.paused || c.frozen) {
		c.pendingRead = m
		return
	}
	c.deliver(m)
	c.readTaken <- struct{}{}
}

// resume gives out what waited.
func (c *conn) resume() {
	if m := c.pendingRead; m != nil && (c.closed || c.silent || !c.paused && !c.frozen) {
		c.pendingRead = nil
		c.deliver(m)
		c.readTaken <- struct{}{}
	}
}

// deliver brings the Handler what was read. A silent connection's is thrown away;
// its socket is given back when the other side ends it, which then hears nothing of that.
func (c *conn) deliver(m *readResult) {
	if c.silent || c.closed {
		if m.err != nil && c.silent {
			c.abort()
		}
		return
	}
	if len(m.data) > 0 {
		c.observe(link.Arrived, !c.accepted, m.data, "")
		c.observe(link.Read, !c.accepted, m.data, "")
		c.requestReceived()
		c.handler.Data(c, m.data)
	}
	if m.err == nil || c.closed {
		return
	}
	c.endNotified = true
	if errors.Is(m.err, io.EOF) {
		c.observe(link.Finished, !c.accepted, nil, "")
		c.handler.End(c, link.ErrEOF)
		return
	}
	c.closed = true
	c.observe(link.Reset, c.accepted, nil, "reset")
	c.abort()
	c.handler.End(c, link.ErrReset)
}

// ID implements link.Conn.
func (c *conn) ID() string { return c.id }

// Write implements link.Conn.
func (c *conn) Write(b []byte) {
	if c.closed || c.closing != closeNothing || len(b) == 0 {
		return
	}
	c.beforeWrite()
	if c.silent || c.writeFailed {
		return
	}
	if c.tcp == nil || c.writing || c.frozen || len(c.sendBuffer) > 0 {
		if c.frozen && len(c.sendBuffer) == 0 {
			c.blockedSince = c.net.loop.Now()
		}
		c.sendBuffer = append(c.sendBuffer, b...)
		return
	}
	k := c.write(b)
	c.sendBuffer = append(c.sendBuffer, b[k:]...)
	c.flush()
}

// write gives the kernel what it has room for, and returns how much that was.
func (c *conn) write(b []byte) int {
	var k int
	var err error
	c.raw.Write(func(fd uintptr) bool {
		for {
			if k, err = syscall.Write(int(fd), b); err != syscall.EINTR {
				return true
			}
		}
	})
	k = max(k, 0)
	if k > 0 {
		c.observe(link.Sent, c.accepted, b[:k], "")
	}
	if err != nil && err != syscall.EAGAIN {
		c.failWrites()
		return len(b)
	}
	return k
}

// failWrites notes that the kernel takes nothing more. What came before the break is
// still to be read, and then the break itself.
func (c *conn) failWrites() {
	c.writeFailed = true
	if c.endNotified {
		c.closed = true
		c.abort()
	}
}

// flush goes on with what waits to be written, and with the end behind it.
func (c *conn) flush() {
	switch {
	case c.tcp == nil || c.writing || c.frozen:
	case c.silent || c.writeFailed:
		c.sendBuffer = nil
		c.finishClosing()
	case len(c.sendBuffer) > 0:
		b := c.sendBuffer
		c.sendBuffer, c.writing = nil, true
		c.net.tasks.Go(func() {
			_, err := c.tcp.Write(b)
			c.net.post(func() { c.writeDone(b, err) })
		})
	default:
		c.finishClosing()
	}
}

func (c *conn) writeDone(b []byte, err error) {
	c.writing = false
	if err != nil {
		c.failWrites()
	} else {
		c.observe(link.Sent, c.accepted, b, "")
	}
	c.flush()
}

// finishClosing does what was asked to be done once all is written.
func (c *conn) finishClosing() {
	switch {
	case c.silent:
	case c.closing == closeBoth:
		c.observe(link.Closed, c.accepted, nil, "")
		c.tcp.Close()
		c.forget()
	case c.closing == closeSending && !c.finSent && !c.writeFailed:
		c.finSent = true
		c.tcp.CloseWrite()
		c.observe(link.Finished, c.accepted, nil, "")
	}
}

// CloseWrite implements link.Conn.
func (c *conn) CloseWrite() {
	if c.closed || c.closing != closeNothing {
		return
	}
	c.startClosing(closeSending)
}

func (c *conn) startClosing(how closeMode) {
	c.closing = how
	if c.frozen && len(c.sendBuffer) == 0 {
		c.blockedSince = c.net.loop.Now()
	}
	c.flush()
}

// closeWriteTimeout is how long what waits to be written may keep a closed socket.
const closeWriteTimeout = 5 * time.Second

// Close implements link.Conn. What was read and not given out makes it a reset,
// as in a kernel that still holds bytes.
func (c *conn) Close() {
	if c.closed {
		return
	}
	c.markClosed()
	switch {
	case c.tcp == nil:
		c.cancelDial()
	case c.silent:
	case c.pendingRead != nil && len(c.pendingRead.data) > 0 && !c.frozen:
		c.observe(link.Closed, c.accepted, nil, "unread")
		c.abort()
	default:
		c.tcp.SetWriteDeadline(time.Now().Add(closeWriteTimeout))
		c.startClosing(closeBoth)
	}
	c.resume()
}

// Reset implements link.Conn.
func (c *conn) Reset() {
	if c.closed {
		return
	}
	c.markClosed()
	switch {
	case c.tcp == nil:
		c.cancelDial()
	case c.silent:
	case c.frozen: // it is lost
		c.silence()
	default:
		c.observe(link.Reset, c.accepted, nil, "aborted")
		c.abort()
	}
	c.resume()
}

// markClosed lets the Handler hear nothing more.
func (c *conn) markClosed() { c.closed, c.silencePlan = true, nil }

// abort resets the socket, and forgets it.
func (c *conn) abort() {
	c.cancelDial()
	if c.tcp != nil {
		c.tcp.SetLinger(0)
		c.tcp.Close()
	}
	c.forget()
}

func (c *conn) forget() { delete(c.net.conns, c.id) }

// PauseReading implements link.Conn.
func (c *conn) PauseReading(held bool) {
	if c.paused = held; !held {
		c.net.post(c.resume) // not within a call of the Handler's own
	}
}
