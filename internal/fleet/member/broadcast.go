package member

import "github.com/hashicorp/memberlist"

const (
	// MaxMessage is the maximum length of a message of Service.Broadcast, in bytes. Such a message fits into one packet
	// together with memberlist's own messages.
	MaxMessage = 1200
	// retransmitMultiplier, multiplied by the logarithm of the number of members, is the number of times that each member
	// sends a message. A low value suffices because every member forwards the message.
	retransmitMultiplier = 2
)

// latestMessage is a message in the gossip queue. It replaces the previous queued message from the same sender.
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

// Broadcast gossips a message to all members and replaces the queued message from the same sender. The message is sent
// in memberlist's own packets; it spreads as long as each receiver calls Broadcast with it again. It is dropped if it
// is longer than MaxMessage or if this process does not hold the node's membership.
func (s *Service) Broadcast(from string, message []byte) {
	a := s.currentAgent()
	if a != nil && len(message) <= MaxMessage {
		a.broadcasts.QueueBroadcast(latestMessage{from, message})
	}
}
