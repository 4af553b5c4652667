package transport

import (
	"errors"
	"syscall"
	"time"

	"olivebridge/internal/routing"
)

// peerConn is a connection to a peer, or to discovery. One try at a time uses it.
type peerConn struct {
	Conn
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
	switch n, err := c.Peek(); {
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
