// Package stage plays a script: it builds the world, the network and the nodes
// inside a testing/synctest bubble, lets the faults happen, and judges.
package stage

import (
	"fmt"
	"time"

	"olivebridge/internal/lab/rules"
)

// Result is what came of a run.
type Result struct {
	Seed       uint64            `json:"seed"`
	Violations []rules.Violation `json:"violations,omitempty"`
	Hash       string            `json:"hash"` // SHA-256 of the trace, in hexadecimal
	Kinds      []string          `json:"kinds"`
	Pairs      [][2]string       `json:"pairs,omitempty"` // kinds of faults that overlapped
	Virtual    time.Duration     `json:"virtual"`
	Tally      Tally             `json:"tally"`
}

// Tally counts a run's requests, first tries but for Retries.
type Tally struct {
	Asked      int     `json:"asked"`
	Served     int     `json:"served"` // within the aim
	Late       int     `json:"late"`   // after it
	Refused    int     `json:"refused"`
	Failed     int     `json:"failed"`
	Unanswered int     `json:"unanswered"`
	Left       int     `json:"left"`
	Retries    int     `json:"retries"`
	Tries      int     `json:"tries"` // that reached a peer
	Worth      float64 `json:"worth"` // served, of Asked's
	Whole      float64 `json:"whole"` // asked
}

// String is the tally in one line; worth is the share of what was asked.
func (t Tally) String() string {
	return fmt.Sprintf("asked %d served %d late %d refused %d failed %d unanswered %d left %d retries %d tries %d worth %.4f",
		t.Asked, t.Served, t.Late, t.Refused, t.Failed, t.Unanswered, t.Left, t.Retries, t.Tries, t.Worth/max(t.Whole, 1e-9))
}

// Add adds another tally.
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
