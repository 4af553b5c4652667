package live

import (
	"bytes"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"olivebridge/internal/lab/world/client"
)

// checker checks those rules of package rules that can be decided with certainty
// from what clients and peers observe, whatever the network does between them and
// however late this machine runs:
//
//   - effect: an unsafe call that has reached a peer and may have run there does not
//     reach a peer again and is not refused; no call has more tries than the
//     contract allows;
//   - wrong answer: a 200 names its client's call, and its body is that of a 200 that
//     a peer sent for the call;
//   - bad: a request that must not be served is not served (see Run.checkRogues).
//
// All methods must be called on the loop.
type checker struct {
	onAttempt       func(peer, call string) // called for each try that reaches a peer; may be nil
	onAttemptEnd    func(peer, call string) // called when a peer is done with a try; may be nil
	onAttemptSpared func(peer, call string) // called for each try that a peer rejects without running it; may be nil
	maxTries        int                     // limit of tries of one call; 0: none
	retention       time.Duration           // duration for which a call is kept after its first try
	now             func() time.Duration
	calls           map[string]*callRecord
	order           []*callRecord // calls by firstSeen, ascending
	violations      []string
	omitted         int // number of violations beyond maxViolations
}

// callRecord is a call that has reached a peer.
type callRecord struct {
	call       string
	firstSeen  time.Duration // instant of the first try
	safe       bool
	attempts   int
	mayHaveRun int      // number of attempts that may have run
	bodies     []uint64 // hashes of the bodies of the 200s that peers sent for it
}

// maxViolations is the largest number of violations kept; later ones are only counted.
const maxViolations = 20

// newChecker returns a checker for a limit of tries per call (0: none). now is the
// script's clock.
func newChecker(tryLimit int, retention time.Duration, now func() time.Duration) *checker {
	return &checker{maxTries: tryLimit, retention: retention, now: now, calls: map[string]*callRecord{}}
}

// addViolation records a violation of a rule with the current instant.
func (c *checker) addViolation(rule, format string, args ...any) {
	if len(c.violations) == maxViolations {
		c.omitted++
		return
	}
	c.violations = append(c.violations,
		fmt.Sprintf("%s at %.6fs: %s", rule, c.now().Seconds(), fmt.Sprintf(format, args...)))
}

// violationLines returns the violations, one line each.
func (c *checker) violationLines() []string {
	if c.omitted == 0 {
		return c.violations
	}
	return append(c.violations[:len(c.violations):len(c.violations)], fmt.Sprintf("and %d more", c.omitted))
}

// AttemptReceived implements event.AttemptObserver.
func (c *checker) AttemptReceived(peer, call string, safe bool) {
	now := c.now()
	if c.onAttempt != nil {
		c.onAttempt(peer, call)
	}
	m := c.calls[call]
	if m == nil {
		c.expire(now)
		m = &callRecord{call: call, firstSeen: now, safe: safe}
		c.calls[call] = m
		c.order = append(c.order, m)
	}
	m.attempts++
	switch {
	case !m.safe && m.mayHaveRun > 0:
		c.addViolation("effect", "call %s comes to peer %s, though an earlier try may have run", call, peer)
	case c.maxTries > 0 && m.attempts > c.maxTries:
		c.addViolation("effect", "call %s comes to peer %s as try %d of %d", call, peer, m.attempts, c.maxTries)
	}
	m.mayHaveRun++
}

// AttemptRejected implements event.AttemptObserver.
func (c *checker) AttemptRejected(peer, call string) {
	c.attemptEnded(peer, call)
	if c.onAttemptSpared != nil {
		c.onAttemptSpared(peer, call)
	}
	if m := c.calls[call]; m != nil {
		m.mayHaveRun--
	}
}

// AttemptAnswered implements event.AttemptObserver.
func (c *checker) AttemptAnswered(peer, call string, body []byte) {
	c.attemptEnded(peer, call)
	if m := c.calls[call]; m != nil {
		m.bodies = append(m.bodies, xxhash.Sum64(body))
	}
}

// attemptEnded notifies onAttemptEnd.
func (c *checker) attemptEnded(peer, call string) {
	if c.onAttemptEnd != nil {
		c.onAttemptEnd(peer, call)
	}
}

// checkResponse checks a response that a client received.
func (c *checker) checkResponse(a client.Response) {
	m := c.calls[a.Call]
	switch a.Status {
	case 200:
		if !bytes.Contains(a.Body, []byte("call="+a.Call+" ")) {
			c.addViolation("wrong answer", "call %s gets what names another call: %.60q", a.Call, a.Body)
			return
		}
		sum := xxhash.Sum64(a.Body)
		if m != nil {
			for _, made := range m.bodies {
				if made == sum {
					return
				}
			}
		}
		c.addViolation("wrong answer", "call %s gets a body that no peer made for it: %.60q", a.Call, a.Body)
	case 429, 503:
		if m != nil && !m.safe && m.mayHaveRun > 0 {
			c.addViolation("effect", "call %s is refused, though a try may have run", a.Call)
		}
	}
}

// expire drops calls older than retention, whose clients no longer wait.
func (c *checker) expire(now time.Duration) {
	for len(c.order) > 0 && c.order[0].firstSeen < now-c.retention {
		delete(c.calls, c.order[0].call)
		c.order[0] = nil
		c.order = c.order[1:]
	}
}
