package member

import (
	"bytes"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// maxPacketsPerSecond bounds what a process takes in: in a fleet of 300 a member gets some 30 packets a second, in a
	// storm of joins some hundreds.
	maxPacketsPerSecond = 2000
	// maxDatagram is the longest datagram, in bytes.
	maxDatagram = 64 << 10
	// readErrorPause is the wait after an error of the UDP socket.
	readErrorPause = time.Millisecond
)

// packetLimiter is a token bucket of maxPacketsPerSecond tokens, filled at that rate.
type packetLimiter struct {
	tokens    float64
	updatedAt time.Time // when tokens were counted
}

// allow reports whether a packet may be taken now.
func (l *packetLimiter) allow(now time.Time) bool {
	l.tokens = min(l.tokens+maxPacketsPerSecond*now.Sub(l.updatedAt).Seconds(), maxPacketsPerSecond)
	l.updatedAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// readPackets passes packets on to memberlist until the transport is shut down.
func (t *transport) readPackets() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := t.udp.ReadFromUDPAddrPort(buf)
		now := time.Now()
		switch {
		case t.closed.Load():
			return
		case err != nil: // of an earlier write, as a rule: nobody listened there
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

// receivePacket decodes a packet, whose bytes are overwritten after the call, and passes its payload on.
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
	default: // memberlist does not keep up: as if lost
		t.traffic.overLimit.Add(1)
	}
}
