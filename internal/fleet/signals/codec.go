package signals

import (
	"fmt"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// maxName bounds names and incarnations of nodes in a report, in bytes.
const maxName = 64

// wireReport is a report in msgpack, as arrays without names of fields, so that MaxObservations fit into one packet of
// member.MaxMessage, 1,200 bytes. The order of the fields is the format.
type wireReport struct {
	From         string
	Incarnation  string
	Number       uint64
	Observations []wireObservation
}

type wireObservation struct {
	ID        uint64
	StartedAt int64
	Condition uint8
	Age       uint32 // milliseconds
}

func msgpackHandle() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.StructToArray = true
	return h
}

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

func decode(b []byte) (Report, error) {
	var in wireReport
	if err := codec.NewDecoderBytes(b, msgpackHandle()).Decode(&in); err != nil {
		return Report{}, fmt.Errorf("a word of peers: %w", err)
	}
	if in.From == "" || len(in.From) > maxName || len(in.Incarnation) > maxName ||
		len(in.Observations) > MaxObservations {
		return Report{}, fmt.Errorf("a word of peers: %d bytes of name, %d peers", len(in.From), len(in.Observations))
	}
	r := Report{From: in.From, Incarnation: in.Incarnation, Number: in.Number}
	for _, o := range in.Observations {
		if o.Condition > uint8(Recovered) {
			return Report{}, fmt.Errorf("a word of peers: mark %d", o.Condition)
		}
		r.Observations = append(r.Observations, Observation{
			Server:    Server{ID: o.ID, StartedAt: o.StartedAt},
			Condition: Condition(o.Condition),
			Age:       time.Duration(o.Age) * time.Millisecond,
		})
	}
	return r, nil
}
