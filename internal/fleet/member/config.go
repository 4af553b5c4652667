package member

import (
	"log/slog"
	"net"
	"net/netip"

	"olivebridge/internal/fleet/record"
)

// Config configures a Service. This package does not validate it; package fleetfile does.
type Config struct {
	// Name is the node's name, unique in the fleet.
	Name string
	// Zone is the zone in which the node runs; it may be empty.
	Zone string
	// Fleet is the fleet's name. Messages of other fleets are dropped.
	Fleet string
	// Listen is the local address for UDP and TCP.
	Listen netip.AddrPort
	// Advertise is the address at which other nodes reach this node.
	Advertise netip.AddrPort
	// Join has addresses of other nodes. One address of a live node is enough.
	Join []string
	// Directory is the path at which the node stores its incarnation and the addresses of members. No other node may use
	// it.
	Directory string
	// Log receives the log lines; nil: they are discarded.
	Log *slog.Logger
	// Record receives the views of this process and its membership events; nil: they are not recorded.
	Record *record.Recorder
	// Channels has the functions that serve streams opened by other packages, by channel. A stream is closed when its
	// function returns; from is the name of the node that opened the stream. Channels 0 and 250 are reserved for this
	// package.
	Channels map[byte]func(conn net.Conn, from string)
	// OnMessage receives the messages that other members send with Service.Broadcast; nil: they are dropped. It is called
	// by memberlist's goroutine and must not block. It may keep the message, which is a copy.
	OnMessage func(message []byte)
	// OnJoin is called after this process has acquired the node's membership in a new incarnation; nil: no call.
	OnJoin func(Incarnation)
	// OnLeave is called when the process gives up the membership, before its streams are closed; nil: no call.
	OnLeave func()
}
