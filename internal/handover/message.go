package handover

import (
	"time"

	"olivebridge/internal/maintenance"
)

// Kind is the type of a message.
type Kind string

// The kinds of message, in the order in which an upgrade uses them.
const (
	// KindServers sends the successor a part of the known servers.
	KindServers Kind = "state"
	// KindListener is the last message of the state. It carries the descriptor of the listener for clients and all state
	// except the servers.
	KindListener Kind = "serve"
	// KindReady reports that the successor accepts clients. It is a request.
	KindReady Kind = "ready"
	// KindCommand asks the other process to execute an operator's command as well. It is a request.
	KindCommand Kind = "call"
	// KindResult is the result of a request.
	KindResult Kind = "done"
	// KindConnection carries the descriptor of an idle client connection.
	KindConnection Kind = "conn"
	// KindClaim asks the predecessor whether a call may be opened, which it may not while another call with its id is
	// open in any process of the node. KindClaimResult has the result.
	KindClaim Kind = "claim"
	// KindClaimResult is the result of the KindClaim with the same RequestNumber.
	KindClaimResult Kind = "claimed"
	// KindOpened reports calls that have been opened in the sender or in a process behind it, or have ended there and must
	// not run again.
	KindOpened Kind = "opened"
	// KindClosed reports the end of calls that were claimed or reported as opened.
	KindClosed Kind = "closed"
)

// OpenCall is a call that is open in a process of the node.
type OpenCall struct {
	// ID is the request id that the client sent.
	ID string `json:"id"`
	// Remaining is the duration, from when the message was sent, after which the call has certainly ended. It is
	// encoded in nanoseconds, and is 0 in KindClosed.
	Remaining time.Duration `json:"left,omitempty"`
	// Repeatable reports whether the call may run more than once.
	Repeatable bool `json:"repeatable,omitempty"`
	// Ended reports whether the call has ended: it may have run, and must not run again for the duration Remaining.
	// Earlier builds take it for an open call.
	Ended bool `json:"ended,omitempty"`
}

// Message is a message between the processes of a node. Each kind uses some of the fields. Processes of other builds
// depend on the JSON keys, so a key stays when its field is renamed.
type Message struct {
	Kind Kind `json:"kind"`
	// Servers are records of known servers; see KindServers.
	Servers []maintenance.Record `json:"servers,omitempty"`
	// ListVersion is the version of the endpoint list that contains the servers; see KindListener.
	ListVersion int64 `json:"version,omitempty"`
	// DiscoveryAddr is the address of the discovery service that assigned ListVersion; see KindListener.
	DiscoveryAddr string `json:"source,omitempty"`
	// Paused reports whether operators have paused the node; see KindListener.
	Paused bool `json:"paused,omitempty"`
	// WarmThroughput is the successor's balancer.Settings.WarmThroughput; see KindListener.
	WarmThroughput float64 `json:"carried_rate,omitempty"`
	// AnswersClaims reports whether the sender answers KindClaim. Earlier builds do not; see KindListener.
	AnswersClaims bool `json:"claims,omitempty"`
	// Calls are the calls to which the message applies; see KindClaim, KindOpened and KindClosed.
	Calls []OpenCall `json:"calls,omitempty"`
	// Granted reports whether a claimed call may be opened; see KindClaimResult.
	Granted bool `json:"granted,omitempty"`
	// RequestNumber identifies a request among those of the same sender. Its result has the same number.
	RequestNumber uint64 `json:"number,omitempty"`
	// Command is the name of the command; see KindCommand.
	Command string `json:"word,omitempty"`
	// ServerID is the id of the server to which the command applies; "": it applies to the node.
	ServerID string `json:"id,omitempty"`
	// Error is the error text of a failed request; "": it succeeded; see KindResult.
	Error string `json:"fault,omitempty"`
}
