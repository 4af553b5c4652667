package fleet

import (
	"fmt"
	"time"
)

// maxViolations bounds the violations that a result lists.
const maxViolations = 20

// Violation says that a run broke a rule.
type Violation struct {
	Rule string        `json:"rule"`
	At   time.Duration `json:"at"` // since the script's beginning
	What string        `json:"what"`
}

// String is the violation for people.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.2fs: %s", v.Rule, v.At.Seconds(), v.What)
}

// reporter notes that a rule was broken at an instant of the monotonic clock.
type reporter func(rule string, at time.Duration, format string, args ...any)

// newReporter returns a reporter that appends to a result's violations, as long as there are not too many.
func newReporter(violations *[]Violation, begin time.Duration) reporter {
	return func(rule string, at time.Duration, format string, args ...any) {
		if len(*violations) < maxViolations {
			violation := Violation{Rule: rule, At: at - begin, What: fmt.Sprintf(format, args...)}
			*violations = append(*violations, violation)
		}
	}
}

// reportRun notes what the run itself found: violations of clients and peers, and why it broke off.
func reportRun(a *Account, report reporter) {
	for _, broken := range a.Broken {
		report("world", a.Begin, "%s", broken)
	}
	if a.RunError != nil {
		report("rig", a.Begin, "%v", a.RunError)
	}
}

// verdict is what some violations come to, in a few words.
func verdict(violations []Violation) string {
	if len(violations) == 0 {
		return "held"
	}
	return "broken: " + violations[0].String()
}
