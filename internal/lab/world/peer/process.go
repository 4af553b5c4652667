package peer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
)

// process is one life of a peer: all that is forgotten when it ends.
type process struct {
	p        *Peer
	listener link.Listener
	conns    []*conn // the oldest first
	cores    cores
	cold     cold
	cache    cache
	over     bool

	draining, turnsAway, leaving bool
	steps                        []*loop.Timer // of a drain

	pauses *rand.Rand
	pause  *loop.Timer // the next one's begin
	asleep bool        // in a pause
	wakeAt time.Duration
	wake   *loop.Timer
	late   []func() // what waits for a pause to end
}

func newProcess(p *Peer, warm bool) *process {
	q := &process{
		p:      p,
		cold:   newCold(p.c, p.env.Loop.Now(), warm),
		cache:  newCache(p.c),
		pauses: figure.Stream(p.env.Seed, fmt.Sprintf("pauses %s life %d", p.c.Name, p.lives)),
	}
	q.cores.of = q
	return q
}

func (q *process) begin() {
	if q.p.c.PauseEach > 0 {
		q.nextPause()
	}
}

// end ends the process; with is what becomes of each connection, nil: the
// network sees to them.
func (q *process) end(with func(link.Conn)) {
	q.over = true
	q.p.now = nil
	q.listener.Close()
	for _, e := range append(q.steps, q.pause, q.wake, q.cores.next) {
		e.Stop()
	}
	for _, c := range slices.Clone(q.conns) {
		c.leave()
		if with != nil {
			with(c.link)
		}
	}
	q.p.env.Observer.PeerStopped(q.p.c.Name)
	q.p.env.Listed.Stopped(q.p.c.Name)
}

func (q *process) drain(turnAwayAfter, exitAfter time.Duration) {
	q.draining = true
	q.steps = []*loop.Timer{
		q.after(turnAwayAfter, func() { q.turnsAway = true }),
		q.after(exitAfter, func() {
			q.turnsAway, q.leaving = true, true
			q.mayLeave()
		}),
	}
}

// mayLeave ends a drained process that holds nothing any more.
func (q *process) mayLeave() {
	if q.leaving && !q.over && q.cores.held() == 0 {
		q.end(link.Conn.Close)
	}
}

// after lets f run once d has passed and the process is awake; never once it is over.
func (q *process) after(d time.Duration, f func()) *loop.Timer {
	return q.p.env.Loop.After(d, func() { q.awake(f) })
}

// awake lets f run now, or at the end of the present pause.
func (q *process) awake(f func()) {
	switch {
	case q.over:
	case q.asleep:
		q.late = append(q.late, f)
	default:
		f()
	}
}

func (q *process) nextPause() {
	gap := q.pauses.ExpFloat64() * q.p.c.PauseEach.D().Seconds()
	length := q.pauses.ExpFloat64() * q.p.c.Pause.D().Seconds()
	q.pause = q.after(figure.Seconds(gap), func() {
		q.stall(figure.Seconds(length))
		q.nextPause()
	})
}

func (q *process) stall(d time.Duration) {
	until := q.p.env.Loop.Now() + d
	if q.asleep && until <= q.wakeAt {
		return
	}
	q.asleep, q.wakeAt = true, until
	q.cores.changed()
	q.wake.Stop()
	q.wake = q.p.env.Loop.At(until, func() {
		q.asleep = false
		q.cores.changed()
		for len(q.late) > 0 && !q.asleep && !q.over {
			f := q.late[0]
			q.late = q.late[1:]
			f()
		}
	})
}
