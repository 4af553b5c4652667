package peer

import (
	"math"
	"slices"
	"time"

	"olivebridge/internal/lab/loop"
)

// job is a unit of work for the cores.
type job struct {
	process   *process
	conn      *conn    // connection for the response; nil: it has ended
	attempt   *attempt // nil: internal work of the process, which takes no slot
	remaining float64  // work left, in seconds of a core of speed 1
	done      func()   // called when the work is done
}

// cores divides the capacity of the cores evenly among the running jobs. Calls
// beyond the number of slots wait in order of arrival.
type cores struct {
	process    *process
	running    []*job
	usedSlots  int // number of calls among the running jobs
	queue      []*job
	rate       float64 // work done per second on each running job, since advancedAt
	advancedAt time.Duration
	stepTimer  *loop.Timer
}

// warmupInterval is the interval at which the rate is recomputed while the process warms up.
const warmupInterval = 50 * time.Millisecond

// held returns the number of calls that are queued or running.
func (s *cores) held() int { return s.usedSlots + len(s.queue) }

// addInternal starts internal work of the process.
func (s *cores) addInternal(j *job) {
	j.process = s.process
	s.advance()
	s.running = append(s.running, j)
	s.schedule()
}

// offer starts or queues a call. It returns false if the queue is full.
func (s *cores) offer(j *job) bool {
	j.process = s.process
	switch {
	case s.usedSlots < s.process.peer.config.Slots:
		s.advance()
		s.startCall(j)
	case len(s.queue) < s.process.peer.config.Queue:
		s.advance()
		s.queue = append(s.queue, j)
	default:
		return false
	}
	s.schedule() // queued calls slow the process down, too
	return true
}

// startCall puts a call into a slot. The work is computed only now, because the
// call's key may have entered the cache while the call was queued.
func (s *cores) startCall(j *job) {
	p, a := s.process.peer, j.attempt
	a.failsQuickly = a.draws.fail < p.faults.fail.probability()
	j.remaining = a.baseWork * s.process.cache.workShare(a.key, p.env.Loop.Now()) * p.faults.costFactor(a)
	if a.failsQuickly {
		j.remaining = min(j.remaining, quickFailureWork)
	}
	s.usedSlots++
	s.running = append(s.running, j)
}

// dropQueued removes a call from the queue; a running call continues.
func (s *cores) dropQueued(j *job) {
	if i := slices.Index(s.queue, j); i >= 0 {
		s.process.peer.stats.Dropped++
		s.advance()
		s.queue = slices.Delete(s.queue, i, i+1)
		s.schedule()
	}
}

// reschedule accounts for the work done so far and recomputes the rate, after the
// speed has changed.
func (s *cores) reschedule() {
	s.advance()
	s.schedule()
}

// advance subtracts the work done up to now from the running jobs.
func (s *cores) advance() {
	now := s.process.peer.env.Loop.Now()
	work := s.rate * (now - s.advancedAt).Seconds()
	s.advancedAt = now
	for _, j := range s.running {
		j.remaining -= work
	}
}

// schedule computes the rate and sets the timer for the next completion.
func (s *cores) schedule() {
	s.stepTimer.Stop()
	if s.rate = 0; s.process.paused || s.process.ended || len(s.running) == 0 {
		return
	}
	now := s.process.peer.env.Loop.Now()
	s.rate = s.process.coreSpeed(now) * min(1, float64(s.process.peer.config.Cores)/float64(len(s.running)))
	leastRemaining := math.Inf(1)
	for _, j := range s.running {
		leastRemaining = min(leastRemaining, j.remaining)
	}
	d := time.Duration(min(math.Ceil(max(leastRemaining, 0)/s.rate*1e9), float64(time.Hour)))
	if s.process.warmup.warmth(now) < 1 {
		d = min(d, warmupInterval)
	}
	s.stepTimer = s.process.peer.env.Loop.After(d, s.completeJobs)
}

// completeJobs completes the jobs whose work is done and starts queued calls.
func (s *cores) completeJobs() {
	s.advance()
	var done []*job
	s.running = slices.DeleteFunc(s.running, func(j *job) bool {
		if j.remaining > s.rate*2e-9 { // tolerance of 2 ns of work: the clock counts whole nanoseconds
			return false
		}
		if done = append(done, j); j.attempt != nil {
			s.usedSlots--
		}
		return true
	})
	s.startQueued()
	for _, j := range done {
		if s.process.ended {
			return
		}
		j.done()
	}
	s.schedule()
}

// startQueued starts queued calls while slots are free. A process with DropsQueued
// answers a call whose deadline has passed with a 504 instead.
func (s *cores) startQueued() {
	for s.usedSlots < s.process.peer.config.Slots && len(s.queue) > 0 && !s.process.ended {
		j := s.queue[0]
		s.queue = slices.Delete(s.queue, 0, 1)
		a, c := j.attempt, j.conn
		if !s.process.peer.config.DropsQueued || c == nil || a.deadline == 0 || s.process.peer.env.Loop.Now() < a.deadline {
			s.startCall(j)
			continue
		}
		s.process.peer.stats.Expired++
		s.process.peer.reportRejected(a)
		c.send(plainResponse("504 Gateway Timeout", rejectedField), a.closeAfter)
		c.readRequests()
	}
}

// coreSpeed returns the present speed of a core, reduced by warmup, congestion and faults.
func (q *process) coreSpeed(now time.Duration) float64 {
	return q.peer.config.Speed * q.warmup.warmth(now) / q.congestionFactor() / q.peer.faults.slowdown()
}

// capacity returns the work that the process can do per second at its present
// warmth without faults. Temporary slowness (faults, congestion, pauses) is left
// out: nodes are not informed of it, so the permitted load of a cold peer does not
// depend on it.
func (q *process) capacity(now time.Duration) float64 {
	return float64(q.peer.config.Cores) * q.peer.config.Speed * q.warmup.warmth(now)
}

// congestionFactor returns the factor by which the process is slower because it
// holds many calls: 1 up to CongestionAt calls per core, rising to MaxSlowdown at
// twice that number.
func (q *process) congestionFactor() float64 {
	threshold, maxFactor := q.peer.config.CongestionAt, q.peer.config.MaxSlowdown
	if threshold <= 0 || maxFactor <= 1 {
		return 1
	}
	excess := float64(q.cores.held())/float64(q.peer.config.Cores)/threshold - 1
	return 1 + (maxFactor-1)*min(max(excess, 0), 1)
}
