package member

// EventKind is what was learned of a member.
type EventKind int

// The kinds of events.
const (
	EventAlive   EventKind = iota // it is alive, as the event describes it
	EventSuspect                  // it does not answer probes
	EventRefuted                  // it has refuted a suspicion
	EventDead                     // it was declared dead
	EventLeft                     // it has said that it left
)

// Event is one thing learned of a member.
type Event struct {
	Kind EventKind
	Name string
	Zone string // of EventAlive
	Addr string // of EventAlive
	// Incarnation may be zero but for EventAlive: then the event is of whatever incarnation is known.
	Incarnation Incarnation
	Leaving     bool // of EventAlive: it is shutting down as planned
	Predecessor bool // of EventAlive: see Member
	// ReceivedRecently reports of EventDead and EventLeft that this process had a message of the member itself just before.
	ReceivedRecently bool
}
