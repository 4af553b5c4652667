package member

import (
	"encoding/binary"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// memberlist reports joins, updates and departures of members. It does not report suspicions, and it does not report
// whether a departed member announced that it left or was declared dead by others. This information is only in the
// messages between members, so packets are observed when they are received and when they are sent. Messages that cannot
// be decoded here are skipped, because memberlist determines the membership and this package only adds detail to its
// reports. The constants are the message types of memberlist's protocol, versions 2 to 5.
const (
	suspectMessage  = 3
	aliveMessage    = 4
	deadMessage     = 5
	compoundMessage = 7
	crcMessage      = 12
)

// crcHeader is the length in bytes of the type and checksum of a crcMessage.
const crcHeader = 5

// swimMessage is memberlist's message about a member. The fields have the names that memberlist gives them in msgpack.
type swimMessage struct {
	kind        byte   // message type, which is the byte before the encoded message
	Incarnation uint32 // memberlist's own incarnation number
	Node        string
	From        string // member that reports it; empty for aliveMessage
}

// forEachSWIMMessage calls visit for each message about a member in a packet.
func forEachSWIMMessage(packet []byte, visit func(swimMessage)) {
	if len(packet) > crcHeader && packet[0] == crcMessage {
		packet = packet[crcHeader:]
	}
	if len(packet) < 2 {
		return
	}
	switch packet[0] {
	case compoundMessage:
		forEachInCompound(packet, visit)
	case suspectMessage, aliveMessage, deadMessage:
		m := swimMessage{kind: packet[0]}
		err := codec.NewDecoderBytes(packet[1:], &codec.MsgpackHandle{}).Decode(&m)
		if err == nil && m.Node != "" {
			visit(m)
		}
	}
}

// forEachInCompound calls visit for each message about a member in a compound message. It consists of its type, the
// number of parts, the length of each part in two bytes, and the parts.
func forEachInCompound(packet []byte, visit func(swimMessage)) {
	count := int(packet[1])
	lengths := packet[2:]
	if len(lengths) < 2*count {
		return
	}
	parts := lengths[2*count:]
	for i := range count {
		length := int(binary.BigEndian.Uint16(lengths[2*i:]))
		if len(parts) < length {
			return
		}
		if length > 1 && parts[0] != compoundMessage { // compound messages are not nested
			forEachSWIMMessage(parts[:length], visit)
		}
		parts = parts[length:]
	}
}
