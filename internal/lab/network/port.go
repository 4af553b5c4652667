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
	n     *Net
	e     *end // the loop's
	id    string
	side  uint64
	local netAddr
	far   netAddr
	done  chan struct{} // of one that was dialed: it came up, or err says why not
	err   error

	mu       sync.Mutex
	readable sync.Cond // or the reading has failed
	writable sync.Cond // or the writing has
	in       []byte    // came and is unread; never written over, since the Tap is shown it
	ended    bool      // nothing comes behind it
	reset    bool      // the connection is broken
	told     bool      // a write has failed for it
	over     bool      // the sending was ended
	closed   bool
	killed   bool // with the process
	used     int  // of the window
	writing  bool // a Write waits for room
	reads    uint64
	writes   uint64
	asked    uint64 // for turns to read
	turn     uint64 // of these, the last one that has come
	until    struct{ read, write deadline }
}

func newPort(n *Net) *port {
	p := &port{n: n}
	p.readable.L, p.writable.L = &p.mu, &p.mu
	return p
}

// bind joins the port to its end, on the loop, before the node has it.
func (p *port) bind(e *end) {
	c := e.c
	e.port, p.e, p.id, p.side = p, e, c.id, uint64(e.side)
	here, there := netAddr(c.from+":"+strconv.FormatUint(32768+c.nth%28000, 10)), netAddr(c.to)
	if e.side == 1 {
		here, there = there, here
	}
	p.local, p.far = here, there
}

// What a port posts goes by these within an instant: it has read what it answers,
// and whatever was read or written came before the close.
const (
	opRead uint64 = iota
	opWrite
	opClose
	opTurn
)

// post lets f run on the loop. Reads and writes are counted apart, since two
// goroutines may be at them at the same instant.
func (p *port) post(op, count uint64, f func()) {
	p.n.loop.Post(loop.Key{Source: p.id, Sequence: p.side<<63 | op<<61 | count}, f)
}

func (p *port) fail(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: p.local, Addr: p.far, Err: err}
}

// Read implements net.Conn.
func (p *port) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.await(); err != nil {
		return 0, err
	}
	return p.take(b)
}

// ReadUnderLock reads like Read, but takes the bytes under a lock: each time bytes or
// an end are there to be taken, it locks mu and asks open; if that agrees it
// takes them, and tells took of bytes, before it unlocks mu. With no room for bytes
// it takes none, and nil says that some are there.
func (p *port) ReadUnderLock(b []byte, mu sync.Locker, open func() error, took func(n int)) (int, error) {
	for {
		p.mu.Lock()
		err := p.await()
		p.mu.Unlock()
		if err != nil {
			return 0, err
		}
		if n, ok, err := p.takeGated(b, mu, open, took); ok {
			return n, err
		}
	}
}

// takeGated is one such time; ok is false if what was there is no longer.
func (p *port) takeGated(
	b []byte, mu sync.Locker, open func() error, took func(n int),
) (n int, ok bool, err error) {
	mu.Lock()
	defer mu.Unlock()
	if err := open(); err != nil {
		return 0, true, err
	}
	p.mu.Lock()
	if ok = p.ready(); ok && (len(b) > 0 || len(p.in) == 0) {
		n, err = p.take(b)
	}
	p.mu.Unlock()
	if n > 0 {
		took(n)
	}
	return n, ok, err
}

// ready reports whether a read would not wait. The lock is held.
func (p *port) ready() bool {
	return !p.closed && !p.killed && !p.until.read.past() && (len(p.in) > 0 || p.ended || p.reset)
}

// await waits until a read has something to take. What comes while it waits has an instant of its own. What lay there
// already is taken in turn: a node that gives several answers at one instant goes on to read from all these connections,
// and which of the next requests its decisions hear of first would be luck. The lock is held.
func (p *port) await() error {
	turn := uint64(0)
	if p.ready() {
		turn = p.askTurn()
	}
	for !p.ready() || p.turn < turn {
		switch {
		case p.closed || p.killed:
			return p.fail("read", net.ErrClosed)
		case p.until.read.past():
			return p.fail("read", os.ErrDeadlineExceeded)
		}
		p.readable.Wait()
	}
	return nil
}

// askTurn asks the loop for an instant to read at. The lock is held.
func (p *port) askTurn() uint64 {
	p.asked++
	turn := p.asked
	p.post(opTurn, turn, func() {
		p.n.loop.After(0, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.turn = turn
			p.readable.Broadcast()
		})
	})
	return turn
}

// take takes what is there: bytes go before the end of the stream, and before
// a reset too, as Linux has it. The lock is held.
func (p *port) take(b []byte) (int, error) {
	n := copy(b, p.in)
	if n > 0 {
		taken := p.in[:n:n]
		if p.in = p.in[n:]; len(p.in) == 0 {
			p.in = nil
		}
		p.reads++
		p.post(opRead, p.reads, func() { p.e.read(taken) })
		return n, nil
	}
	if p.ended {
		return 0, io.EOF
	}
	return 0, p.fail("read", os.NewSyscallError("read", syscall.ECONNRESET))
}

// Peek says what there is to read and takes nothing: n > 0 bytes wait; 0, nil:
// the other side has ended; syscall.EAGAIN: nothing is there; another error: the
// connection is broken.
func (p *port) Peek() (n int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed || p.killed:
		return 0, p.fail("read", net.ErrClosed)
	case len(p.in) > 0 || p.ended:
		return len(p.in), nil
	case p.reset:
		return 0, p.fail("read", os.NewSyscallError("read", syscall.ECONNRESET))
	}
	return 0, syscall.EAGAIN
}

// HasEnded reports whether the other side has ended or broken the connection, though bytes may still wait.
func (p *port) HasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended || p.reset
}

// Write implements net.Conn. It waits until all of b has room in the window, or,
// of more than fits there, part after part.
func (p *port) Write(b []byte) (n int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.writing {
		if err := p.unwritable(); err != nil {
			return 0, err
		}
		p.writable.Wait()
	}
	p.writing = true
	defer func() {
		p.writing = false
		p.writable.Broadcast()
	}()
	for {
		part := b[n:min(len(b), n+window)]
		if err := p.unwritable(); err != nil {
			return n, err
		}
		if len(part) == 0 {
			return n, nil
		}
		if p.used+len(part) > window {
			p.writable.Wait()
			continue
		}
		p.used += len(part)
		sent := bytes.Clone(part)
		p.writes++
		p.post(opWrite, p.writes, func() { p.e.write(sent) })
		if n += len(part); n == len(b) {
			return n, nil
		}
	}
}

// unwritable says why nothing can be written. The lock is held.
func (p *port) unwritable() error {
	switch {
	case p.closed || p.killed:
		return p.fail("write", net.ErrClosed)
	case p.until.write.past():
		return p.fail("write", os.ErrDeadlineExceeded)
	case p.reset && !p.ended && !p.told && !p.over:
		p.told = true
		return p.fail("write", os.NewSyscallError("write", syscall.ECONNRESET))
	case p.reset || p.over:
		return p.fail("write", os.NewSyscallError("write", syscall.EPIPE))
	}
	return nil
}

// CloseWrite ends the sending.
func (p *port) CloseWrite() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed || p.killed:
		return p.fail("close", net.ErrClosed)
	case p.reset:
		return p.fail("close", os.NewSyscallError("shutdown", syscall.ENOTCONN))
	case !p.over:
		p.over = true
		p.writable.Broadcast()
		p.writes++
		p.post(opWrite, p.writes, p.e.endWriting)
	}
	return nil
}

// Close implements net.Conn.
func (p *port) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.killed {
		return p.fail("close", net.ErrClosed)
	}
	p.stop()
	p.post(opClose, 0, func() { p.e.shut(p.unread()) })
	return nil
}

// turnAway closes one that no goroutine has taken from its listener.
func (p *port) turnAway() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stop()
	p.post(opClose, 0, func() { p.e.turnAway(p.unread()) })
}

// stop ends what waits here, and its timers. The lock is held.
func (p *port) stop() {
	p.closed = true
	p.until.read.stop()
	p.until.write.stop()
	p.readable.Broadcast()
	p.writable.Broadcast()
}

// unread reports whether bytes were left, and drops them.
func (p *port) unread() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := len(p.in) > 0
	p.in = nil
	return left
}

// LocalAddr implements net.Conn.
func (p *port) LocalAddr() net.Addr { return p.local }

// RemoteAddr implements net.Conn.
func (p *port) RemoteAddr() net.Addr { return p.far }

// SetDeadline implements net.Conn.
func (p *port) SetDeadline(t time.Time) error { return p.setUntil(t, true, true) }

// SetReadDeadline implements net.Conn.
func (p *port) SetReadDeadline(t time.Time) error { return p.setUntil(t, true, false) }

// SetWriteDeadline implements net.Conn.
func (p *port) SetWriteDeadline(t time.Time) error { return p.setUntil(t, false, true) }

func (p *port) setUntil(t time.Time, read, write bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.killed {
		return p.fail("set", net.ErrClosed)
	}
	if read {
		p.until.read.set(t, p.wake)
		p.readable.Broadcast()
	}
	if write {
		p.until.write.set(t, p.wake)
		p.writable.Broadcast()
	}
	return nil
}

// wake lets whoever waits look at the deadlines.
func (p *port) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readable.Broadcast()
	p.writable.Broadcast()
}
