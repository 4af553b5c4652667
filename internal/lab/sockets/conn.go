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

// conn is the end of a connection that a modelled service holds. Everything except the socket belongs to the loop.
type conn struct {
	net            *Net
	id             string
	from, to, host string // host that dialed; address that it dialed, and the host part of that
	accepted       bool   // this end accepted the connection; false: it dialed
	handler        link.Handler
	cancelDial     func() // cancels a dial in progress
	tcp            *net.TCPConn
	raw            syscall.RawConn

	closed      bool      // closed or reset here: the handler is no longer called
	endNotified bool      // Handler.End was called
	paused      bool      // reading is paused
	closing     closeMode // closeNothing until CloseWrite or Close is called
	finSent     bool      // a FIN was sent

	sendBuffer  []byte        // bytes to be written
	writing     bool          // a goroutine writes to the socket
	writeFailed bool          // a write has failed
	pendingRead *readResult   // result of a read that is withheld by a pause or a partition
	readTaken   chan struct{} // receives a value when the loop has processed a read

	silent          bool          // nothing passes any more, in either direction
	machineVanished bool          // the machine has vanished: the connection is reset when it returns
	frozen          bool          // a partition blocks the connection
	blockedSince    time.Duration // when the partition began, or the first buffered write during it
	silencePlan     *silencePlan
}

// closeMode is the operation to perform once all bytes are written.
type closeMode uint8

const (
	closeNothing closeMode = iota
	closeSending
	closeBoth
)

// readResult is the result of one read.
type readResult struct {
	data []byte
	err  error
	at   time.Duration
}

func (n *Net) newConn(from, to string, h link.Handler) *conn {
	host := hostOf(to)
	route := from + ">" + host
	n.dialCounts[route]++
	c := &conn{
		net: n, id: fmt.Sprintf("%s#%d", route, n.dialCounts[route]), from: from, to: to, host: host, handler: h,
		cancelDial: func() {}, readTaken: make(chan struct{}, 1),
	}
	n.conns[c.id] = c
	return c
}

// machine returns the host of this end.
func (c *conn) machine() string {
	if c.accepted {
		return c.host
	}
	return c.from
}

// observe reports an event to the Tap, if there is one. back means that it comes from the side that was dialed.
func (c *conn) observe(kind link.EventKind, back bool, b []byte, note string) {
	if c.net.tap != nil {
		c.net.tap.Observe(link.Event{
			At: c.net.loop.Now(), Kind: kind, Conn: c.id, From: c.from, To: c.to, Back: back, Data: b, Note: note,
		})
	}
}

// attach sets the socket of the connection.
func (c *conn) attach(tcp *net.TCPConn) {
	c.tcp = tcp
	c.raw, _ = tcp.SyscallConn() // it fails only for an invalid TCPConn
}

// readSize is the size of the read buffer in bytes.
const readSize = 16 << 10

// readLoop reads until the end of the stream. After each read it waits until the loop has processed the result.
func (c *conn) readLoop() {
	buf := make([]byte, readSize)
	for {
		size, err := c.tcp.Read(buf)
		c.net.post(func() { c.handleRead(&readResult{buf[:size], err, c.net.loop.Now()}) })
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

// handleRead processes the result of a read, or withholds it during a pause or a partition.
func (c *conn) handleRead(result *readResult) {
	if !c.closed && !c.silent && (c.paused || c.frozen) {
		c.pendingRead = result
		return
	}
	c.deliver(result)
	c.readTaken <- struct{}{}
}

// resume processes a withheld result once nothing blocks it any more.
func (c *conn) resume() {
	if result := c.pendingRead; result != nil && (c.closed || c.silent || !c.paused && !c.frozen) {
		c.pendingRead = nil
		c.deliver(result)
		c.readTaken <- struct{}{}
	}
}

// deliver passes the result of a read to the handler. The data of a silent connection is discarded; its socket is
// closed when the other side ends it, without notifying the other side.
func (c *conn) deliver(result *readResult) {
	if c.silent || c.closed {
		if result.err != nil && c.silent {
			c.abort()
		}
		return
	}
	if len(result.data) > 0 {
		c.observe(link.Arrived, !c.accepted, result.data, "")
		c.observe(link.Read, !c.accepted, result.data, "")
		c.requestReceived()
		c.handler.Data(c, result.data)
	}
	if result.err == nil || c.closed {
		return
	}
	c.endNotified = true
	if errors.Is(result.err, io.EOF) {
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
	written := c.write(b)
	c.sendBuffer = append(c.sendBuffer, b[written:]...)
	c.flush()
}

// write writes what fits into the kernel's buffer and returns the number of bytes written, or len(b) after an error.
func (c *conn) write(b []byte) int {
	var written int
	var err error
	c.raw.Write(func(fd uintptr) bool {
		for {
			if written, err = syscall.Write(int(fd), b); err != syscall.EINTR {
				return true
			}
		}
	})
	written = max(written, 0)
	if written > 0 {
		c.observe(link.Sent, c.accepted, b[:written], "")
	}
	if err != nil && err != syscall.EAGAIN {
		c.failWrites()
		return len(b)
	}
	return written
}

// failWrites records that the kernel rejects further writes. The connection stays open until its handler was notified
// of the end, so that data which arrived before the failure, and then the error itself, are still read.
func (c *conn) failWrites() {
	c.writeFailed = true
	if c.endNotified {
		c.closed = true
		c.abort()
	}
}

// flush writes the buffered bytes, and then performs the requested close.
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

// finishClosing performs the requested close once all bytes are written.
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

func (c *conn) startClosing(mode closeMode) {
	c.closing = mode
	if c.frozen && len(c.sendBuffer) == 0 {
		c.blockedSince = c.net.loop.Now()
	}
	c.flush()
}

// closeWriteTimeout is the maximum duration for which unwritten bytes keep the socket of a closed connection open.
const closeWriteTimeout = 5 * time.Second

// Close implements link.Conn. If the handler has not received all bytes that were read, the connection is reset, as
// by a kernel that still holds unread bytes.
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
	case c.frozen: // the partition drops the reset
		c.silence()
	default:
		c.observe(link.Reset, c.accepted, nil, "aborted")
		c.abort()
	}
	c.resume()
}

// markClosed ensures that the handler is no longer called.
func (c *conn) markClosed() { c.closed, c.silencePlan = true, nil }

// abort resets the socket and forgets the connection.
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
func (c *conn) PauseReading(paused bool) {
	if c.paused = paused; !paused {
		c.net.post(c.resume) // posted, since the caller may be a method of the handler
	}
}
