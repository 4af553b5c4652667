package signals

import (
	"fmt"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// maxNameBytes is the maximum length of a node's name or incarnation in a report, in bytes.
const maxNameBytes = 64

// wireReport is the msgpack form of a Report. Structs are encoded as arrays without field names, so that
// MaxObservations fit into one packet of member.MaxMessage, 1,200 bytes. The order of the fields is therefore part of
// the format.
type wireReport struct {
	From         string
	Incarnation  string
	Number       uint64
	Observations []wireObservation
}

// wireObservation is the msgpack form of an Observation. The order of its fields is part of the format.
type wireObservation struct {
	ID        uint64
	StartedAt int64
	Condition uint8
	Age       uint32 // milliseconds
}

// msgpackHandle returns the msgpack options of reports.
func msgpackHandle() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.StructToArray = true
	return h
}

// encode returns the message that carries a report.
func encode(r Report) (b []byte, err error) {
	out := wireReport{From: r.From, Incarnation: r.Incarnation, Number: r.Number}
	for _, o := range r.Observations {
		out.Observations = append(out.Observations, wireObservation{
			ID:        o.ID,
			StartedAt: o.StartedAt,
			Condition: uint8(o.Condition),
			Age:       uint32(o.Age.Milliseconds()),
		})
	}
	err = codec.NewEncoderBytes(&b, msgpackHandle()).Encode(&out)
	return b, err
}

// decode returns the report in a message. It returns an error if the message is malformed or exceeds a limit.
func decode(b []byte) (Report, error) {
	var in wireReport
	if err := codec.NewDecoderBytes(b, msgpackHandle()).Decode(&in); err != nil {
		return Report{}, fmt.Errorf("signals report: decode msgpack: %w", err)
	}
	if in.From == "" || len(in.From) > maxNameBytes || len(in.Incarnation) > maxNameBytes ||
		len(in.Observations) > MaxObservations {
		return Report{}, fmt.Errorf("signals report: sender missing or limit exceeded: name of %d bytes, %d observations",
			len(in.From), len(in.Observations))
	}
	r := Report{From: in.From, Incarnation: in.Incarnation, Number: in.Number}
	for _, o := range in.Observations {
		if o.Condition > uint8(Recovered) {
			return Report{}, fmt.Errorf("signals report: unknown condition %d", o.Condition)
		}
		r.Observations = append(r.Observations, Observation{
			Server:    Server{ID: o.ID, StartedAt: o.StartedAt},
			Condition: Condition(o.Condition),
			Age:       time.Duration(o.Age) * time.Millisecond,
		})
	}
	return r, nil
}
