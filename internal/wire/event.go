package wire

import (
	"fmt"
	"math"
	"time"

	"olivebridge/balancer"
)

// Event is one record of a batch; its methods read the fields of its code. It is valid until the next Read of its
// frame.
type Event struct {
	frame    *Frame
	position int
	record   []byte
}

// Code returns the event's code, maybe an unknown one.
func (e Event) Code() EventCode { return EventCode(e.record[codeOffset]) }

// Instance returns the number of the instance concerned.
func (e Event) Instance() uint32 { return byteOrder.Uint32(e.record[instanceOffset:]) }

// ID returns the request's id; of all events but EventStart, EventEndpoints, EventHealthCheck and EventPeerMessage.
func (e Event) ID() balancer.RequestID {
	return balancer.RequestID(byteOrder.Uint64(e.record[requestIDOffset:]))
}

// Ref returns the reference that the timer of an EventTimer was set with.
func (e Event) Ref() uint64 { return byteOrder.Uint64(e.record[timerRefOffset:]) }

// Seed returns the seed of an EventStart.
func (e Event) Seed() uint64 { return byteOrder.Uint64(e.record[startSeedOffset:]) }

// Attempt returns the number of an EventFirstByte's attempt.
func (e Event) Attempt() int { return int(byteOrder.Uint16(e.record[firstByteAttemptOffset:])) }

// UpdateKind returns the kind of an EventEndpoints.
func (e Event) UpdateKind() (balancer.UpdateKind, error) {
	kind := balancer.UpdateKind(e.record[endpointsKindOffset])
	if kind > balancer.UpdateFailed {
		return 0, e.errorf("unknown kind of list %d", kind)
	}
	return kind, nil
}

// Settings returns the settings of an EventStart, as settings.DecodeText takes them.
func (e Event) Settings() ([]byte, error) { return e.tail(startSettingsOffset, 1) }

// PeerMessage returns the sender of an EventPeerMessage, and its bytes.
func (e Event) PeerMessage() (sender int, data []byte, err error) {
	data, err = e.tail(peerMessageDataOffset, 1)
	return int(byteOrder.Uint16(e.record[peerMessageSenderOffset:])), data, err
}

// Endpoints returns the list of an EventEndpoints. It is overwritten by the next call on the frame.
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
			return nil, e.errorf("unknown availability %d", server.State)
		}
		endpoints = append(endpoints, server)
	}
	e.frame.endpoints = endpoints
	return endpoints, nil
}

// The bits of a request's options.
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

// Outcome returns how the attempt of an EventOutcome ended.
func (e Event) Outcome() (balancer.Outcome, error) {
	result, err := e.result(byteOrder.Uint16(e.record[outcomeResultOffset:]))
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

// HealthCheck returns the result of an EventHealthCheck.
func (e Event) HealthCheck() (balancer.HealthCheckResult, error) {
	result, err := e.result(byteOrder.Uint16(e.record[healthCheckResultOffset:]))
	return balancer.HealthCheckResult{
		Server:  getServer(e.record[healthCheckServerOffset:]),
		Latency: getDuration(e.record[healthCheckLatencyOffset:]),
		Result:  result,
		Load:    getLoad(e.record[healthCheckLoadOffset:]),
	}, err
}

// Outcome codes are the results in order, in steps: firstOutcome is balancer.OK.
const (
	firstOutcome = 10
	lastOutcome  = 80
	outcomeStep  = 10
)

func (e Event) result(code uint16) (balancer.Result, error) {
	if code < firstOutcome || code > lastOutcome || code%outcomeStep != 0 {
		return 0, e.errorf("unknown outcome %d", code)
	}
	return balancer.Result((code - firstOutcome) / outcomeStep), nil
}

// tail returns the items of a size that a record refers to: their offset in the tail and their count stand at a
// position of the record.
func (e Event) tail(position, size int) ([]byte, error) {
	tail := e.frame.tail()
	start := uint64(byteOrder.Uint32(e.record[position:]))
	length := uint64(byteOrder.Uint32(e.record[position+4:])) * uint64(size)
	if start+length > uint64(len(tail)) {
		return nil, e.errorf("%d bytes at %d lie outside the tail of %d", length, start, len(tail))
	}
	return tail[start : start+length], nil
}

func (e Event) errorf(format string, args ...any) error {
	return fmt.Errorf("batch %d, record %d: %s", e.frame.Number, e.position, fmt.Sprintf(format, args...))
}

// maxDuration bounds a time, so that sums with it do not overflow.
const maxDuration = 1 << 62

func getDuration(b []byte) time.Duration {
	return time.Duration(min(byteOrder.Uint64(b), maxDuration))
}

func getLoad(b []byte) balancer.LoadReport {
	var load balancer.LoadReport
	load.N = min(int(b[0]), balancer.MaxLoadValues)
	for i := range load.N {
		load.Values[i] = math.Float32frombits(byteOrder.Uint32(b[1+4*i:]))
	}
	return load
}
