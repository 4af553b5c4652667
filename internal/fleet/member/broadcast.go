package member

import "github.com/hashicorp/memberlist"

const (
	// MaxMessage bounds a message of Service.Broadcast, in bytes: it fits into a packet beside what memberlist says.
	MaxMessage = 1200
	// retransmitMultiplier is how often each member passes a message on, times the logarithm of their number: since
	// all do, few times are enough.
	retransmitMultiplier = 2
)

// latestMessage is a message in the queue of gossip. It replaces the one before of the same sender.
type latestMessage struct {
	from    string
	payload []byte
}

var _ memberlist.NamedBroadcast = latestMessage{}

// Name implements memberlist.NamedBroadcast.
func (m latestMessage) Name() string { return m.from }

// Invalidates implements memberlist.Broadcast.
func (m latestMessage) Invalidates(b memberlist.Broadcast) bool {
	other, ok := b.(latestMessage)
	return ok && other.from == m.from
}

// Message implements memberlist.Broadcast.
func (m latestMessage) Message() []byte { return m.payload }

// Finished implements memberlist.Broadcast.
func (latestMessage) Finished() {}

// Broadcast gossips a message to all members, in place of the last one from the same sender. It travels with
// memberlist's own packets, as long as whoever receives it broadcasts it again. A message beyond MaxMessage is
// dropped, and so is one of a process that does not have the node's membership.
func (s *Service) Broadcast(from string, message []byte) {
	a := s.currentAgent()
	if a != nil && len(message) <= MaxMessage {
		a.broadcasts.QueueBroadcast(latestMessage{from, message})
	}
}
