package fleet

import (
	"fmt"
	"time"
)

// maxViolations is the maximum number of violations in a result.
const maxViolations = 20

// Violation is a broken rule of a run.
type Violation struct {
	Rule string        `json:"rule"`
	At   time.Duration `json:"at"` // time since the start of the script
	What string        `json:"what"`
}

// String returns the violation as one line of output.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.2fs: %s", v.Rule, v.At.Seconds(), v.What)
}

// reporter records that a rule was broken at a monotonic time.
type reporter func(rule string, at time.Duration, format string, args ...any)

// newReporter returns a reporter that appends to violations until there are maxViolations.
func newReporter(violations *[]Violation, begin time.Duration) reporter {
	return func(rule string, at time.Duration, format string, args ...any) {
		if len(*violations) < maxViolations {
			violation := Violation{Rule: rule, At: at - begin, What: fmt.Sprintf(format, args...)}
			*violations = append(*violations, violation)
		}
	}
}

// reportRun reports what the run itself found: broken rules of clients and peers, and the error that ended it early.
func reportRun(a *Account, report reporter) {
	for _, broken := range a.Broken {
		report("world", a.Begin, "%s", broken)
	}
	if a.RunError != nil {
		report("rig", a.Begin, "%v", a.RunError)
	}
}

// verdict summarizes violations in one line: "held", or the first violation.
func verdict(violations []Violation) string {
	if len(violations) == 0 {
		return "held"
	}
	return "broken: " + violations[0].String()
}
