package member

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// Every packet between members begins with a header of this package, which memberlist does not see. A packet that is
// corrupt or belongs to another fleet is dropped before memberlist decodes it, and the receiver knows the sender.
//
//	2 bytes  magic number, which includes the version
//	8 bytes  checksum of the fleet's name, the packet's number, its sender and its payload
//	4 bytes  number of the packet, which the sender counts separately for each receiver address
//	1 byte   length of the sender's name, followed by the name
//	payload
const (
	packetMagic    = 0xb701
	checksumOffset = 2
	numberOffset   = 10 // start of the bytes that the checksum covers
	nameOffset     = 14
	packetHeader   = 15
	// maxHeaderName is the maximum length of a sender's name in bytes; the header has one byte for this length.
	maxHeaderName = 255
	// maxPayload is the maximum length of a payload in bytes; memberlist's own limit is 1,400.
	maxPayload = 4 << 10
)

// errForeignPacket is returned for a packet or frame that is corrupt or belongs to another fleet.
var errForeignPacket = errors.New("packet or frame is corrupt or belongs to another fleet")

// encodePacket returns a packet that consists of a header and the payload.
func encodePacket(fleet, sender string, number uint32, payload []byte) []byte {
	p := make([]byte, packetHeader, packetHeader+len(sender)+len(payload))
	binary.BigEndian.PutUint16(p, packetMagic)
	binary.BigEndian.PutUint32(p[numberOffset:], number)
	p[nameOffset] = byte(len(sender))
	p = append(p, sender...)
	p = append(p, payload...)
	binary.BigEndian.PutUint64(p[checksumOffset:], checksum(fleet, p[numberOffset:]))
	return p
}

// decodePacket validates the header of a packet and returns the packet's parts. The payload shares memory with the
// packet.
func decodePacket(fleet string, p []byte) (sender string, number uint32, payload []byte, err error) {
	if !validHeader(fleet, p) {
		return "", 0, nil, errForeignPacket
	}
	end := packetHeader + int(p[nameOffset])
	if len(p) < end || len(p)-end > maxPayload {
		return "", 0, nil, errForeignPacket
	}
	return string(p[packetHeader:end]), binary.BigEndian.Uint32(p[numberOffset:]), p[end:], nil
}

// validHeader reports whether the bytes begin with a header of the fleet and have the right checksum.
func validHeader(fleet string, p []byte) bool {
	return len(p) >= packetHeader &&
		binary.BigEndian.Uint16(p) == packetMagic &&
		binary.BigEndian.Uint64(p[checksumOffset:]) == checksum(fleet, p[numberOffset:])
}

// checksum returns the hash of a fleet's name and the given bytes.
func checksum(fleet string, b []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(fleet) // a digest never returns an error
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(b)
	return d.Sum64()
}
