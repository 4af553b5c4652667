// Package sample defines the samples that a run emits while it is in progress:
// the outcome of each client request, periodic readings of the peers and nodes,
// and events. A run emits each sample once, on the goroutine of its loop, whether
// the loop uses a virtual or a real clock.
package sample

import "time"

// Outcome is the final outcome of a request, after all retries of its client.
type Outcome string

// The outcomes. Served says nothing about the latency objective of the class; the
// receiver of the samples evaluates it.
const (
	Served      Outcome = "served"
	Rejected    Outcome = "refused"    // rejected, and never ran
	NotAccepted Outcome = "unreached"  // no node accepted it
	Failed      Outcome = "failed"     // answered with an error, or its connection broke
	Unanswered  Outcome = "unanswered" // the client's timeout expired
	ClientLeft  Outcome = "left"       // the client closed the connection on purpose; not a failure
)

// Request is one finished request of a client. Times are since the start of the run.
type Request struct {
	Class       string        `json:"class"`
	Tenant      string        `json:"tenant"`
	ScheduledAt time.Duration `json:"due"`   // scheduled time of arrival
	SentAt      time.Duration `json:"begun"` // time of sending; after ScheduledAt if the load generator is late
	EndedAt     time.Duration `json:"ended"` // when its outcome was known
	Outcome     Outcome       `json:"outcome"`
	Attempts    int           `json:"tries"` // the number of attempts by the client
}

// Reading is a sample of the state of the peers and of the nodes' processes at one instant.
type Reading struct {
	At    time.Duration `json:"at"`              // since the start of the run
	Peers []Peer        `json:"peers"`           // all peers, in the order of the script
	Nodes []Node        `json:"nodes,omitempty"` // measured only with a real clock; empty with a virtual one
}

// Peer is the state of one peer in a Reading. Counts are since the start of the run.
type Peer struct {
	Name             string `json:"name"`
	Down             bool   `json:"down,omitempty"`
	OpenRequests     int    `json:"held"`             // the number of requests that are queued or being processed
	AttemptsReceived int    `json:"arrived"`          // the number of completely received attempts
	HealthChecks     int    `json:"probes,omitempty"` // the number of received health checks
	OverloadCrashes  int    `json:"falls,omitempty"`  // the number of crashes by overload while cold
}

// Node is the resource use of one node in a Reading.
type Node struct {
	Name          string        `json:"name"`
	CPU           time.Duration `json:"cpu"`      // processor time of all its processes since the start of the run
	ResidentBytes int64         `json:"resident"` // resident memory, in bytes
}

// Event is a state change of a peer or a node.
type Event struct {
	At     time.Duration `json:"at"`   // since the start of the run
	Name   string        `json:"who"`  // name of the peer or node
	Change string        `json:"what"` // word for the change, such as "killed"
}

// Sink receives the samples of a run in the order of their occurrence.
type Sink interface {
	Request(Request)
	Reading(Reading)
	Event(Event)
}
