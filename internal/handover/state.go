package handover

import (
	"fmt"

	"olivebridge/internal/maintenance"
)

// maxServersPerMessage keeps a message of servers with names of 200 bytes below maxMessageBytes.
const maxServersPerMessage = 60

// NodeState is what a successor takes over from the process in service.
type NodeState struct {
	Servers []maintenance.Record
	// ListVersion is the version of the endpoint list that the servers are from.
	ListVersion int64
	// DiscoveryAddr is the address of the discovery that numbers the list's versions.
	DiscoveryAddr string
	// Paused reports that operators have paused the node.
	Paused bool
	// WarmThroughput is balancer.Settings.WarmThroughput for the successor; 0: not known.
	WarmThroughput float64
}

// Messages returns the messages that bring the state, the one that goes with the listener last.
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
	})
}

// add takes a received message into the state, and reports whether it was the last.
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
		return true, nil
	}
	return false, fmt.Errorf("hand-over: %q where the heritage was to come", m.Kind)
}

// ResourceShare returns the share of the node's limits that one of its processes may use: they count together.
func ResourceShare(processes int) float64 { return 1 / float64(max(processes, 1)) }
