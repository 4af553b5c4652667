package rules

import (
	"fmt"
	"time"
)

// Violation is one violation of a rule.
type Violation struct {
	// Rule is the short name of the rule; see Names.
	Rule string `json:"rule"`
	// At is the time of the violation since the start of the run.
	At time.Duration `json:"at"`
	// Detail describes the observation in one line.
	Detail string `json:"what"`
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.6fs: %s", v.Rule, v.At.Seconds(), v.Detail)
}
