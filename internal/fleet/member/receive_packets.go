package member

import (
	"bytes"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// maxPacketsPerSecond is the maximum rate of packets that a process accepts. In a fleet of 300, a member receives
	// about 30 packets a second, and some hundreds a second while many nodes join at once.
	maxPacketsPerSecond = 2000
	// maxDatagram is the maximum length of a datagram, in bytes.
	maxDatagram = 64 << 10
	// readErrorPause is the delay before the next read after an error of the UDP socket.
	readErrorPause = time.Millisecond
)

// packetLimiter is a token bucket of maxPacketsPerSecond tokens, which is refilled at that rate.
type packetLimiter struct {
	tokens    float64
	updatedAt time.Time // time of the last refill
}

// allow takes a token for a packet, and reports whether there was one.
func (l *packetLimiter) allow(now time.Time) bool {
	l.tokens = min(l.tokens+maxPacketsPerSecond*now.Sub(l.updatedAt).Seconds(), maxPacketsPerSecond)
	l.updatedAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// readPackets passes packets to memberlist until the transport is shut down.
func (t *transport) readPackets() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := t.udp.ReadFromUDPAddrPort(buf)
		now := time.Now()
		switch {
		case t.closed.Load():
			return
		case err != nil: // usually of an earlier write to an address where no process listens
			time.Sleep(readErrorPause)
			continue
		}
		t.traffic.packetsIn.Add(1)
		t.traffic.bytesIn.Add(int64(n))
		if !t.limiter.allow(now) {
			t.traffic.overLimit.Add(1)
			continue
		}
		t.receivePacket(buf[:n], net.UDPAddrFromAddrPort(from), now)
	}
}

// receivePacket decodes a packet and passes its payload to memberlist. The caller overwrites the packet's bytes after
// the call.
func (t *transport) receivePacket(packet []byte, from net.Addr, now time.Time) {
	sender, number, payload, err := decodePacket(t.fleet, packet)
	if err != nil || len(payload) == 0 {
		t.traffic.foreign.Add(1)
		return
	}
	t.recordPacket(sender, number)
	payload = bytes.Clone(payload)
	t.observe(payload, false)
	select {
	case t.packets <- &memberlist.Packet{Buf: payload, From: from, Timestamp: now}:
	default: // memberlist is too slow: drop the packet
		t.traffic.overLimit.Add(1)
	}
}
