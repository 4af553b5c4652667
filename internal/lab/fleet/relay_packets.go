package fleet

import (
	"slices"
	"time"
)

const (
	// maxPacket is the maximum size of a packet, in bytes.
	maxPacket = 64 << 10
	// readErrorPause is the pause after a failed read of a packet.
	readErrorPause = time.Millisecond
)

// forwardPackets forwards packets to the process until the relay is closed.
func (r *relay) forwardPackets() {
	buffer := make([]byte, maxPacket)
	for {
		size, from, err := r.udp.ReadFromUDPAddrPort(buffer)
		if r.relays.closed.Load() {
			return
		}
		if err != nil { // an earlier packet was sent while no process listened
			time.Sleep(readErrorPause)
			continue
		}
		sender, known := r.relays.sender(from.Addr())
		if !known {
			continue
		}
		copies, delay := r.relays.packetFate(linkKey{from: sender, to: r.node}, size)
		if copies == 0 {
			continue
		}
		r.sendPacket(slices.Clone(buffer[:size]), copies, delay)
	}
}

// sendPacket sends copies of a packet to the process after a delay. It ignores errors, since the process may be down.
func (r *relay) sendPacket(packet []byte, copies int, delay time.Duration) {
	send := func() {
		for range copies {
			_, _ = r.udp.WriteToUDPAddrPort(packet, r.process)
		}
	}
	if delay == 0 {
		send()
		return
	}
	time.AfterFunc(delay, send)
}
