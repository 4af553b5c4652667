package transport

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// Conn is what frontends and upstream transports ask of a connection beyond net.Conn. TCP connections are wrapped to
// provide it; a simulated network brings connections with it.
type Conn interface {
	net.Conn
	// CloseWrite ends the sending: the other side reads to the end and may still answer.
	CloseWrite() error
	// ReadGate reads like Read, but takes the bytes under a lock: each time bytes or an end may be there to be taken,
	// it locks mu and calls open. On nil it takes them, calls took with their number if there are any, and unlocks;
	// any error of open's is returned, and nothing is taken. One call runs at a time. Where b is empty, it takes
	// nothing, and nil says that bytes are there.
	ReadGate(b []byte, mu sync.Locker, open func() error, took func(n int)) (int, error)
	// Peek says what there is to read and takes nothing. n > 0: bytes wait; 0 and nil: the other side has closed;
	// syscall.EAGAIN: nothing is there; any other error: the connection is broken.
	Peek() (n int, err error)
	// HasEnded reports whether the other side has closed or broken the connection, though bytes that it sent before may
	// still wait to be read. It is false where that cannot be told.
	HasEnded() bool
}

// Dialer opens connections to addresses of the form host:port, until ctx ends. What it returns is a Conn or a
// *net.TCPConn. A nil Dialer dials TCP.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// dial opens a connection.
func (d Dialer) dial(ctx context.Context, addr string) (Conn, error) {
	if d == nil {
		d = dialTCP
	}
	conn, err := d(ctx, addr)
	if err != nil {
		return nil, err
	}
	c, err := wrapConn(conn)
	if err != nil {
		_ = conn.Close()
	}
	return c, err
}

// wrapConn gives a connection what Conn asks.
func wrapConn(conn net.Conn) (Conn, error) {
	switch c := conn.(type) {
	case Conn:
		return c, nil
	case *net.TCPConn:
		return newTCPConn(c)
	}
	return nil, fmt.Errorf("connection: %T can neither be peeked at nor read under a lock", conn)
}

// hasUnread reports whether bytes wait to be read from a connection.
func hasUnread(c Conn) bool {
	n, _ := c.Peek()
	return n > 0
}

// disconnectChecker tells whether the client that a message belongs to is still there.
type disconnectChecker interface {
	// hasDisconnected reports whether the client has closed or broken its connection by now.
	hasDisconnected() bool
}
