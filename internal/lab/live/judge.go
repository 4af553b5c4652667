package live

import (
	"bytes"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"olivebridge/internal/lab/world/client"
)

// judge holds nodes to those rules of package rules that can be told for sure
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
type judge struct {
	hears  func(peer, call string) // of each try; nil: nobody
	ends   func(peer, call string) // of the end of each; nil: nobody
	spares func(peer, call string) // hears of those that will not run; nil: nobody
	most   int                     // tries of a call
	keeps  time.Duration           // how long a call is remembered
	now    func() time.Duration
	calls  map[string]*met
	order  []*met // the first first
	found  []string
	more   int
}

// met is a call that has come to a peer.
type met struct {
	call   string
	at     time.Duration // the first time
	safe   bool
	came   int
	may    int      // of them, how many may run, or have
	bodies []uint64 // of the 200s that peers made for it
}

// mostFound bounds the breaks that are kept.
const mostFound = 20

func newJudge(tryLimit int, keeps time.Duration, now func() time.Duration) *judge {
	return &judge{most: tryLimit, keeps: keeps, now: now, calls: map[string]*met{}}
}

// breaks notes that a rule is broken.
func (j *judge) breaks(rule, format string, args ...any) {
	if len(j.found) == mostFound {
		j.more++
		return
	}
	j.found = append(j.found, fmt.Sprintf("%s at %.6fs: %s", rule, j.now().Seconds(), fmt.Sprintf(format, args...)))
}

// all is what was found.
func (j *judge) all() []string {
	if j.more == 0 {
		return j.found
	}
	return append(j.found[:len(j.found):len(j.found)], fmt.Sprintf("and %d more", j.more))
}

// AttemptReceived implements event.AttemptObserver.
func (j *judge) AttemptReceived(peer, call string, safe bool) {
	now := j.now()
	if j.hears != nil {
		j.hears(peer, call)
	}
	m := j.calls[call]
	if m == nil {
		j.forget(now)
		m = &met{call: call, at: now, safe: safe}
		j.calls[call] = m
		j.order = append(j.order, m)
	}
	m.came++
	switch {
	case !m.safe && m.may > 0:
		j.breaks("effect", "call %s comes to peer %s, though an earlier try may have run", call, peer)
	case j.most > 0 && m.came > j.most:
		j.breaks("effect", "call %s comes to peer %s as try %d of %d", call, peer, m.came, j.most)
	}
	m.may++
}

// AttemptRejected implements event.AttemptObserver.
func (j *judge) AttemptRejected(peer, call string) {
	j.done(peer, call)
	if j.spares != nil {
		j.spares(peer, call)
	}
	if m := j.calls[call]; m != nil {
		m.may--
	}
}

// AttemptAnswered implements event.AttemptObserver.
func (j *judge) AttemptAnswered(peer, call string, body []byte) {
	j.done(peer, call)
	if m := j.calls[call]; m != nil {
		m.bodies = append(m.bodies, xxhash.Sum64(body))
	}
}

func (j *judge) done(peer, call string) {
	if j.ends != nil {
		j.ends(peer, call)
	}
}

// heard takes in an answer that a client got.
func (j *judge) heard(a client.Response) {
	m := j.calls[a.Call]
	switch a.Status {
	case 200:
		if !bytes.Contains(a.Body, []byte("call="+a.Call+" ")) {
			j.breaks("wrong answer", "call %s gets what names another call: %.60q", a.Call, a.Body)
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
		j.breaks("wrong answer", "call %s gets a body that no peer made for it: %.60q", a.Call, a.Body)
	case 429, 503:
		if m != nil && !m.safe && m.may > 0 {
			j.breaks("effect", "call %s is refused, though a try may have run", a.Call)
		}
	}
}

// forget forgets calls whose clients have long gone.
func (j *judge) forget(now time.Duration) {
	for len(j.order) > 0 && j.order[0].at < now-j.keeps {
		delete(j.calls, j.order[0].call)
		j.order[0] = nil
		j.order = j.order[1:]
	}
}
