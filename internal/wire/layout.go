package wire

import (
	"encoding/binary"
	"math"

	"olivebridge/balancer"
)

// Sizes of the header of a batch, the header of a reply, and the records, in bytes.
const (
	headerSize      = 20
	replyHeaderSize = 12
	eventSize       = 56
	actionSize      = 32
	endpointSize    = 23
)

// EventCode is the kind of an event.
type EventCode uint8

// The event codes. The simulator's names for them are, in this order: begin, view, request, first_byte, returned,
// hangup, wakeup, sampled, mail, shutdown.
const (
	EventStart       EventCode = 16 // an instance starts, with the given settings and random seed
	EventEndpoints   EventCode = 17 // an update of the endpoint list
	EventRequest     EventCode = 18 // a request has arrived
	EventFirstByte   EventCode = 19 // the first byte of an answer has arrived
	EventOutcome     EventCode = 20 // an attempt has an outcome
	EventDisconnect  EventCode = 21 // the client of a request has disconnected
	EventTimer       EventCode = 22 // a timer has expired
	EventHealthCheck EventCode = 23 // a health check has a result
	EventPeerMessage EventCode = 24 // another instance has sent a message
	EventStop        EventCode = 25 // an instance is killed
)

// actionCode is the kind of an action.
type actionCode uint8

// The action codes. The simulator's names for them are, in this order: inspect, arm, close_idle, end_failed, refuse,
// assign, trace, give_in, write_peer, stream_changes, resolve, revoke.
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

// Offsets of the fields in the headers of batches and replies, in bytes.
const (
	batchSizeOffset   = 0
	batchCountOffset  = 4
	batchClockOffset  = 8
	batchNumberOffset = 16

	replySizeOffset  = 0
	replyCountOffset = 4
	replyBatchOffset = 8
)

// Offsets of the fields that are common to all event and action records, and of the request ID in those records that
// have one, in bytes.
const (
	codeOffset      = 0
	instanceOffset  = 1
	requestIDOffset = 5
)

// Offsets of the fields of event records, in bytes. For a text or a list, the record holds the offset in the tail, 4
// bytes, and the length, 4 bytes: in bytes for a text, in entries for a list.
const (
	startSeedOffset     = 5
	startSettingsOffset = 13

	endpointsKindOffset = 5
	endpointsListOffset = 10

	requestTimeoutOffset      = 13
	requestExpectedWorkOffset = 21
	requestAffinityKeyOffset  = 29
	requestClassOffset        = 37
	requestOptionsOffset      = 39
	requestTenantOffset       = 40

	firstByteAttemptOffset = 13

	outcomeLatencyOffset = 13
	outcomeResultOffset  = 21
	outcomeDoneOffset    = 23
	outcomeAttemptOffset = 24
	outcomeServerOffset  = 26
	outcomeLoadOffset    = 32

	timerRefOffset = 5

	healthCheckServerOffset  = 5
	healthCheckResultOffset  = 11
	healthCheckLatencyOffset = 13
	healthCheckLoadOffset    = 21

	peerMessageSenderOffset = 5
	peerMessageDataOffset   = 7
)

// Offsets of the fields of an endpoint in a list, in bytes.
const (
	endpointCellOffset    = 0
	endpointStartedOffset = 2
	endpointServerOffset  = 10
	endpointWeightOffset  = 16
	endpointStateOffset   = 20
	endpointKindOffset    = 21
	endpointZoneOffset    = 22
)

// Offsets of the fields of action records, in bytes.
const (
	sendServerOffset    = 13
	sendAbandonAtOffset = 19

	cancelAttemptOffset = 13

	rejectAfterOffset = 13

	serverOffset = 5 // of actions whose only field is a server

	setTimerAfterOffset = 5
	setTimerRefOffset   = 13

	watchOnOffset = 5

	peerMessageToOffset   = 5
	peerMessageTextOffset = 9

	textOffset = 5 // of actions whose only field is a text
)

// AllInstances as the receiver of SendPeerMessage addresses every instance of the load balancer.
const AllInstances = math.MaxUint32

var byteOrder = binary.LittleEndian

// A server is encoded as its IPv4 address, 4 bytes in network order, and its port, 2 bytes in little-endian order.

func getServer(b []byte) balancer.ServerID {
	addr := binary.BigEndian.Uint32(b)
	port := byteOrder.Uint16(b[4:])
	return balancer.ServerID(addr)<<16 | balancer.ServerID(port)
}

func putServer(b []byte, server balancer.ServerID) {
	binary.BigEndian.PutUint32(b, uint32(server>>16))
	byteOrder.PutUint16(b[4:], uint16(server))
}
