package network

import (
	"bytes"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"olivebridge/internal/lab/loop"
)

// port is a node's end of a connection: a net.Conn whose calls block. The loop stores received data in it; the node's
// operations are posted to the loop.
type port struct {
	net      *Net
	end      *end // used on the loop only
	id       string
	side     uint64
	local    netAddr
	remote   netAddr
	dialDone chan struct{} // for a dialed connection: closed once it is up or err is set
	err      error

	mu             sync.Mutex
	readCond       sync.Cond // signaled when data is readable or reads fail
	writeCond      sync.Cond // signaled when the window has room or writes fail
	received       []byte    // received and unread bytes; never overwritten, since the Tap is shown slices of it
	finReceived    bool      // a FIN was received behind the bytes of received
	resetReceived  bool      // the connection was reset
	resetReported  bool      // a write has returned ECONNRESET
	finSent        bool      // CloseWrite was called
	closed         bool
	killed         bool // the process was killed
	windowUsed     int  // bytes of the window in use
	writing        bool // a Write is in progress
	reads          uint64
	writes         uint64
	turnsRequested uint64 // number of the last read turn that was requested
	turnsGranted   uint64 // number of the last read turn that was granted
	deadlines      struct{ read, write deadline }
}

func newPort(n *Net) *port {
	p := &port{net: n}
	p.readCond.L, p.writeCond.L = &p.mu, &p.mu
	return p
}

// attach connects the port to its end. It runs on the loop, before the node has the port.
func (p *port) attach(e *end) {
	c := e.conn
	e.port, p.end, p.id, p.side = p, e, c.id, uint64(e.side)
	local, remote := netAddr(c.from+":"+strconv.FormatUint(32768+c.dialNumber%28000, 10)), netAddr(c.to)
	if e.side == 1 {
		local, remote = remote, local
	}
	p.local, p.remote = local, remote
}

// Operations that order the posts of a port within one instant: a read precedes the write that responds to it, and
// all reads and writes precede the close.
const (
	opRead uint64 = iota
	opWrite
	opClose
	opReadTurn
)

// post runs f on the loop. Reads and writes have separate counters, since two goroutines may perform them at the same
// instant.
func (p *port) post(op, count uint64, f func()) {
	p.net.loop.Post(loop.Key{Source: p.id, Sequence: p.side<<63 | op<<61 | count}, f)
}

func (p *port) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: p.local, Addr: p.remote, Err: err}
}

// Read implements net.Conn.
func (p *port) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.waitReadable(); err != nil {
		return 0, err
	}
	return p.consume(b)
}

// ReadUnderLock reads like Read, but consumes the bytes while mu is held. Each time bytes or the end of the stream
// are available, it locks mu and calls checkOpen. If that returns no error, it consumes the bytes and calls onRead
// with their number, before it unlocks mu. If b is empty it consumes no bytes; a nil error then means that bytes are
// available.
func (p *port) ReadUnderLock(b []byte, mu sync.Locker, checkOpen func() error, onRead func(n int)) (int, error) {
	for {
		p.mu.Lock()
		err := p.waitReadable()
		p.mu.Unlock()
		if err != nil {
			return 0, err
		}
		if n, ok, err := p.consumeUnderLock(b, mu, checkOpen, onRead); ok {
			return n, err
		}
	}
}

// consumeUnderLock is one attempt of ReadUnderLock. ok is false if the data that was available is no longer there.
func (p *port) consumeUnderLock(
	b []byte, mu sync.Locker, checkOpen func() error, onRead func(n int),
) (n int, ok bool, err error) {
	mu.Lock()
	defer mu.Unlock()
	if err := checkOpen(); err != nil {
		return 0, true, err
	}
	p.mu.Lock()
	if ok = p.canRead(); ok && (len(b) > 0 || len(p.received) == 0) {
		n, err = p.consume(b)
	}
	p.mu.Unlock()
	if n > 0 {
		onRead(n)
	}
	return n, ok, err
}

// canRead reports whether a read would return without blocking. p.mu is held.
func (p *port) canRead() bool {
	return !p.closed && !p.killed && !p.deadlines.read.expired() &&
		(len(p.received) > 0 || p.finReceived || p.resetReceived)
}

// waitReadable blocks until a read can return data, the end of the stream or a reset. Data that arrives during the
// wait has an instant of its own. For data that was already there, the read waits for a turn: a node that sends
// several responses at one instant goes on to read from all these connections, and the scheduler would determine
// which of the next requests its decisions see first. p.mu is held.
func (p *port) waitReadable() error {
	turn := uint64(0)
	if p.canRead() {
		turn = p.requestReadTurn()
	}
	for !p.canRead() || p.turnsGranted < turn {
		switch {
		case p.closed || p.killed:
			return p.opError("read", net.ErrClosed)
		case p.deadlines.read.expired():
			return p.opError("read", os.ErrDeadlineExceeded)
		}
		p.readCond.Wait()
	}
	return nil
}

// requestReadTurn requests an instant of its own for a read, and returns the number of the turn. p.mu is held.
func (p *port) requestReadTurn() uint64 {
	p.turnsRequested++
	turn := p.turnsRequested
	p.post(opReadTurn, turn, func() {
		p.net.loop.After(0, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.turnsGranted = turn
			p.readCond.Broadcast()
		})
	})
	return turn
}

// consume reads received bytes. They precede the end of the stream, and a reset too, as on Linux. p.mu is held.
func (p *port) consume(b []byte) (int, error) {
	n := copy(b, p.received)
	if n > 0 {
		taken := p.received[:n:n]
		if p.received = p.received[n:]; len(p.received) == 0 {
			p.received = nil
		}
		p.reads++
		p.post(opRead, p.reads, func() { p.end.dataRead(taken) })
		return n, nil
	}
	if p.finReceived {
		return 0, io.EOF
	}
	return 0, p.opError("read", os.NewSyscallError("read", syscall.ECONNRESET))
}

// Peek returns the state of the read side and consumes nothing: n > 0 is the number of unread bytes; 0 and nil mean
// that the other side has ended its sending; syscall.EAGAIN means that nothing was received; any other error means
// that the connection is reset or closed.
func (p *port) Peek() (n int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed || p.killed:
		return 0, p.opError("read", net.ErrClosed)
	case len(p.received) > 0 || p.finReceived:
		return len(p.received), nil
	case p.resetReceived:
		return 0, p.opError("read", os.NewSyscallError("read", syscall.ECONNRESET))
	}
	return 0, syscall.EAGAIN
}

// Unread returns the number of bytes that were received and not read.
func (p *port) Unread() (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.received), nil
}

// ReceivesMore reports whether the other side may send more bytes. It is false while any are unread, since a write waits
// until the window has room for all of it.
func (p *port) ReceivesMore() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.received) == 0
}

// Unacknowledged returns the number of written bytes that the other side has not read.
func (p *port) Unacknowledged() (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.windowUsed, nil
}

// HasEnded reports whether the other side has ended its sending or reset the connection, even if unread bytes are
// left.
func (p *port) HasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.finReceived || p.resetReceived
}

// Write implements net.Conn. It blocks until the window has room for all of b. If b is larger than the window, it
// does so for each part of that size.
func (p *port) Write(b []byte) (n int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.writing {
		if err := p.writeError(); err != nil {
			return 0, err
		}
		p.writeCond.Wait()
	}
	p.writing = true
	defer func() {
		p.writing = false
		p.writeCond.Broadcast()
	}()
	for {
		part := b[n:min(len(b), n+p.net.config.Window)]
		if err := p.writeError(); err != nil {
			return n, err
		}
		if len(part) == 0 {
			return n, nil
		}
		if p.windowUsed+len(part) > p.net.config.Window {
			p.writeCond.Wait()
			continue
		}
		p.windowUsed += len(part)
		sent := bytes.Clone(part)
		p.writes++
		p.post(opWrite, p.writes, func() { p.end.write(sent) })
		if n += len(part); n == len(b) {
			return n, nil
		}
	}
}

// writeError returns the error of a write, or nil if the connection is writable. p.mu is held.
func (p *port) writeError() error {
	switch {
	case p.closed || p.killed:
		return p.opError("write", net.ErrClosed)
	case p.deadlines.write.expired():
		return p.opError("write", os.ErrDeadlineExceeded)
	case p.resetReceived && !p.finReceived && !p.resetReported && !p.finSent:
		p.resetReported = true
		return p.opError("write", os.NewSyscallError("write", syscall.ECONNRESET))
	case p.resetReceived || p.finSent:
		return p.opError("write", os.NewSyscallError("write", syscall.EPIPE))
	}
	return nil
}

// CloseWrite sends a FIN. Later writes fail with EPIPE.
func (p *port) CloseWrite() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed || p.killed:
		return p.opError("close", net.ErrClosed)
	case p.resetReceived:
		return p.opError("close", os.NewSyscallError("shutdown", syscall.ENOTCONN))
	case !p.finSent:
		p.finSent = true
		p.writeCond.Broadcast()
		p.writes++
		p.post(opWrite, p.writes, p.end.endWriting)
	}
	return nil
}

// Close implements net.Conn.
func (p *port) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.killed {
		return p.opError("close", net.ErrClosed)
	}
	p.stop()
	p.post(opClose, 0, func() { p.end.closeBoth(p.dropUnread()) })
	return nil
}

// closeUnaccepted closes a connection that its listener's Accept has not returned.
func (p *port) closeUnaccepted() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stop()
	p.post(opClose, 0, func() { p.end.closeUnaccepted(p.dropUnread()) })
}

// stop marks the port as closed, stops its timers and wakes all blocked calls. p.mu is held.
func (p *port) stop() {
	p.closed = true
	p.deadlines.read.stop()
	p.deadlines.write.stop()
	p.readCond.Broadcast()
	p.writeCond.Broadcast()
}

// dropUnread drops the unread bytes and reports whether there were any.
func (p *port) dropUnread() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := len(p.received) > 0
	p.received = nil
	return left
}

// LocalAddr implements net.Conn.
func (p *port) LocalAddr() net.Addr { return p.local }

// RemoteAddr implements net.Conn.
func (p *port) RemoteAddr() net.Addr { return p.remote }

// SetDeadline implements net.Conn.
func (p *port) SetDeadline(t time.Time) error { return p.setDeadlines(t, true, true) }

// SetReadDeadline implements net.Conn.
func (p *port) SetReadDeadline(t time.Time) error { return p.setDeadlines(t, true, false) }

// SetWriteDeadline implements net.Conn.
func (p *port) SetWriteDeadline(t time.Time) error { return p.setDeadlines(t, false, true) }

func (p *port) setDeadlines(t time.Time, read, write bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.killed {
		return p.opError("set", net.ErrClosed)
	}
	if read {
		p.deadlines.read.set(t, p.wakeAll)
		p.readCond.Broadcast()
	}
	if write {
		p.deadlines.write.set(t, p.wakeAll)
		p.writeCond.Broadcast()
	}
	return nil
}

// wakeAll makes all blocked calls check their deadlines.
func (p *port) wakeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readCond.Broadcast()
	p.writeCond.Broadcast()
}
