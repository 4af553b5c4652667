package raftlog

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// Dialer opens a stream to another voter.
type Dialer func(name string, timeout time.Duration) (net.Conn, error)

// StreamLayer transports raft's messages over streams between members. It implements raft.StreamLayer.
type StreamLayer struct {
	name      string // name of this voter
	dial      Dialer
	accepted  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// NewStreamLayer returns the stream layer of the named voter.
func NewStreamLayer(name string, dial Dialer) *StreamLayer {
	return &StreamLayer{
		name:     name,
		dial:     dial,
		accepted: make(chan net.Conn),
		closed:   make(chan struct{}),
	}
}

// memberAddress is the address of a voter, which is its member name.
type memberAddress string

// Network implements net.Addr.
func (memberAddress) Network() string { return "fleet" }

// String implements net.Addr.
func (a memberAddress) String() string { return string(a) }

// Addr implements raft.StreamLayer.
func (l *StreamLayer) Addr() net.Addr {
	return memberAddress(l.name)
}

// Dial implements raft.StreamLayer.
func (l *StreamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	return l.dial(string(address), timeout)
}

// Accept implements raft.StreamLayer.
func (l *StreamLayer) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements raft.StreamLayer.
func (l *StreamLayer) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Serve passes an incoming stream to raft, and returns once raft has closed the stream or the layer is closed.
func (l *StreamLayer) Serve(conn net.Conn) {
	tracked := &closeNotifier{Conn: conn, closed: make(chan struct{})}
	select {
	case l.accepted <- tracked:
	case <-l.closed:
		return
	}
	select {
	case <-tracked.closed:
	case <-l.closed:
	}
}

// closeNotifier is a connection that closes a channel when it is closed.
type closeNotifier struct {
	net.Conn
	once   sync.Once
	closed chan struct{}
}

// Close implements net.Conn.
func (c *closeNotifier) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
