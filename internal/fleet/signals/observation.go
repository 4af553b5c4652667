package signals

import "time"

// Server is an upstream server that accepts new requests, in one incarnation.
type Server struct {
	ID        uint64
	StartedAt int64 // start time in nanoseconds, by the fleet's common clock; 0: long ago
}

// Result is the result of an attempt or a health check of this node.
type Result int

// Results of an attempt or a health check. A connection timeout cannot be distinguished from a refused connection, so
// a single Unanswered is weak evidence.
const (
	Answered Result = iota
	Unanswered
)

// Condition is a node's last observation of a server.
type Condition uint8

// Conditions of a server. They are sent to other nodes as numbers, so their values must not change.
const (
	Failing   Condition = iota // failingThreshold or more consecutive attempts were not answered
	Missed                     // the last attempt was not answered
	Recovered                  // the server answered after a failure
)

// failingWeight, missedWeight and recoveredWeight are the weights of a condition towards the required number of
// witnesses. Three nodes that each missed one answer count as much as two nodes for which the server is failing. If one
// answer in twenty is lost, three nodes miss an answer of the same healthy server, without an answer in between, in one
// of 170 windows of 1.5 s; after that time one of them has received an answer.
const (
	failingWeight   = 1
	missedWeight    = 2.0 / 3
	recoveredWeight = 0
)

// weight returns the weight of a report of the condition towards the required number of witnesses.
func (c Condition) weight() float64 {
	switch c {
	case Failing:
		return failingWeight
	case Missed:
		return missedWeight
	}
	return recoveredWeight
}

// Observation is the condition of a server and the age of the observation.
type Observation struct {
	Server
	Condition Condition
	Age       time.Duration // at the time at which the report was created
}

// Report is the observations of one node.
type Report struct {
	From         string // name of the node
	Incarnation  string // incarnation of the node's process
	Number       uint64 // increases with each report of the incarnation
	Observations []Observation
}
