// Package stage plays a script in virtual time: it builds the world, the network and the nodes inside a
// testing/synctest bubble, applies the faults, and checks the rules.
package stage

import (
	"fmt"
	"time"

	"olivebridge/internal/lab/rules"
)

// Result is the result of a run.
type Result struct {
	Seed       uint64            `json:"seed"`
	Violations []rules.Violation `json:"violations,omitempty"`
	Hash       string            `json:"hash"` // SHA-256 of the trace, in hexadecimal
	Kinds      []string          `json:"kinds"`
	Pairs      [][2]string       `json:"pairs,omitempty"` // pairs of kinds of faults that overlapped
	Virtual    time.Duration     `json:"virtual"`
	Tally      Tally             `json:"tally"`
}

// Tally counts the requests of a run. Except for Retries and Tries, it counts first requests and not their retries.
type Tally struct {
	Asked      int     `json:"asked"`
	Served     int     `json:"served"` // within the latency objective
	Late       int     `json:"late"`   // after the latency objective
	Refused    int     `json:"refused"`
	Failed     int     `json:"failed"`
	Unanswered int     `json:"unanswered"`
	Left       int     `json:"left"`
	Retries    int     `json:"retries"`
	Tries      int     `json:"tries"` // attempts that reached a peer
	Worth      float64 `json:"worth"` // priority weight of the requests served
	Whole      float64 `json:"whole"` // priority weight of all requests sent
}

// String returns the tally in one line. Its worth is Worth divided by Whole.
func (t Tally) String() string {
	return fmt.Sprintf("asked %d served %d late %d refused %d failed %d unanswered %d left %d retries %d tries %d worth %.4f",
		t.Asked, t.Served, t.Late, t.Refused, t.Failed, t.Unanswered, t.Left, t.Retries, t.Tries, t.Worth/max(t.Whole, 1e-9))
}

// Add adds the counts of another tally.
func (t *Tally) Add(o Tally) {
	t.Asked += o.Asked
	t.Served += o.Served
	t.Late += o.Late
	t.Refused += o.Refused
	t.Failed += o.Failed
	t.Unanswered += o.Unanswered
	t.Left += o.Left
	t.Retries += o.Retries
	t.Tries += o.Tries
	t.Worth += o.Worth
	t.Whole += o.Whole
}
