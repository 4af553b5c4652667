package rules

import (
	"fmt"
	"time"
)

// Violation is one broken rule.
type Violation struct {
	// Rule is the short name of the rule; see Names.
	Rule string `json:"rule"`
	// At is when it was broken, since the start of the run.
	At time.Duration `json:"at"`
	// What says in one line what was seen.
	What string `json:"what"`
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.6fs: %s", v.Rule, v.At.Seconds(), v.What)
}
