package client

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/http1"
	"olivebridge/internal/lab/loop"
	"olivebridge/internal/lab/sample"
	"olivebridge/internal/lab/world"
)

// outcome is the result of an attempt.
type outcome int

const (
	served     outcome = iota // 200
	refused                   // 429 or 503: the call never ran
	unreached                 // no node received the complete request: the call never ran
	failed                    // any other response, or a broken connection: the call may have run
	unanswered                // the deadline passed
	left                      // the client left on its own; not a failure
)

// request is one client's request: a first attempt and the client's retries.
type request struct {
	group     *Group
	class     int
	name      string
	key       string
	dueAt     time.Duration // scheduled arrival
	arrivedAt time.Duration // actual arrival
	sentAt    time.Duration // time at which the first attempt was completely sent, or ended unsent; -1: neither yet
	attempts  int           // number of attempts so far
	draws     *rand.Rand    // draws that concern all attempts
}

func (r *request) classConfig() *world.Class { return &r.group.env.Classes[r.class] }

// attempt is one attempt of a request. Its draws are seeded by its own name.
type attempt struct {
	request    *request
	draws      *rand.Rand
	id         string
	deadline   time.Duration // time at which the client gives up, not counting lingerFor
	leaveAfter time.Duration // time after its last byte at which the client leaves; -1: it does not leave
	lingerFor  time.Duration // time for which the client waits beyond the deadline
	writeFor   time.Duration // time for which the client writes the request; 0: it writes it at once
	fresh      bool          // uses a new connection, which is closed after it
	pipelined  bool          // may share a connection with another attempt in flight
	unusual    bool          // uses unusual but valid HTTP forms
	resent     bool          // was sent again because the node had not read it

	conn          *conn
	unsent        []segment // segments not written yet
	sent          bool      // the last byte was written
	deadlineTimer *loop.Timer
	leaveTimer    *loop.Timer
	writeTimer    *loop.Timer
	ended         bool
}

// earlyLeaveShare is the share of leaving clients that leave within the class's
// latency objective, near the time of the response; the others leave at any time
// before the deadline.
const earlyLeaveShare = 0.5

// lingerDuration is the time for which some clients wait beyond the deadline: only
// they see a response that is too late.
const lingerDuration = 400 * time.Millisecond

// longLingerDuration is the time for which the client of a long body, or of an answer in parts, waits beyond the
// deadline. Its kernel may have taken the last byte of a body later than it was written.
const longLingerDuration = 3 * time.Second

// startAttempt begins the next attempt of the request.
func (r *request) startAttempt() {
	c := r.group
	r.attempts++
	draws := figure.Stream(c.env.Seed, fmt.Sprintf("%s try %d", r.name, r.attempts))
	t := &attempt{request: r, draws: draws, id: fmt.Sprintf("%016x", draws.Uint64()), leaveAfter: -1}
	patience := figure.Uniform(draws, 0.9, 1)
	leaveDraw, earlyDraw, leaveTimeDraw := draws.Float64(), draws.Float64(), draws.Float64()
	fresh, pipelined, unusual, lingers := draws.Float64(), draws.Float64(), draws.Float64(), draws.Float64()
	if c.config.Patience > 0 {
		patience *= c.config.Patience
	}
	budget := figure.Seconds(r.classConfig().Deadline.D().Seconds() * patience)
	if leaveDraw < 1-(1-c.config.Leave)*(1-c.leaveShares.Probability()) {
		if earlyDraw < earlyLeaveShare {
			t.leaveAfter = figure.Seconds(leaveTimeDraw * r.classConfig().Objective.D().Seconds())
		} else {
			t.leaveAfter = figure.Seconds(leaveTimeDraw * budget.Seconds())
		}
	}
	t.fresh, t.pipelined, t.unusual = fresh < c.config.Fresh, pipelined < c.config.Pipelined, unusual < c.config.Unusual
	if lingers < c.config.Linger {
		t.lingerFor = lingerDuration
	}
	t.deadline = c.env.Loop.Now() + budget
	t.deadlineTimer = c.env.Loop.At(t.deadline, func() { t.abandon(unanswered) })
	c.assignConn(t)
}

// send writes the attempt on its connection. The request states the time left until
// the deadline, and the client waits for exactly that time after the last byte.
func (t *attempt) send() {
	now := t.request.group.env.Loop.Now()
	budget := (t.deadline - now).Truncate(time.Millisecond)
	if budget <= 0 {
		t.abandon(unanswered)
		return
	}
	t.sent = false
	t.unsent = encodeAttempt(t, budget)
	if t.writeFor > 0 {
		t.deadlineTimer.Stop() // its time counts from the last byte
	}
	t.writeNext(budget)
}

// writeNext writes the next segment and schedules the rest. After the last segment
// it starts the deadline.
func (t *attempt) writeNext(budget time.Duration) {
	p := t.unsent[0]
	t.unsent = t.unsent[1:]
	t.conn.link.Write(p.bytes)
	l := t.request.group.env.Loop
	if len(t.unsent) > 0 {
		t.writeTimer = l.After(p.pause, func() { t.writeNext(budget) })
		return
	}
	t.sent = true
	if t.request.sentAt < 0 {
		t.request.sentAt = l.Now()
	}
	t.deadlineTimer.Stop()
	t.deadline = l.Now() + budget
	t.deadlineTimer = l.At(t.deadline+t.lingerFor, func() { t.abandon(unanswered) })
	if t.leaveAfter >= 0 {
		t.leaveTimer.Stop()
		t.leaveTimer = l.After(min(t.leaveAfter, budget-time.Millisecond/2), func() { t.abandon(left) })
	}
}

// abandon gives up the attempt with the given outcome and closes its connection.
func (t *attempt) abandon(o outcome) {
	if k := t.conn; k != nil {
		k.close(t.draws.IntN(4) == 0, func(other *attempt) outcome {
			if other == t {
				return o
			}
			return failed
		})
		return
	}
	t.finish(o, 0)
}

// handleResponse finishes the attempt with the outcome of its response.
func (t *attempt) handleResponse(m *http1.Message) {
	if onResponse := t.request.group.env.OnResponse; onResponse != nil {
		onResponse(Response{Call: t.id, Safe: t.request.classConfig().Safe, Status: m.Status, Body: m.Body})
	}
	switch m.Status {
	case 200:
		if !bytes.Contains(m.Body, []byte("call="+t.id+" ")) {
			t.request.group.tallies[t.request.class].Foreign++
		}
		t.finish(served, 0)
	case 429, 503:
		text, _ := m.Get("Retry-After")
		wait, err := strconv.ParseFloat(text, 64)
		if err != nil || wait < 0 {
			wait = 0
		}
		t.finish(refused, figure.Seconds(min(wait, time.Hour.Seconds())))
	default:
		t.finish(failed, 0)
	}
}

// finish ends the attempt, and completes its request unless the client retries.
func (t *attempt) finish(o outcome, retryAfter time.Duration) {
	if t.ended {
		return
	}
	t.ended = true
	for _, e := range []*loop.Timer{t.deadlineTimer, t.leaveTimer, t.writeTimer} {
		e.Stop()
	}
	c, r := t.request.group, t.request
	c.detach(t)
	if r.sentAt < 0 {
		r.sentAt = c.env.Loop.Now()
	}
	if !r.mayRetry(o, t.sent) {
		r.complete(o)
		return
	}
	c.tallies[r.class].Retries++
	c.env.Loop.After(r.backoff(retryAfter), func() {
		if c.stopped {
			r.complete(o)
			return
		}
		r.startAttempt()
	})
}

// mayRetry reports whether the client may retry. An unsafe request is retried only
// if it cannot have run: it was refused, or no node was sent the complete request.
func (r *request) mayRetry(o outcome, sent bool) bool {
	if r.group.stopped || r.attempts > r.group.config.Retries || o == served || o == left {
		return false
	}
	return r.classConfig().Safe || o == refused || o == unreached || !sent
}

// backoff returns the delay before a retry: the client's own, or the node's
// Retry-After, limited to the maximum of the contract.
func (r *request) backoff(retryAfter time.Duration) time.Duration {
	own := figure.Uniform(r.draws, 0.5, 1.5)
	honoursHeader := r.draws.Float64() < r.group.config.Honour
	if honoursHeader && retryAfter > 0 {
		if limit := r.group.env.Contract.MaxRetryAfter.D(); limit > 0 {
			retryAfter = min(retryAfter, limit)
		}
		return retryAfter
	}
	return figure.Seconds(own * r.group.config.Backoff.D().Seconds())
}

// complete counts the outcome of the request.
func (r *request) complete(o outcome) {
	c := r.group
	c.unfinished--
	r.reportOutcome(o)
	t := &c.tallies[r.class]
	switch o {
	case served:
		if c.env.Loop.Now()-r.sentAt > r.classConfig().Objective.D() {
			t.Late++
			return
		}
		t.Served++
		t.ServedWorth += r.classConfig().Weight
	case refused:
		t.Refused++
	case unanswered:
		t.Unanswered++
	case left:
		t.Left++
	default:
		t.Failed++
	}
}

// reportOutcome passes the result of the request to OnRequestEnd.
func (r *request) reportOutcome(o outcome) {
	c := r.group
	if c.env.OnRequestEnd == nil {
		return
	}
	c.env.OnRequestEnd(sample.Request{
		Class: r.classConfig().Name, Tenant: c.config.Tenant, ScheduledAt: r.dueAt, SentAt: r.arrivedAt,
		EndedAt: c.env.Loop.Now(),
		Outcome: o.sampleOutcome(), Attempts: r.attempts,
	})
}

// sampleOutcome returns the exported form of the outcome.
func (o outcome) sampleOutcome() sample.Outcome {
	switch o {
	case served:
		return sample.Served
	case refused:
		return sample.Rejected
	case unreached:
		return sample.NotAccepted
	case unanswered:
		return sample.Unanswered
	case left:
		return sample.ClientLeft
	}
	return sample.Failed
}
