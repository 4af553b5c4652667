package rules

import (
	"container/heap"
	"time"
)

// due is something to look at once its time has passed.
type due struct {
	at time.Duration
	n  uint64 // of those of one instant the first goes first
	f  func()
}

// dues is a heap of them.
type dues []due

func (d dues) Len() int           { return len(d) }
func (d dues) Less(i, j int) bool { return d[i].at < d[j].at || d[i].at == d[j].at && d[i].n < d[j].n }
func (d dues) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)        { *d = append(*d, x.(due)) }

func (d *dues) Pop() any {
	old := *d
	last := old[len(old)-1]
	old[len(old)-1] = due{}
	*d = old[:len(old)-1]
	return last
}

func (d *dues) pop() due { return heap.Pop(d).(due) }

// once lets f run when an instant has passed and all that happened at it has
// been seen.
func (j *Judge) once(at time.Duration, f func()) {
	j.posted++
	heap.Push(&j.dues, due{at, j.posted, f})
}
