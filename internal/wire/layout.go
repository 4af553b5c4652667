package wire

import (
	"encoding/binary"
	"math"

	"olivebridge/balancer"
)

// Sizes of the fixed parts of a frame, in bytes.
const (
	headerSize      = 20
	replyHeaderSize = 12
	eventSize       = 56
	actionSize      = 32
	endpointSize    = 23
)

// EventCode says what an event is about.
type EventCode uint8

// The events. In the simulator's words: begin, view, request, first_byte, returned, hangup, wakeup, sampled, mail,
// shutdown.
const (
	EventStart       EventCode = 16 // an instance starts, with settings and a seed
	EventEndpoints   EventCode = 17 // an endpoint list, or its changes
	EventRequest     EventCode = 18 // a request has arrived
	EventFirstByte   EventCode = 19 // an attempt's answer has begun
	EventOutcome     EventCode = 20 // an attempt has ended
	EventDisconnect  EventCode = 21 // the client has gone away
	EventTimer       EventCode = 22 // a timer has expired
	EventHealthCheck EventCode = 23 // a health check has ended
	EventPeerMessage EventCode = 24 // another instance has sent a message
	EventStop        EventCode = 25 // an instance is killed
)

// actionCode says what an action does.
type actionCode uint8

// The actions. In the simulator's words: inspect, arm, close_idle, end_failed, refuse, assign, trace, give_in,
// write_peer, stream_changes, resolve, revoke.
const (
	actionCheckHealth     actionCode = 16
	actionSetTimer        actionCode = 17
	actionCloseIdle       actionCode = 18
	actionFail            actionCode = 19
	actionReject          actionCode = 20
	actionSend            actionCode = 21
	actionLog             actionCode = 22
	actionReportFault     actionCode = 23
	actionSendPeerMessage actionCode = 24
	actionWatch           actionCode = 25
	actionFetchEndpoints  actionCode = 26
	actionCancel          actionCode = 27
)

// AllInstances addresses a message to every instance of the tier.
const AllInstances = math.MaxUint32

var byteOrder = binary.LittleEndian

// A server is four bytes of address, the first byte first, and a port.

func getServer(b []byte) balancer.ServerID {
	addr := binary.BigEndian.Uint32(b)
	port := byteOrder.Uint16(b[4:])
	return balancer.ServerID(addr)<<16 | balancer.ServerID(port)
}

func putServer(b []byte, server balancer.ServerID) {
	binary.BigEndian.PutUint32(b, uint32(server>>16))
	byteOrder.PutUint16(b[4:], uint16(server))
}
