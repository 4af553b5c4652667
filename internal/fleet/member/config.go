package member

import (
	"log/slog"
	"net"
	"net/netip"

	"olivebridge/internal/fleet/record"
)

// Config configures a Service. It is not checked: package fleetfile has done so.
type Config struct {
	// Name is the node's name, which no other node of the fleet has.
	Name string
	// Zone is where the node runs; it may be empty.
	Zone string
	// Fleet is the fleet's name. Messages of other fleets are dropped.
	Fleet string
	// Listen is the node's own address, for UDP and TCP.
	Listen netip.AddrPort
	// Advertise is where others reach the node.
	Advertise netip.AddrPort
	// Join has the addresses of other nodes. One that is alive is enough.
	Join []string
	// Directory is where the node stores its incarnation. No other node may have it.
	Directory string
	// Log may be nil.
	Log *slog.Logger
	// Record is given what the process believes and does; nil: nothing.
	Record *record.Recorder
	// Channels serve the streams that other packages open, by channel, each until its function returns; from is the
	// name of the node that opened the stream. Channels 0 and 250 are this package's own.
	Channels map[byte]func(conn net.Conn, from string)
	// OnMessage is given the messages that others send with Service.Broadcast; nil: they are dropped. It is called by
	// memberlist's goroutine and must not block. The bytes are its own.
	OnMessage func(message []byte)
	// OnJoin is called when this process has got the node's membership, in a new incarnation; nil: nobody is told.
	OnJoin func(Incarnation)
	// OnLeave is called before the process gives the membership up; nil: nobody is told.
	OnLeave func()
}
