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

// port is a node's end of a connection: a net.Conn that blocks. What the network
// brings is put into it on the loop; what the node does is posted to the loop.
type port struct {
	net      *Net
	end      *end // the loop's
	id       string
	side     uint64
	local    netAddr
	remote   netAddr
	dialDone chan struct{} // of one that was dialed: it came up, or err says why not
	err      error

	mu             sync.Mutex
	readCond       sync.Cond // or the reading has failed
	writeCond      sync.Cond // or the writing has
	received       []byte    // came and is unread; never written over, since the Tap is shown it
	finReceived    bool      // nothing comes behind it
	resetReceived  bool      // the connection is broken
	resetReported  bool      // a write has failed for it
	finSent        bool      // the sending was ended
	closed         bool
	killed         bool // with the process
	windowUsed     int  // of the window
	writing        bool // a Write waits for room
	reads          uint64
	writes         uint64
	turnsRequested uint64 // for turns to read
	turnsGranted   uint64 // of these, the last one that has come
	deadlines      struct{ read, write deadline }
}

func newPort(n *Net) *port {
	p := &port{net: n}
	p.readCond.L, p.writeCond.L = &p.mu, &p.mu
	return p
}

// attach joins the port to its end, on the loop, before the node has it.
func (p *port) attach(e *end) {
	c := e.conn
	e.port, p.end, p.id, p.side = p, e, c.id, uint64(e.side)
	here, there := netAddr(c.from+":"+strconv.FormatUint(32768+c.dialNumber%28000, 10)), netAddr(c.to)
	if e.side == 1 {
		here, there = there, here
	}
	p.local, p.remote = here, there
}

// What a port posts goes by these within an instant: it has read what it answers,
// and whatever was read or written came before the close.
const (
	opRead uint64 = iota
	opWrite
	opClose
	opReadTurn
)

// post lets f run on the loop. Reads and writes are counted apart, since two
// goroutines may be at them at the same instant.
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

// ReadUnderLock reads like Read, but takes the bytes under a lock: each time bytes or
// an end are there to be taken, it locks mu and asks open; if that agrees it
// takes them, and tells took of bytes, before it unlocks mu. With no room for bytes
// it takes none, and nil says that some are there.
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

// consumeUnderLock is one such time; ok is false if what was there is no longer.
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

// canRead reports whether a read would not wait. The lock is held.
func (p *port) canRead() bool {
	return !p.closed && !p.killed && !p.deadlines.read.expired() && (len(p.received) > 0 || p.finReceived || p.resetReceived)
}

// waitReadable waits until a read has something to take. What comes while it waits has an instant of its own. What lay there
// already is taken in turn: a node that gives several answers at one instant goes on to read from all these connections,
// and which of the next requests its decisions hear of first would be luck. The lock is held.
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

// requestReadTurn asks the loop for an instant to read at. The lock is held.
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

// consume takes what is there: bytes go before the end of the stream, and before
// a reset too, as Linux has it. The lock is held.
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

// Peek says what there is to read and takes nothing: n > 0 bytes wait; 0, nil:
// the other side has ended; syscall.EAGAIN: nothing is there; another error: the
// connection is broken.
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

// HasEnded reports whether the other side has ended or broken the connection, though bytes may still wait.
func (p *port) HasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.finReceived || p.resetReceived
}

// Write implements net.Conn. It waits until all of b has room in the window, or,
// of more than fits there, part after part.
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
		part := b[n:min(len(b), n+windowSize)]
		if err := p.writeError(); err != nil {
			return n, err
		}
		if len(part) == 0 {
			return n, nil
		}
		if p.windowUsed+len(part) > windowSize {
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

// writeError says why nothing can be written. The lock is held.
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

// CloseWrite ends the sending.
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

// closeUnaccepted closes one that no goroutine has taken from its listener.
func (p *port) closeUnaccepted() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stop()
	p.post(opClose, 0, func() { p.end.closeUnaccepted(p.dropUnread()) })
}

// stop ends what waits here, and its timers. The lock is held.
func (p *port) stop() {
	p.closed = true
	p.deadlines.read.stop()
	p.deadlines.write.stop()
	p.readCond.Broadcast()
	p.writeCond.Broadcast()
}

// dropUnread reports whether bytes were left, and drops them.
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

// wakeAll lets whoever waits look at the deadlines.
func (p *port) wakeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readCond.Broadcast()
	p.writeCond.Broadcast()
}
