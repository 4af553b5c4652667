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
	n              *Net
	id             string
	from, to, host string // who dialed, the address dialed, and its machine
	taken          bool   // it was accepted here, not dialed
	h              link.Handler
	stop           func() // ends a dial
	tcp            *net.TCPConn
	raw            syscall.RawConn

	gone    bool // closed or broken here: the Handler hears nothing more
	ended   bool // the Handler has heard its End
	held    bool
	closing closing
	finned  bool

	out     []byte // what is still to be written
	writing bool   // a goroutine is at it
	broken  bool   // the kernel takes no more
	late    *news  // what was read and not given out: it is held, or frozen
	came    chan struct{}

	silent  bool // nothing passes any more, either way
	lost    bool // since its machine vanished: it breaks when that is back
	frozen  bool // nothing passes for now
	waiting time.Duration
	hush    *hush
}

// closing is what is to be done once all is written.
type closing uint8

const (
	nothing closing = iota
	fin
	whole
)

// news is what one read brought.
type news struct {
	b   []byte
	err error
	at  time.Duration
}

func (n *Net) newConn(from, to string, h link.Handler) *conn {
	host := hostOf(to)
	way := from + ">" + host
	n.dials[way]++
	c := &conn{
		n: n, id: fmt.Sprintf("%s#%d", way, n.dials[way]), from: from, to: to, host: host, h: h,
		stop: func() {}, came: make(chan struct{}, 1),
	}
	n.conns[c.id] = c
	return c
}

// machine is the one at this end.
func (c *conn) machine() string {
	if c.taken {
		return c.host
	}
	return c.from
}

// see shows the Tap what crosses. back: from the side that was dialed.
func (c *conn) see(what link.EventKind, back bool, b []byte, note string) {
	if c.n.tap != nil {
		c.n.tap.Observe(link.Event{
			At: c.n.loop.Now(), Kind: what, Conn: c.id, From: c.from, To: c.to, Back: back, Data: b, Note: note,
		})
	}
}

// up takes the socket.
func (c *conn) up(tcp *net.TCPConn) {
	c.tcp = tcp
	c.raw, _ = tcp.SyscallConn() // it fails for no socket
}

// readSize is how much is read at once.
const readSize = 16 << 10

// readAll reads until the end, and no further than the loop has taken what came.
func (c *conn) readAll() {
	buf := make([]byte, readSize)
	for {
		k, err := c.tcp.Read(buf)
		c.n.post(func() { c.read(&news{buf[:k], err, c.n.loop.Now()}) })
		select {
		case <-c.came:
		case <-c.n.life.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// read takes what was read, or lets it wait.
func (c *conn) read(m *news) {
	if !c.gone && !c.silent && (c.held || c.frozen) {
		c.late = m
		return
	}
	c.give(m)
	c.came <- struct{}{}
}

// resume gives out what waited.
func (c *conn) resume() {
	if m := c.late; m != nil && (c.gone || c.silent || !c.held && !c.frozen) {
		c.late = nil
		c.give(m)
		c.came <- struct{}{}
	}
}

// give brings the Handler what was read. A silent connection's is thrown away;
// its socket is given back when the other side ends it, which then hears nothing of that.
func (c *conn) give(m *news) {
	if c.silent || c.gone {
		if m.err != nil && c.silent {
			c.abort()
		}
		return
	}
	if len(m.b) > 0 {
		c.see(link.Arrived, !c.taken, m.b, "")
		c.see(link.Read, !c.taken, m.b, "")
		c.asked()
		c.h.Data(c, m.b)
	}
	if m.err == nil || c.gone {
		return
	}
	c.ended = true
	if errors.Is(m.err, io.EOF) {
		c.see(link.Finished, !c.taken, nil, "")
		c.h.End(c, link.ErrEOF)
		return
	}
	c.gone = true
	c.see(link.Reset, c.taken, nil, "reset")
	c.abort()
	c.h.End(c, link.ErrReset)
}

// ID implements link.Conn.
func (c *conn) ID() string { return c.id }

// Write implements link.Conn.
func (c *conn) Write(b []byte) {
	if c.gone || c.closing != nothing || len(b) == 0 {
		return
	}
	c.answers()
	if c.silent || c.broken {
		return
	}
	if c.tcp == nil || c.writing || c.frozen || len(c.out) > 0 {
		if c.frozen && len(c.out) == 0 {
			c.waiting = c.n.loop.Now()
		}
		c.out = append(c.out, b...)
		return
	}
	k := c.write(b)
	c.out = append(c.out, b[k:]...)
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
		c.see(link.Sent, c.taken, b[:k], "")
	}
	if err != nil && err != syscall.EAGAIN {
		c.fail()
		return len(b)
	}
	return k
}

// fail notes that the kernel takes nothing more. What came before the break is
// still to be read, and then the break itself.
func (c *conn) fail() {
	c.broken = true
	if c.ended {
		c.gone = true
		c.abort()
	}
}

// flush goes on with what waits to be written, and with the end behind it.
func (c *conn) flush() {
	switch {
	case c.tcp == nil || c.writing || c.frozen:
	case c.silent || c.broken:
		c.out = nil
		c.finish()
	case len(c.out) > 0:
		b := c.out
		c.out, c.writing = nil, true
		c.n.tasks.Go(func() {
			_, err := c.tcp.Write(b)
			c.n.post(func() { c.written(b, err) })
		})
	default:
		c.finish()
	}
}

func (c *conn) written(b []byte, err error) {
	c.writing = false
	if err != nil {
		c.fail()
	} else {
		c.see(link.Sent, c.taken, b, "")
	}
	c.flush()
}

// finish does what was asked to be done once all is written.
func (c *conn) finish() {
	switch {
	case c.silent:
	case c.closing == whole:
		c.see(link.Closed, c.taken, nil, "")
		c.tcp.Close()
		c.forget()
	case c.closing == fin && !c.finned && !c.broken:
		c.finned = true
		c.tcp.CloseWrite()
		c.see(link.Finished, c.taken, nil, "")
	}
}

// CloseWrite implements link.Conn.
func (c *conn) CloseWrite() {
	if c.gone || c.closing != nothing {
		return
	}
	c.close(fin)
}

func (c *conn) close(how closing) {
	c.closing = how
	if c.frozen && len(c.out) == 0 {
		c.waiting = c.n.loop.Now()
	}
	c.flush()
}

// lastWrites is how long what waits to be written may keep a closed socket.
const lastWrites = 5 * time.Second

// Close implements link.Conn. What was read and not given out makes it a reset,
// as in a kernel that still holds bytes.
func (c *conn) Close() {
	if c.gone {
		return
	}
	c.leave()
	switch {
	case c.tcp == nil:
		c.stop()
	case c.silent:
	case c.late != nil && len(c.late.b) > 0 && !c.frozen:
		c.see(link.Closed, c.taken, nil, "unread")
		c.abort()
	default:
		c.tcp.SetWriteDeadline(time.Now().Add(lastWrites))
		c.close(whole)
	}
	c.resume()
}

// Reset implements link.Conn.
func (c *conn) Reset() {
	if c.gone {
		return
	}
	c.leave()
	switch {
	case c.tcp == nil:
		c.stop()
	case c.silent:
	case c.frozen: // it is lost
		c.silence()
	default:
		c.see(link.Reset, c.taken, nil, "aborted")
		c.abort()
	}
	c.resume()
}

// leave lets the Handler hear nothing more.
func (c *conn) leave() { c.gone, c.hush = true, nil }

// abort resets the socket, and forgets it.
func (c *conn) abort() {
	c.stop()
	if c.tcp != nil {
		c.tcp.SetLinger(0)
		c.tcp.Close()
	}
	c.forget()
}

func (c *conn) forget() { delete(c.n.conns, c.id) }

// PauseReading implements link.Conn.
func (c *conn) PauseReading(held bool) {
	if c.held = held; !held {
		c.n.post(c.resume) // not within a call of the Handler's own
	}
}
