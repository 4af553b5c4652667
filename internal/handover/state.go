package handover

import (
	"fmt"

	"olivebridge/internal/maintenance"
)

// maxServersPerMessage is the maximum number of servers in a message. It keeps a message of servers with names of 200
// bytes below maxMessageBytes.
const maxServersPerMessage = 60

// NodeState is the state that a successor takes over from the process in service.
type NodeState struct {
	Servers []maintenance.Record
	// ListVersion is the version of the endpoint list that contains the servers.
	ListVersion int64
	// DiscoveryAddr is the address of the discovery service that assigned ListVersion.
	DiscoveryAddr string
	// Paused reports whether operators have paused the node.
	Paused bool
	// WarmThroughput is the successor's balancer.Settings.WarmThroughput; 0: unknown.
	WarmThroughput float64
	// AnswersClaims reports whether the process answers messages of KindClaim.
	AnswersClaims bool
}

// Messages returns the messages that transfer the state, in the order to send them. The last one is of KindListener and
// must be sent with the descriptor of the listener for clients.
func (s NodeState) Messages() []Message {
	var messages []Message
	for rest := s.Servers; len(rest) > 0; {
		count := min(len(rest), maxServersPerMessage)
		messages = append(messages, Message{Kind: KindServers, Servers: rest[:count]})
		rest = rest[count:]
	}
	return append(messages, Message{
		Kind:           KindListener,
		ListVersion:    s.ListVersion,
		DiscoveryAddr:  s.DiscoveryAddr,
		Paused:         s.Paused,
		WarmThroughput: s.WarmThroughput,
		AnswersClaims:  s.AnswersClaims,
	})
}

// add adds the contents of a received message to the state, and reports whether it was the last message of the state.
func (s *NodeState) add(m Message) (last bool, err error) {
	switch m.Kind {
	case KindServers:
		s.Servers = append(s.Servers, m.Servers...)
		return false, nil
	case KindListener:
		s.ListVersion = m.ListVersion
		s.DiscoveryAddr = m.DiscoveryAddr
		s.Paused = m.Paused
		s.WarmThroughput = m.WarmThroughput
		s.AnswersClaims = m.AnswersClaims
		return true, nil
	}
	return false, fmt.Errorf("hand-over: got message kind %q, want the node's state", m.Kind)
}

// ResourceShare returns the share of the node's resource limits, above 0 and at most 1, that each of its processes may
// use. The limits apply to all processes together.
func ResourceShare(processes int) float64 { return 1 / float64(max(processes, 1)) }
