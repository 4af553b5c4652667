// Package link is what stands between the world of the lab (its peers, its
// discovery, its clients) and the network that carries their bytes: the
// in-memory one of package network, on a virtual clock, or sockets. The world
// is written against these interfaces alone, so that one model serves both.
//
// All calls happen on one loop.Loop, to and fro; none of them blocks.
package link

import (
	"errors"
	"time"
)

// How a connection ends, as its Handler hears it.
var (
	// ErrEOF: the other side has ended its sending; everything it sent has come.
	ErrEOF = errors.New("end of stream")
	// ErrReset: the connection broke; the other side may or may not have read
	// what was sent.
	ErrReset = errors.New("reset")
	// ErrUnread: a reset which proves that the other side had not read all that
	// this side had sent when it closed.
	ErrUnread = errors.New("reset with bytes unread")
	// ErrRefused: nobody listens there.
	ErrRefused = errors.New("refused")
	// ErrTimedOut: the connection did not come up in time.
	ErrTimedOut = errors.New("connection timed out")
)

// Fabric carries bytes between machines, which are known by the host part of
// their addresses.
type Fabric interface {
	// Listen takes connections at addr (host:port); accept gives each one that
	// comes its handler, or nil, which resets it.
	Listen(addr string, accept func(c Conn) Handler) (Listener, error)
	// Dial opens a connection from a host to an address. h hears Up once it is
	// there, or End with ErrRefused or ErrTimedOut.
	Dial(from, to string, timeout time.Duration, h Handler) Conn
}

// Listener takes connections until it is closed. Connections it has taken live on.
type Listener interface{ Close() }

// Handler hears what happens on a connection.
type Handler interface {
	// Up: the connection is there. A listener's connections are up from the start,
	// and do not hear it.
	Up(c Conn)
	// Data: bytes have come. They must not be kept after the call returns.
	Data(c Conn, b []byte)
	// End: nothing further comes. After ErrEOF this side may still write; after
	// any other error the connection is gone. It is heard once, and not after
	// this side's own Close.
	End(c Conn, err error)
}

// Conn is one end of a connection. Its methods are harmless once it is gone.
type Conn interface {
	// ID names the connection, the same for both its ends and in every run of
	// one seed: "c1>n2#7" is the seventh from host c1 to host n2.
	ID() string
	// Write sends bytes. Before Up they wait.
	Write(b []byte)
	// CloseWrite ends the sending, and the other side hears ErrEOF.
	CloseWrite()
	// Close ends both ways; the other side hears ErrEOF, or ErrUnread if bytes that it
	// sent had not been read here.
	Close()
	// Reset breaks the connection.
	Reset()
	// Hold stops or resumes the reading: while held, no Data comes and the other
	// side's writes pile up in the window.
	Hold(held bool)
}
