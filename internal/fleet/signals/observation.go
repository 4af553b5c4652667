package signals

import "time"

// Server is an upstream server that takes new requests, and when it last started.
type Server struct {
	ID        uint64
	StartedAt int64 // nanoseconds, by the fleet's common clock; 0: long ago
}

// Result is how an attempt or a health check of this node went.
type Result int

// The results. A connection that was not made in time looks like one that was refused, so that one failure tells
// little.
const (
	Answered Result = iota
	Unanswered
)

// Condition is what a node has observed of a server last.
type Condition uint8

// The conditions. They go over the wire as numbers.
const (
	Failing   Condition = iota // some attempts in a row were not answered
	Missed                     // one attempt was not answered
	Recovered                  // it answered, after it had failed
)

// failingWeight, missedWeight and recoveredWeight are what a condition counts towards the number of witnesses: three
// nodes that each missed one answer are as good as two that are sure. Where one answer in twenty gets lost, three nodes
// miss one of the same server, with no answer between, in one of 170 windows of 1.5 s, after which one of them has had
// an answer.
const (
	failingWeight   = 1
	missedWeight    = 2.0 / 3
	recoveredWeight = 0
)

// weight is what a condition counts towards the number of witnesses.
func (c Condition) weight() float64 {
	switch c {
	case Failing:
		return failingWeight
	case Missed:
		return missedWeight
	}
	return recoveredWeight
}

// Observation is a condition and its age.
type Observation struct {
	Server
	Condition Condition
	Age       time.Duration // when the report was made
}

// Report is what one node has observed.
type Report struct {
	From         string // name of the node
	Incarnation  string // of its process
	Number       uint64 // rises with each report of the incarnation
	Observations []Observation
}
