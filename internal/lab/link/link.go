// Package link defines the network as the modelled services of the lab (peers,
// discovery, clients) see it. Package network implements it in memory, on a
// virtual clock, and package sockets over loopback. The services depend on
// these interfaces alone, so that one model serves both.
//
// All calls, in both directions, happen on the goroutine of one loop.Loop; none
// of them blocks.
package link

import (
	"errors"
	"time"
)

// Errors that Handler.End receives, one per way in which a connection ends.
var (
	// ErrEOF means that the other side has ended its sending and everything it sent has arrived.
	ErrEOF = errors.New("end of stream")
	// ErrReset means that the connection was reset; the other side may or may not have read the sent bytes.
	ErrReset = errors.New("reset")
	// ErrUnread means that the connection was reset in a way that proves that the other side, when it closed, had not
	// read everything that this side had sent.
	ErrUnread = errors.New("reset with bytes unread")
	// ErrRefused means that nobody listens at the address.
	ErrRefused = errors.New("refused")
	// ErrTimedOut means that the connection was not established in time.
	ErrTimedOut = errors.New("connection timed out")
)

// Fabric is a network between machines, which are known by the host part of
// their addresses.
type Fabric interface {
	// Listen accepts connections at addr (host:port). accept returns the handler of each connection, or nil to reset it.
	// Listen returns an error if the address is in use.
	Listen(addr string, accept func(c Conn) Handler) (Listener, error)
	// Dial opens a connection from a host to an address. It calls h.Up once the
	// connection is up, or h.End with ErrRefused or ErrTimedOut.
	Dial(from, to string, timeout time.Duration, h Handler) Conn
}

// Listener accepts connections until it is closed. Accepted connections stay open.
type Listener interface{ Close() }

// Handler is notified of the events on a connection.
type Handler interface {
	// Up reports that the connection is up. It is not called for the connections
	// of a Listener, which are up from the start.
	Up(c Conn)
	// Data reports that bytes have arrived. They must not be kept after the call
	// returns.
	Data(c Conn, b []byte)
	// End reports that nothing further arrives. After ErrEOF this side may still
	// write; after any other error the connection is closed. It is called once,
	// and not after this side's own Close.
	End(c Conn, err error)
}

// Conn is one end of a connection. Its methods do nothing once this end is closed.
type Conn interface {
	// ID identifies the connection. It is the same at both ends and in every run of one seed: "c1>n2#7" is the seventh
	// connection from host c1 to host n2.
	ID() string
	// Write sends bytes. Bytes written before Up are stored until then.
	Write(b []byte)
	// CloseWrite ends the sending; the other side is notified of ErrEOF.
	CloseWrite()
	// Close closes both directions; the other side is notified of ErrEOF, or of ErrUnread if this side had not read all
	// bytes sent to it.
	Close()
	// Reset resets the connection; the other side is notified of ErrReset or ErrUnread.
	Reset()
	// PauseReading stops or resumes the reading. While it is paused, Data is not
	// called and the other side's writes fill the window.
	PauseReading(paused bool)
}
