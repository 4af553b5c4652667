package raftlog

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// Layer carries the voters' messages over the members' streams.
type StreamLayer struct {
	name  string
	dial  func(name string, timeout time.Duration) (net.Conn, error)
	conns chan net.Conn
	over  chan struct{}
	once  sync.Once
}

// NewLayer makes one.
func NewStreamLayer(name string, dial func(string, time.Duration) (net.Conn, error)) *StreamLayer {
	return &StreamLayer{name: name, dial: dial, conns: make(chan net.Conn), over: make(chan struct{})}
}

// nameAddr is a voter's address: members know each other by name.
type nameAddr string

func (a nameAddr) Network() string { return "fleet" }
func (a nameAddr) String() string  { return string(a) }

// Addr implements raft.StreamLayer.
func (l *StreamLayer) Addr() net.Addr { return nameAddr(l.name) }

// Dial implements raft.StreamLayer.
func (l *StreamLayer) Dial(a raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	return l.dial(string(a), timeout)
}

// Accept implements raft.StreamLayer.
func (l *StreamLayer) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.over:
		return nil, net.ErrClosed
	}
}

// Close implements raft.StreamLayer.
func (l *StreamLayer) Close() error {
	l.once.Do(func() { close(l.over) })
	return nil
}

// Serve hands a stream to the library, and waits until that has closed it.
func (l *StreamLayer) Serve(c net.Conn) {
	w := &watched{Conn: c, closed: make(chan struct{})}
	select {
	case l.conns <- w:
	case <-l.over:
		return
	}
	select {
	case <-w.closed:
	case <-l.over:
	}
}

// watched tells of its end.
type watched struct {
	net.Conn
	once   sync.Once
	closed chan struct{}
}

func (w *watched) Close() error {
	w.once.Do(func() { close(w.closed) })
	return w.Conn.Close()
}
