// Package rules judges a run by what crossed the network, what discovery told
// and what the world knows of itself; it never looks into a node.
package rules

import (
	"fmt"
	"time"
)

// Violation is a broken rule.
type Violation struct {
	Rule string        `json:"rule"` // its short name, see Names
	At   time.Duration `json:"at"`   // since the start of the run
	What string        `json:"what"` // one line
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.6fs: %s", v.Rule, v.At.Seconds(), v.What)
}
