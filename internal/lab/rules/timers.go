package rules

import (
	"container/heap"
	"time"
)

// timer is a check that runs once its time has passed.
type timer struct {
	at       time.Duration
	sequence uint64 // orders the timers of one instant
	run      func()
}

// timerQueue is a heap of timers, the earliest first.
type timerQueue []timer

func (q timerQueue) Len() int { return len(q) }

func (q timerQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

func (q *timerQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*q = old[:len(old)-1]
	return last
}

func (q *timerQueue) pop() timer { return heap.Pop(q).(timer) }

// schedule runs a check when an instant has passed and everything that
// happened at it has been seen.
func (j *Judge) schedule(at time.Duration, check func()) {
	j.timersScheduled++
	heap.Push(&j.timers, timer{at: at, sequence: j.timersScheduled, run: check})
}

// advance lets time pass: timers that were due before now run first.
func (j *Judge) advance(now time.Duration) {
	for len(j.timers) > 0 && j.timers[0].at < now {
		due := j.timers.pop()
		j.now = max(j.now, due.at)
		due.run()
	}
	j.now = max(j.now, now)
}

// clock advances to the time of an event and returns it.
func (j *Judge) clock() time.Duration {
	if j.config.Now != nil {
		j.advance(j.config.Now())
	}
	return j.now
}
