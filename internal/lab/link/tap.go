package link

import (
	"bytes"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Tap sees all that crosses the network, in order: it is how a run is traced
// and judged. It must not keep Data.
type Tap interface{ See(c Crossing) }

// What crosses the network.
type What uint8

const (
	Dial    What = iota // From asks for a connection to To
	Open                // it is up: first at To's side (Back), then at the side that dialed
	Fail                // it did not come up, for the reason in Note
	Sent                // bytes left the sending machine: they have been written whole
	Arrived             // bytes reached the other machine
	Read                // bytes were taken by the program there
	Fin                 // the sender ended its sending
	Broke               // an end of the connection was reset, for the reason in Note
	Shut                // the program at one end closed it; Note says "unread" if it left bytes
)

var words = [...]string{"dial", "open", "fail", "sent", "arrived", "read", "fin", "broke", "shut"}

func (w What) String() string { return words[w] }

// Crossing is one thing that crosses the network. The connection's From is the
// host that dialed it, To the address that it dialed.
type Crossing struct {
	At       time.Duration // since the start of the run
	What     What
	Conn     string // its ID
	From, To string // of the connection: host that dialed, address dialed
	Back     bool   // from To's side to From's; for Open, Shut, Broke: at To's side
	Data     []byte // of Sent, Arrived; for Read only its length counts
	Note     string
}

// String is the line of a trace: one for each crossing.
func (c Crossing) String() string { return string(c.Append(nil)) }

// shown is how much of what crosses a line shows; a hash stands for the rest.
const shown = 80

// Append appends the line.
func (c Crossing) Append(b []byte) []byte {
	b = strconv.AppendFloat(b, c.At.Seconds(), 'f', 9, 64)
	b = append(append(b, ' '), c.Conn...)
	if c.Back {
		b = append(b, " < "...)
	} else {
		b = append(b, " > "...)
	}
	b = append(b, c.What.String()...)
	if c.Data != nil {
		head, _, _ := bytes.Cut(c.Data[:min(len(c.Data), shown)], []byte("\r\n"))
		b = strconv.AppendInt(append(b, ' '), int64(len(c.Data)), 10)
		b = strconv.AppendUint(append(b, ' '), xxhash.Sum64(c.Data), 16)
		b = strconv.AppendQuoteToASCII(append(b, ' '), string(head))
	}
	if c.Note != "" {
		b = append(append(b, ' '), c.Note...)
	}
	return b
}
