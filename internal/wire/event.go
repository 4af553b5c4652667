package wire

import (
	"fmt"
	"math"
	"time"

	"olivebridge/balancer"
)

// Event is one event record of a batch. Each of its methods decodes the fields of the event codes that the method's
// comment names. An Event is valid until the next Read of its frame.
type Event struct {
	frame    *Frame
	position int // index of the record in the batch
	record   []byte
}

// Code returns the event's code, which is not validated.
func (e Event) Code() EventCode { return EventCode(e.record[codeOffset]) }

// Instance returns the number of the instance that the event is for.
func (e Event) Instance() uint32 { return byteOrder.Uint32(e.record[instanceOffset:]) }

// ID returns the request ID of an EventRequest, EventFirstByte, EventOutcome or EventDisconnect.
func (e Event) ID() balancer.RequestID {
	return balancer.RequestID(byteOrder.Uint64(e.record[requestIDOffset:]))
}

// Ref returns the reference with which Reply.SetTimer set the timer of an EventTimer.
func (e Event) Ref() uint64 { return byteOrder.Uint64(e.record[timerRefOffset:]) }

// Seed returns the random seed of an EventStart.
func (e Event) Seed() uint64 { return byteOrder.Uint64(e.record[startSeedOffset:]) }

// Attempt returns the number of the attempt, from 0, of an EventFirstByte.
func (e Event) Attempt() int { return int(byteOrder.Uint16(e.record[firstByteAttemptOffset:])) }

// UpdateKind returns the kind of update of an EventEndpoints. An unknown kind is an error.
func (e Event) UpdateKind() (balancer.UpdateKind, error) {
	kind := balancer.UpdateKind(e.record[endpointsKindOffset])
	if kind > balancer.UpdateFailed {
		return 0, e.errorf("unknown kind of endpoint list update: %d", kind)
	}
	return kind, nil
}

// Settings returns the settings of an EventStart, in the format of settings.DecodeText.
func (e Event) Settings() ([]byte, error) { return e.tail(startSettingsOffset, 1) }

// PeerMessage returns the number of the sending instance and the data of an EventPeerMessage.
func (e Event) PeerMessage() (sender int, data []byte, err error) {
	data, err = e.tail(peerMessageDataOffset, 1)
	return int(byteOrder.Uint16(e.record[peerMessageSenderOffset:])), data, err
}

// Endpoints returns the entries of an EventEndpoints. The next call for an event of the same frame overwrites them.
func (e Event) Endpoints() ([]balancer.Server, error) {
	data, err := e.tail(endpointsListOffset, endpointSize)
	if err != nil {
		return nil, err
	}
	endpoints := e.frame.endpoints[:0]
	for ; len(data) > 0; data = data[endpointSize:] {
		server := balancer.Server{
			Cell:      byteOrder.Uint16(data[endpointCellOffset:]),
			StartedAt: balancer.Time(byteOrder.Uint64(data[endpointStartedOffset:])),
			ID:        getServer(data[endpointServerOffset:]),
			Weight:    math.Float32frombits(byteOrder.Uint32(data[endpointWeightOffset:])),
			State:     balancer.ServerState(data[endpointStateOffset]),
			Kind:      data[endpointKindOffset],
			Zone:      data[endpointZoneOffset],
		}
		if server.State > balancer.Draining {
			return nil, e.errorf("unknown endpoint state %d", server.State)
		}
		endpoints = append(endpoints, server)
	}
	e.frame.endpoints = endpoints
	return endpoints, nil
}

// Bits of the options field of an EventRequest.
const (
	optionHasExpectedWork = 1
	optionClientRetry     = 2
)

// Request returns the request of an EventRequest.
func (e Event) Request() balancer.Request {
	options := e.record[requestOptionsOffset]
	r := balancer.Request{
		ID:          e.ID(),
		Timeout:     getDuration(e.record[requestTimeoutOffset:]),
		AffinityKey: byteOrder.Uint64(e.record[requestAffinityKeyOffset:]),
		Class:       int(byteOrder.Uint16(e.record[requestClassOffset:])),
		Tenant:      int(byteOrder.Uint32(e.record[requestTenantOffset:])),
		ClientRetry: options&optionClientRetry != 0,
	}
	if options&optionHasExpectedWork != 0 {
		r.ExpectedWork = getDuration(e.record[requestExpectedWorkOffset:])
	}
	return r
}

// Outcome returns the outcome of the attempt of an EventOutcome. An unknown result code is an error.
func (e Event) Outcome() (balancer.Outcome, error) {
	result, err := e.decodeResult(byteOrder.Uint16(e.record[outcomeResultOffset:]))
	return balancer.Outcome{
		ID:          e.ID(),
		Latency:     getDuration(e.record[outcomeLatencyOffset:]),
		Result:      result,
		RequestDone: e.record[outcomeDoneOffset] != 0,
		Attempt:     int(byteOrder.Uint16(e.record[outcomeAttemptOffset:])),
		Server:      getServer(e.record[outcomeServerOffset:]),
		Load:        getLoad(e.record[outcomeLoadOffset:]),
	}, err
}

// HealthCheck returns the result of an EventHealthCheck. An unknown result code is an error.
func (e Event) HealthCheck() (balancer.HealthCheckResult, error) {
	result, err := e.decodeResult(byteOrder.Uint16(e.record[healthCheckResultOffset:]))
	return balancer.HealthCheckResult{
		Server:  getServer(e.record[healthCheckServerOffset:]),
		Latency: getDuration(e.record[healthCheckLatencyOffset:]),
		Result:  result,
		Load:    getLoad(e.record[healthCheckLoadOffset:]),
	}, err
}

// Outcome codes number the values of balancer.Result in their order, from firstOutcome for balancer.OK in steps of
// outcomeStep.
const (
	firstOutcome = 10
	lastOutcome  = 80
	outcomeStep  = 10
)

// decodeResult decodes an outcome code.
func (e Event) decodeResult(code uint16) (balancer.Result, error) {
	if code < firstOutcome || code > lastOutcome || code%outcomeStep != 0 {
		return 0, e.errorf("unknown outcome code %d", code)
	}
	return balancer.Result((code - firstOutcome) / outcomeStep), nil
}

// tail returns the part of the frame's tail that the record refers to. At the given position, the record holds the
// part's offset in the tail and its number of items, 4 bytes each; an item has size bytes.
func (e Event) tail(position, size int) ([]byte, error) {
	tail := e.frame.tail()
	start := uint64(byteOrder.Uint32(e.record[position:]))
	length := uint64(byteOrder.Uint32(e.record[position+4:])) * uint64(size)
	if start+length > uint64(len(tail)) {
		return nil, e.errorf("%d bytes at offset %d exceed the tail of %d bytes", length, start, len(tail))
	}
	return tail[start : start+length], nil
}

// errorf returns an error that names the batch and the index of the record.
func (e Event) errorf(format string, args ...any) error {
	return fmt.Errorf("batch %d, record %d: %s", e.frame.Number, e.position, fmt.Sprintf(format, args...))
}

// maxDuration, in nanoseconds, bounds decoded durations so that a sum of one with a time does not overflow.
const maxDuration = 1 << 62

func getDuration(b []byte) time.Duration {
	return time.Duration(min(byteOrder.Uint64(b), maxDuration))
}

// getLoad decodes a load report: the number of its values in one byte, then the values, 4 bytes each.
func getLoad(b []byte) balancer.LoadReport {
	var load balancer.LoadReport
	load.N = min(int(b[0]), balancer.MaxLoadValues)
	for i := range load.N {
		load.Values[i] = math.Float32frombits(byteOrder.Uint32(b[1+4*i:]))
	}
	return load
}
