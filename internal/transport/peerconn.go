package transport

import (
	"cmp"
	"errors"
	"net"
	"syscall"
	"time"

	"olivebridge/internal/routing"
)

// peerConn is a connection to a peer, or to discovery. One try at a time uses it.
type peerConn struct {
	net.Conn
	life   *life
	peer   *routing.Peer
	freed  time.Time // when it fell idle
	failed error     // of a read: what came before it is not whole
}

// Read implements net.Conn.
func (c *peerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.life.read(err, "peer-closed", "reset")
	if err != nil {
		c.failed = err
	}
	return n, err
}

// Close implements net.Conn.
func (c *peerConn) Close() error {
	c.life.end("idle")
	return c.Conn.Close()
}

// end closes the connection for a reason, unless an earlier one is known.
func (c *peerConn) end(reason string) {
	c.life.because(reason)
	c.Close()
}

// interrupt ends what is being read or written.
func (c *peerConn) interrupt() { c.SetDeadline(time.Unix(1, 0)) }

// stale says why an idle connection cannot carry a try; "": it can. Whatever
// there is to read belongs to no request that is still to be sent.
func (c *peerConn) stale() string {
	switch n, err := peek(c.Conn); {
	case errors.Is(err, syscall.EAGAIN):
		return ""
	case err != nil:
		return "reset"
	case n == 0:
		return "peer-closed"
	default:
		return "surplus"
	}
}

// unread reports whether bytes wait to be read from a connection.
func unread(conn net.Conn) bool {
	n, _ := peek(conn)
	return n > 0
}

// peek asks the kernel what there is to read, and takes nothing: 0 bytes mean
// that the other side has ended, syscall.EAGAIN that there is nothing.
func peek(conn net.Conn) (n int, err error) {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		n, _, failed = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, cmp.Or(err, failed)
}
