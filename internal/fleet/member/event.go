package member

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	EventAlive   EventKind = iota // the member is alive; the event has its description
	EventSuspect                  // the member does not answer probes
	EventRefuted                  // the member has refuted a suspicion
	EventDead                     // the member was declared dead
	EventLeft                     // the member has announced that it left
)

// Event is a change of one member that memberlist reported or a probe found.
type Event struct {
	Kind EventKind
	Name string
	Zone string // set for EventAlive
	Addr string // set for EventAlive
	// Incarnation is required for EventAlive. For other kinds, zero means the incarnation that the table has, whichever it
	// is.
	Incarnation Incarnation
	Leaving     bool // set for EventAlive: a planned shutdown has begun
	Predecessor bool // set for EventAlive: see Member.Predecessor
	// ReceivedRecently is set for EventDead and EventLeft: this process received a packet or frame of the member itself
	// within recentReceptionWindow.
	ReceivedRecently bool
}
