package member

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// Every packet between members begins with a header of this package, which memberlist never sees: what is corrupt, or
// of another fleet, is dropped before it is decoded, and a receiver knows who sent what.
//
//	2 bytes  magic, with the version
//	8 bytes  checksum of the fleet's name, number, sender and payload
//	4 bytes  number of the packet, counted by its sender for the receiver's address
//	1 byte   length of the sender's name, and the name
//	payload
const (
	packetMagic    = 0xb701
	checksumOffset = 2
	numberOffset   = 10 // from here on the checksum counts
	nameOffset     = 14
	packetHeader   = 15
	// maxHeaderName is the length of the longest name that the header has room for.
	maxHeaderName = 255
	// maxPayload is the longest payload in bytes; memberlist's own limit is 1,400.
	maxPayload = 4 << 10
)

// errForeignPacket says that a packet or frame is of another fleet, or corrupt.
var errForeignPacket = errors.New("not of this fleet, or not whole")

// encodePacket puts a header before a payload.
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

// decodePacket checks a packet's header and takes it apart. The payload is a part of the packet's bytes.
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

// validHeader reports whether bytes begin with a header of a fleet, and the checksum is right.
func validHeader(fleet string, p []byte) bool {
	return len(p) >= packetHeader &&
		binary.BigEndian.Uint16(p) == packetMagic &&
		binary.BigEndian.Uint64(p[checksumOffset:]) == checksum(fleet, p[numberOffset:])
}

// checksum hashes a fleet's name and some bytes.
func checksum(fleet string, b []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(fleet) // a digest returns no errors
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(b)
	return d.Sum64()
}
