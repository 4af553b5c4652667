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

// outcome is what came of a try.
type outcome int

const (
	served     outcome = iota // 200
	refused                   // 429 or 503: it never ran
	unreached                 // no node was reached, or none took the whole of it: it never ran
	failed                    // any other answer, or a connection that broke: it may have run
	unanswered                // its time is up
	left                      // the client went away, and is content
)

// request is what one client wants: a first try, and its own retries.
type request struct {
	crowd *Crowd
	class int
	name  string
	key   string
	due   time.Duration // when it was to arrive
	begun time.Duration // when it did
	began time.Duration // the first try's last byte was sent; or it ended unsent; -1: neither
	tries int
	draws *rand.Rand // what concerns all tries
}

func (r *request) spec() *world.Class { return &r.crowd.env.Classes[r.class] }

// try is one attempt of a client's. What it draws is by its own name.
type try struct {
	of        *request
	draws     *rand.Rand
	id        string
	giveUp    time.Duration // the client waits until then
	leavesIn  time.Duration // after its last byte; -1: it waits to the end
	lingers   time.Duration // beyond the time that it stated
	fresh     bool          // it has a connection of its own
	pipelined bool          // it may share one that is busy
	odd       bool
	resent    bool

	conn  *conn
	rest  []piece // what is not written yet
	sent  bool    // its last byte is written
	due   *loop.Timer
	leave *loop.Timer
	write *loop.Timer
	ended bool
}

// firstLook is the share of leavers that go within the class's aim, about when
// the answer leaves; the others go at any time.
const firstLook = 0.5

// lingering is how long some clients wait on: only they see an answer that comes too late.
const lingering = 400 * time.Millisecond

// try begins the next attempt.
func (r *request) try() {
	c := r.crowd
	r.tries++
	draws := figure.Stream(c.env.Seed, fmt.Sprintf("%s try %d", r.name, r.tries))
	t := &try{of: r, draws: draws, id: fmt.Sprintf("%016x", draws.Uint64()), leavesIn: -1}
	patience := figure.Uniform(draws, 0.9, 1)
	leaves, early, when := draws.Float64(), draws.Float64(), draws.Float64()
	fresh, pipelined, odd, stays := draws.Float64(), draws.Float64(), draws.Float64(), draws.Float64()
	if c.conf.Patience > 0 {
		patience *= c.conf.Patience
	}
	budget := figure.Seconds(r.spec().Deadline.D().Seconds() * patience)
	if leaves < 1-(1-c.conf.Leave)*(1-c.leavers.Probability()) {
		if early < firstLook {
			t.leavesIn = figure.Seconds(when * r.spec().Aim.D().Seconds())
		} else {
			t.leavesIn = figure.Seconds(when * budget.Seconds())
		}
	}
	t.fresh, t.pipelined, t.odd = fresh < c.conf.Fresh, pipelined < c.conf.Pipelined, odd < c.conf.Odd
	if stays < c.conf.Linger {
		t.lingers = lingering
	}
	t.giveUp = c.env.Loop.Now() + budget
	t.due = c.env.Loop.At(t.giveUp, func() { t.quit(unanswered) })
	c.place(t)
}

// start writes the try on its connection. It states what is left of the
// client's time, and from its last byte on the client waits for exactly that.
func (t *try) start() {
	now := t.of.crowd.env.Loop.Now()
	budget := (t.giveUp - now).Truncate(time.Millisecond)
	if budget <= 0 {
		t.quit(unanswered)
		return
	}
	t.sent = false
	t.rest = form(t, budget)
	t.next(budget)
}

// next writes the next piece, and the others after their pauses.
func (t *try) next(budget time.Duration) {
	p := t.rest[0]
	t.rest = t.rest[1:]
	t.conn.link.Write(p.bytes)
	l := t.of.crowd.env.Loop
	if len(t.rest) > 0 {
		t.write = l.After(p.pause, func() { t.next(budget) })
		return
	}
	t.sent = true
	if t.of.began < 0 {
		t.of.began = l.Now()
	}
	t.due.Stop()
	t.giveUp = l.Now() + budget
	t.due = l.At(t.giveUp+t.lingers, func() { t.quit(unanswered) })
	if t.leavesIn >= 0 {
		t.leave.Stop()
		t.leave = l.After(min(t.leavesIn, budget-time.Millisecond/2), func() { t.quit(left) })
	}
}

// quit gives the try up; whoever does that closes its connection.
func (t *try) quit(o outcome) {
	if k := t.conn; k != nil {
		k.leave(t.draws.IntN(4) == 0, func(other *try) outcome {
			if other == t {
				return o
			}
			return failed
		})
		return
	}
	t.over(o, 0)
}

// answered takes the try's answer.
func (t *try) answered(m *http1.Message) {
	if hear := t.of.crowd.env.Heard; hear != nil {
		hear(Answer{Call: t.id, Safe: t.of.spec().Safe, Status: m.Status, Body: m.Body})
	}
	switch m.Status {
	case 200:
		if !bytes.Contains(m.Body, []byte("call="+t.id+" ")) {
			t.of.crowd.tally[t.of.class].Foreign++
		}
		t.over(served, 0)
	case 429, 503:
		text, _ := m.Get("Retry-After")
		wait, err := strconv.ParseFloat(text, 64)
		if err != nil || wait < 0 {
			wait = 0
		}
		t.over(refused, figure.Seconds(min(wait, time.Hour.Seconds())))
	default:
		t.over(failed, 0)
	}
}

// over ends the try, and its request with it unless the client tries again.
func (t *try) over(o outcome, retryAfter time.Duration) {
	if t.ended {
		return
	}
	t.ended = true
	for _, e := range []*loop.Timer{t.due, t.leave, t.write} {
		e.Stop()
	}
	c, r := t.of.crowd, t.of
	c.unplace(t)
	if r.began < 0 {
		r.began = c.env.Loop.Now()
	}
	if !r.mayRetry(o, t.sent) {
		r.finish(o)
		return
	}
	c.tally[r.class].Retries++
	c.env.Loop.After(r.backoff(t, retryAfter), func() {
		if c.stopped {
			r.finish(o)
			return
		}
		r.try()
	})
}

// mayRetry: clients retry where that is harmless, and no other way. A request
// that is unsafe to repeat is tried again only where it cannot have run: it was
// refused, or no node was sent the whole of it.
func (r *request) mayRetry(o outcome, sent bool) bool {
	if r.crowd.stopped || r.tries > r.crowd.conf.Retries || o == served || o == left {
		return false
	}
	return r.spec().Safe || o == refused || o == unreached || !sent
}

// backoff is the wait before a retry: the client's own, or what the node asked
// for, up to what the contract says that clients heed.
func (r *request) backoff(t *try, retryAfter time.Duration) time.Duration {
	own := figure.Uniform(r.draws, 0.5, 1.5)
	honours := r.draws.Float64() < r.crowd.conf.Honour
	if honours && retryAfter > 0 {
		if most := r.crowd.env.Contract.MaxRetryAfter.D(); most > 0 {
			retryAfter = min(retryAfter, most)
		}
		return retryAfter
	}
	return figure.Seconds(own * r.crowd.conf.Backoff.D().Seconds())
}

// finish counts what came of the request.
func (r *request) finish(o outcome) {
	c := r.crowd
	c.live--
	r.tell(o)
	t := &c.tally[r.class]
	switch o {
	case served:
		if c.env.Loop.Now()-r.began > r.spec().Aim.D() {
			t.Late++
			return
		}
		t.Served++
		t.Worth += r.spec().Worth
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

// tell says what came of the request to whoever listens.
func (r *request) tell(o outcome) {
	c := r.crowd
	if c.env.Ended == nil {
		return
	}
	c.env.Ended(sample.Request{
		Class: r.spec().Name, Tenant: c.conf.Tenant, ScheduledAt: r.due, SentAt: r.begun, EndedAt: c.env.Loop.Now(),
		Outcome: o.name(), Attempts: r.tries,
	})
}

// name is the outcome's name outside of this package.
func (o outcome) name() sample.Outcome {
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
