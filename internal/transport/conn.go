package transport

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// Conn is the interface of connections that frontends and upstream transports require, in addition to net.Conn.
// wrapConn implements it for TCP connections; simulated networks implement it themselves.
type Conn interface {
	net.Conn
	// CloseWrite closes the sending side. The remote side reads until EOF and may still send.
	CloseWrite() error
	// ReadUnderLock reads like Read, but while it holds mu. Whenever bytes or EOF may be available, it locks mu and calls
	// beforeRead. If beforeRead returns nil, it reads, calls afterRead with the number of bytes if that is positive, and
	// unlocks mu. If beforeRead returns an error, it reads nothing and returns that error. If b is empty, it reads nothing
	// and returns a nil error when bytes are available. It must not be called concurrently.
	ReadUnderLock(b []byte, mu sync.Locker, beforeRead func() error, afterRead func(n int)) (int, error)
	// Peek checks for readable data without reading it. n > 0 means that bytes are available; 0 and nil, that the remote
	// side has closed; syscall.EAGAIN, that nothing is available; any other error, that the connection is broken.
	Peek() (n int, err error)
	// Unread returns the number of bytes that have arrived and have not been read. An error means that it is unknown.
	Unread() (int, error)
	// ReceivesMore reports whether the remote side may send more bytes than it has sent: its window is open. False means
	// that it may not, or that the state is unknown.
	ReceivesMore() bool
	// Unacknowledged returns the number of written bytes whose arrival the remote machine has not acknowledged. An error
	// means that it is unknown.
	Unacknowledged() (int, error)
	// HasEnded reports whether the remote side has closed or broken the connection, even if bytes that it sent before are
	// still unread. It returns false if the state is unknown.
	HasEnded() bool
}

// Dialer opens a connection to an address of the form host:port; ctx limits the dialing. The connection must be a Conn
// or a *net.TCPConn. A nil Dialer dials TCP.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// dial opens a connection and wraps it as a Conn.
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

// wrapConn converts a connection to a Conn, or returns an error if its type is not supported.
func wrapConn(conn net.Conn) (Conn, error) {
	switch c := conn.(type) {
	case Conn:
		return c, nil
	case *net.TCPConn:
		return newTCPConn(c)
	}
	return nil, fmt.Errorf("connection: %T supports neither Peek nor ReadUnderLock", conn)
}

// hasUnread reports whether unread bytes are available on a connection.
func hasUnread(c Conn) bool {
	n, _ := c.Peek()
	return n > 0
}

// disconnectChecker checks the client to which a message belongs.
type disconnectChecker interface {
	// hasDisconnected reports whether the client has closed or broken its connection.
	hasDisconnected() bool
	// mayHideClose reports whether unread bytes fill the way from the client, so that its close would not be known.
	mayHideClose() bool
}
