package peer

import (
	"math"
	"slices"
	"time"

	"olivebridge/internal/lab/loop"
)

// job is work for the cores.
type job struct {
	of   *process
	conn *conn   // where its answer goes; nil: nobody waits for it any more
	call *call   // nil: the process's own work, which takes no slot
	left float64 // seconds of a core of speed 1
	done func()
}

// cores share their work evenly among the calls in slots; the others wait in
// order of arrival.
type cores struct {
	of      *process
	running []*job
	slots   int // calls among them
	queue   []*job
	rate    float64 // work of each running job done a second, since at
	at      time.Duration
	next    *loop.Timer
}

// coldStep is how often the pace is looked at anew while it rises.
const coldStep = 50 * time.Millisecond

// held is how many calls wait or are in work.
func (s *cores) held() int { return s.slots + len(s.queue) }

// add takes up work of the process's own.
func (s *cores) add(j *job) {
	j.of = s.of
	s.advance()
	s.running = append(s.running, j)
	s.plan()
}

// offer takes up a call, or lets it wait; false: there is no room.
func (s *cores) offer(j *job) bool {
	j.of = s.of
	switch {
	case s.slots < s.of.p.c.Slots:
		s.advance()
		s.start(j)
	case len(s.queue) < s.of.p.c.Queue:
		s.advance()
		s.queue = append(s.queue, j)
	default:
		return false
	}
	s.plan() // what waits crowds it too
	return true
}

// start puts a call into a slot. Only now it shows what it costs: its key may
// have been met while it waited.
func (s *cores) start(j *job) {
	p, a := s.of.p, j.call
	a.quick = a.fate.fail < p.faults.fail.share()
	j.left = a.base * s.of.cache.share(a.key, p.env.Loop.Now()) * p.faults.dearer(a)
	if a.quick {
		j.left = min(j.left, quickWork)
	}
	s.slots++
	s.running = append(s.running, j)
}

// drop takes a call out of the queue; one that runs goes on.
func (s *cores) drop(j *job) {
	if i := slices.Index(s.queue, j); i >= 0 {
		s.of.p.stats.Dropped++
		s.advance()
		s.queue = slices.Delete(s.queue, i, i+1)
		s.plan()
	}
}

// changed is told when the pace is another from now on.
func (s *cores) changed() {
	s.advance()
	s.plan()
}

// advance does the work up to now.
func (s *cores) advance() {
	now := s.of.p.env.Loop.Now()
	work := s.rate * (now - s.at).Seconds()
	s.at = now
	for _, j := range s.running {
		j.left -= work
	}
}

// plan sets the pace, and when to look again.
func (s *cores) plan() {
	s.next.Stop()
	if s.rate = 0; s.of.asleep || s.of.over || len(s.running) == 0 {
		return
	}
	now := s.of.p.env.Loop.Now()
	s.rate = s.of.pace(now) * min(1, float64(s.of.p.c.Cores)/float64(len(s.running)))
	least := math.Inf(1)
	for _, j := range s.running {
		least = min(least, j.left)
	}
	d := time.Duration(min(math.Ceil(max(least, 0)/s.rate*1e9), float64(time.Hour)))
	if s.of.cold.warmth(now) < 1 {
		d = min(d, coldStep)
	}
	s.next = s.of.p.env.Loop.After(d, s.step)
}

// step ends the jobs whose work is done and takes up those that wait.
func (s *cores) step() {
	s.advance()
	var done []*job
	s.running = slices.DeleteFunc(s.running, func(j *job) bool {
		if j.left > s.rate*2e-9 { // an instant is a whole nanosecond
			return false
		}
		if done = append(done, j); j.call != nil {
			s.slots--
		}
		return true
	})
	s.fill()
	for _, j := range done {
		if s.of.over {
			return
		}
		j.done()
	}
	s.plan()
}

// fill takes up what waits, as far as there are slots. A process that can drop
// work turns away what was over before its turn.
func (s *cores) fill() {
	for s.slots < s.of.p.c.Slots && len(s.queue) > 0 && !s.of.over {
		j := s.queue[0]
		s.queue = slices.Delete(s.queue, 0, 1)
		a, c := j.call, j.conn
		if !s.of.p.c.StopsWork || c == nil || a.until == 0 || s.of.p.env.Loop.Now() < a.until {
			s.start(j)
			continue
		}
		s.of.p.stats.Overdue++
		s.of.p.spares(a)
		c.send(plain("504 Gateway Timeout", rejected), a.last)
		c.read()
	}
}

// pace is the speed of a core at this moment.
func (q *process) pace(now time.Duration) float64 {
	return q.p.c.Speed * q.cold.warmth(now) / q.crowd() / q.p.faults.slower()
}

// capacity is what the process can do at this moment when nothing ails it: its
// cores, less what the cold takes. Slowness that comes and goes (faults, a
// crowd, pauses) is left out: no node is told of it, so the budget of a cold
// peer does not hang on it.
func (q *process) capacity(now time.Duration) float64 {
	return float64(q.p.c.Cores) * q.p.c.Speed * q.cold.warmth(now)
}

// crowd is how many times slower the process is for holding many calls.
func (q *process) crowd() float64 {
	at, most := q.p.c.CrowdAt, q.p.c.Crowded
	if at <= 0 || most <= 1 {
		return 1
	}
	beyond := float64(q.cores.held())/float64(q.p.c.Cores)/at - 1
	return 1 + (most-1)*min(max(beyond, 0), 1)
}
