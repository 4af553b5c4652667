package handover

import (
	"olivebridge/internal/maintenance"
)

// Kind says what a message is about.
type Kind string

// The kinds of message, in the order in which an upgrade uses them.
const (
	// KindServers brings the successor a part of the servers that are known.
	KindServers Kind = "state"
	// KindListener ends the state: it brings the listener of clients and all else that the successor takes over.
	KindListener Kind = "serve"
	// KindReady says that the successor takes clients. It is a request.
	KindReady Kind = "ready"
	// KindCommand asks the other process to carry out an operator's command, too. It is a request.
	KindCommand Kind = "call"
	// KindResult answers a request.
	KindResult Kind = "done"
	// KindConnection brings a client connection that is idle.
	KindConnection Kind = "conn"
)

// Message is what one process of a node sends to the other. A kind uses some of its fields. The JSON keys are a
// contract with processes of other builds, and do not follow the names in the code.
type Message struct {
	Kind Kind `json:"kind"`
	// Servers are those of KindServers.
	Servers []maintenance.Record `json:"servers,omitempty"`
	// ListVersion is the version of the endpoint list that the servers are from; see KindListener.
	ListVersion int64 `json:"version,omitempty"`
	// DiscoveryAddr is the address of the discovery that numbers the list's versions; see KindListener.
	DiscoveryAddr string `json:"source,omitempty"`
	// Paused reports that operators have paused the node; see KindListener.
	Paused bool `json:"paused,omitempty"`
	// WarmThroughput is balancer.Settings.WarmThroughput for the successor; see KindListener.
	WarmThroughput float64 `json:"carried_rate,omitempty"`
	// RequestNumber tells requests of one process apart; their result carries the same.
	RequestNumber uint64 `json:"number,omitempty"`
	// Command is the command's name; see KindCommand.
	Command string `json:"word,omitempty"`
	// ServerID is the server that the command is about; "" if it is about the node.
	ServerID string `json:"id,omitempty"`
	// Error says why a request failed; "" if it did not; see KindResult.
	Error string `json:"fault,omitempty"`
}
