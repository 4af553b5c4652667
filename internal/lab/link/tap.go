package link

import (
	"bytes"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Tap observes every event on a Fabric, in order, which allows a run to be traced and checked. It is called on the
// goroutine of the run's loop.Loop, and must not keep Event.Data after the call returns.
type Tap interface{ Observe(event Event) }

// EventKind is the kind of an event on a connection.
type EventKind uint8

// The kinds of events.
const (
	Dial     EventKind = iota // From requests a connection to To
	Open                      // the connection is up: first at To's side (Back), then at the side that dialed
	Fail                      // the connection could not be established, for the reason in Note
	Sent                      // bytes were sent by the sending machine
	Arrived                   // bytes reached the other machine
	Read                      // bytes were read by the program there
	Finished                  // the sender ended its sending
	Reset                     // an end of the connection was reset, for the reason in Note
	Closed                    // the program at one end closed the connection; Note is "unread" if it left bytes unread
)

// eventNames are the names of the kinds in a trace.
var eventNames = [...]string{"dial", "open", "fail", "sent", "arrived", "read", "fin", "broke", "shut"}

func (k EventKind) String() string { return eventNames[k] }

// Event is one event on a connection.
type Event struct {
	At   time.Duration // since the start of the run
	Kind EventKind
	Conn string // the connection's ID
	From string // the host that dialed the connection
	To   string // the address that it dialed
	Back bool   // from To's side to From's; for Open, Closed, Reset: at To's side
	Data []byte // the bytes of Sent and Arrived; for Read only the length counts
	Note string // reason or manner of the event, in a word or two; usually empty
}

// String returns the event's line in a trace.
func (e Event) String() string { return string(e.Append(nil)) }

// maxShown is the maximum number of bytes of Data that a line shows; a hash identifies all of them.
const maxShown = 80

// Append appends the event's line in a trace, without a line end.
func (e Event) Append(b []byte) []byte {
	b = strconv.AppendFloat(b, e.At.Seconds(), 'f', 9, 64)
	b = append(b, ' ')
	b = append(b, e.Conn...)
	if e.Back {
		b = append(b, " < "...)
	} else {
		b = append(b, " > "...)
	}
	b = append(b, e.Kind.String()...)
	if e.Data != nil {
		b = appendData(b, e.Data)
	}
	if e.Note != "" {
		b = append(b, ' ')
		b = append(b, e.Note...)
	}
	return b
}

// appendData appends the length, the hash and the first line of data.
func appendData(b, data []byte) []byte {
	firstLine, _, _ := bytes.Cut(data[:min(len(data), maxShown)], []byte("\r\n"))
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(len(data)), 10)
	b = append(b, ' ')
	b = strconv.AppendUint(b, xxhash.Sum64(data), 16)
	b = append(b, ' ')
	return strconv.AppendQuoteToASCII(b, string(firstLine))
}
