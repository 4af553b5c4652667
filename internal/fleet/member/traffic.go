package member

import (
	"fmt"
	"net"
	"sync/atomic"
)

// traffic counts the packets, streams and bytes that a process sends and receives, since its start.
type traffic struct {
	packetsIn  atomic.Int64
	packetsOut atomic.Int64
	bytesIn    atomic.Int64
	bytesOut   atomic.Int64
	streamsIn  atomic.Int64
	streamsOut atomic.Int64
	// foreign counts packets and frames that are corrupt or belong to another fleet, streams that break before their first
	// frame, and streams of a channel without a function to serve it. A foreign first frame counts twice.
	foreign   atomic.Int64
	overLimit atomic.Int64 // packets beyond maxPacketsPerSecond or packetQueue, and connections beyond maxHandshakes
}

// String returns the counters for the log.
func (t *traffic) String() string {
	return fmt.Sprintf("packets_in=%d packets_out=%d bytes_in=%d bytes_out=%d streams_in=%d streams_out=%d "+
		"foreign=%d flood=%d",
		t.packetsIn.Load(), t.packetsOut.Load(), t.bytesIn.Load(), t.bytesOut.Load(),
		t.streamsIn.Load(), t.streamsOut.Load(), t.foreign.Load(), t.overLimit.Load())
}

// countedConn counts the bytes of a connection in traffic.
type countedConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.bytesIn.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.bytesOut.Add(int64(n))
	return n, err
}
