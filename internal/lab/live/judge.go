package live

import (
	"bytes"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"olivebridge/internal/lab/world/client"
)

// checker holds nodes to those rules of package rules that can be told for sure
// from the ends of clients and peers, whatever the way between them does and
// however late this machine runs:
//
//   - effect: an unsafe call that has come to a peer, and may run there, comes to
//     none again, and is not refused; no call comes more often than the contract allows;
//   - wrong answer: a 200 names its client's call, and has the body of a 200 that
//     a peer made for it;
//   - bad: what must not be served is not (see Run.misled).
//
// It belongs to the loop.
type checker struct {
	onAttempt       func(peer, call string) // of each try; nil: nobody
	onAttemptEnd    func(peer, call string) // of the end of each; nil: nobody
	onAttemptSpared func(peer, call string) // hears of those that will not run; nil: nobody
	maxTries        int                     // tries of a call
	retention       time.Duration           // how long a call is remembered
	now             func() time.Duration
	calls           map[string]*callRecord
	order           []*callRecord // the first first
	violations      []string
	omitted         int
}

// callRecord is a call that has come to a peer.
type callRecord struct {
	call       string
	firstSeen  time.Duration // the first time
	safe       bool
	attempts   int
	mayHaveRun int      // of them, how many may run, or have
	bodies     []uint64 // of the 200s that peers made for it
}

// maxViolations bounds the breaks that are kept.
const maxViolations = 20

func newChecker(tryLimit int, retention time.Duration, now func() time.Duration) *checker {
	return &checker{maxTries: tryLimit, retention: retention, now: now, calls: map[string]*callRecord{}}
}

// addViolation notes that a rule is broken.
func (j *checker) addViolation(rule, format string, args ...any) {
	if len(j.violations) == maxViolations {
		j.omitted++
		return
	}
	j.violations = append(j.violations, fmt.Sprintf("%s at %.6fs: %s", rule, j.now().Seconds(), fmt.Sprintf(format, args...)))
}

// violationLines is what was found.
func (j *checker) violationLines() []string {
	if j.omitted == 0 {
		return j.violations
	}
	return append(j.violations[:len(j.violations):len(j.violations)], fmt.Sprintf("and %d more", j.omitted))
}

// AttemptReceived implements event.AttemptObserver.
func (j *checker) AttemptReceived(peer, call string, safe bool) {
	now := j.now()
	if j.onAttempt != nil {
		j.onAttempt(peer, call)
	}
	m := j.calls[call]
	if m == nil {
		j.expire(now)
		m = &callRecord{call: call, firstSeen: now, safe: safe}
		j.calls[call] = m
		j.order = append(j.order, m)
	}
	m.attempts++
	switch {
	case !m.safe && m.mayHaveRun > 0:
		j.addViolation("effect", "call %s comes to peer %s, though an earlier try may have run", call, peer)
	case j.maxTries > 0 && m.attempts > j.maxTries:
		j.addViolation("effect", "call %s comes to peer %s as try %d of %d", call, peer, m.attempts, j.maxTries)
	}
	m.mayHaveRun++
}

// AttemptRejected implements event.AttemptObserver.
func (j *checker) AttemptRejected(peer, call string) {
	j.attemptEnded(peer, call)
	if j.onAttemptSpared != nil {
		j.onAttemptSpared(peer, call)
	}
	if m := j.calls[call]; m != nil {
		m.mayHaveRun--
	}
}

// AttemptAnswered implements event.AttemptObserver.
func (j *checker) AttemptAnswered(peer, call string, body []byte) {
	j.attemptEnded(peer, call)
	if m := j.calls[call]; m != nil {
		m.bodies = append(m.bodies, xxhash.Sum64(body))
	}
}

func (j *checker) attemptEnded(peer, call string) {
	if j.onAttemptEnd != nil {
		j.onAttemptEnd(peer, call)
	}
}

// checkResponse takes in an answer that a client got.
func (j *checker) checkResponse(a client.Answer) {
	m := j.calls[a.Call]
	switch a.Status {
	case 200:
		if !bytes.Contains(a.Body, []byte("call="+a.Call+" ")) {
			j.addViolation("wrong answer", "call %s gets what names another call: %.60q", a.Call, a.Body)
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
		j.addViolation("wrong answer", "call %s gets a body that no peer made for it: %.60q", a.Call, a.Body)
	case 429, 503:
		if m != nil && !m.safe && m.mayHaveRun > 0 {
			j.addViolation("effect", "call %s is refused, though a try may have run", a.Call)
		}
	}
}

// expire forgets calls whose clients have long gone.
func (j *checker) expire(now time.Duration) {
	for len(j.order) > 0 && j.order[0].firstSeen < now-j.retention {
		delete(j.calls, j.order[0].call)
		j.order[0] = nil
		j.order = j.order[1:]
	}
}
