package member

import (
	"encoding/binary"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// memberlist reports joins, updates and ends, and nothing between: a suspicion shows only in the messages that members
// send each other, and so does the difference between a member that says it has left and one that others declared
// dead. So packets are observed on their way in and out. What cannot be decoded here is skipped: memberlist decides,
// and this only adds to what it reports. The numbers are those of its protocol, versions 2 to 5.
const (
	suspectMessage  = 3
	aliveMessage    = 4
	deadMessage     = 5
	compoundMessage = 7
	crcMessage      = 12
)

// crcHeader is the length of a crcMessage's type and checksum.
const crcHeader = 5

// swimMessage is memberlist's message about a member. The fields have the names that memberlist gives them in msgpack.
type swimMessage struct {
	kind        byte   // one of the message numbers; the byte before the encoded message
	Incarnation uint32 // memberlist's own incarnation number
	Node        string
	From        string // who says so; not of aliveMessage
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

// forEachInCompound takes a compound message apart: type, number of parts, the length of each in two bytes, the parts.
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
