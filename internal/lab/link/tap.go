package link

import (
	"fmt"
	"strings"
	"time"
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
func (c Crossing) String() string {
	way := ">"
	if c.Back {
		way = "<"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%.9f %s %s %s", c.At.Seconds(), c.Conn, way, c.What)
	if c.Data != nil {
		head, _, _ := strings.Cut(string(c.Data[:min(len(c.Data), 80)]), "\r\n")
		fmt.Fprintf(&b, " %d %016x %q", len(c.Data), sum(c.Data), head)
	}
	if c.Note != "" {
		fmt.Fprintf(&b, " %s", c.Note)
	}
	return b.String()
}

// sum tells bytes apart in a trace (FNV-1a).
func sum(b []byte) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range b {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h
}
