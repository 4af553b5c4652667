package rules

import (
	"container/heap"
	"time"
)

// timer is a check that runs after an instant has passed.
type timer struct {
	at       time.Duration
	sequence uint64 // orders timers with the same instant
	run      func()
}

// timerQueue is a heap of timers with the earliest first. It implements
// heap.Interface.
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

// schedule runs a check after an instant has passed, so that all events of that
// instant have been observed.
func (j *Judge) schedule(at time.Duration, check func()) {
	j.timersScheduled++
	heap.Push(&j.timers, timer{at: at, sequence: j.timersScheduled, run: check})
}

// advance sets the judge's time to now, after it has run the timers due before
// now.
func (j *Judge) advance(now time.Duration) {
	for len(j.timers) > 0 && j.timers[0].at < now {
		due := j.timers.pop()
		j.now = max(j.now, due.at)
		due.run()
	}
	j.now = max(j.now, now)
}

// clock advances the judge to Config.Now, if set, and returns the judge's time.
func (j *Judge) clock() time.Duration {
	if j.config.Now != nil {
		j.advance(j.config.Now())
	}
	return j.now
}
