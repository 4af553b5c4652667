package path

import (
	"context"
	"time"

	"olivebridge/internal/cost"
)

// lane is one child under a load, and what it has taken so far.
type lane struct {
	name   string
	child  *child
	driver *driver
	peers  *peers
	asking cost.Usage // what it costs to ask for the cost

	slices []slice
}

// sliceTries is how often a slice is sent, at most, until none of its requests needs a new connection to a peer: of ten slices
// half and more need none by the first time. One that always does has the connections among its costs.
const sliceTries = 8

// slice is what some requests took.
type slice struct {
	requests int
	took     time.Duration
	used     cost.Usage
	proc     procFigures
}

// warm brings the child to where further requests cost what the ones before did.
func (a *lane) warm(ctx context.Context, count int) error {
	if err := a.driver.serve(ctx, count); err != nil {
		return err
	}
	first, err := a.child.cost()
	if err != nil {
		return err
	}
	second, err := a.child.cost()
	if err != nil {
		return err
	}
	asking := second.Sub(first)
	a.asking = cost.Usage{Allocations: asking.Allocations, AllocatedBytes: asking.AllocatedBytes}
	return nil
}

// slice sends some requests and keeps what they took. How many connections lie ready hangs on how fast the machine has been so
// far, and a new one costs as many allocations as a request: a slice that opened one is sent again.
func (a *lane) slice(ctx context.Context, count int) error {
	for n := 1; ; n++ {
		opened := a.peers.accepted.Load()
		s, err := a.measure(ctx, count)
		if err != nil {
			return err
		}
		if a.peers.accepted.Load() == opened || n == sliceTries {
			a.slices = append(a.slices, s)
			return nil
		}
	}
}

func (a *lane) measure(ctx context.Context, count int) (slice, error) {
	s := slice{requests: count}
	used, err := a.child.cost()
	if err != nil {
		return s, err
	}
	proc, err := readProc(a.child.pid())
	if err != nil {
		return s, err
	}
	begun := time.Now()
	if err := a.driver.serve(ctx, count); err != nil {
		return s, err
	}
	s.took = time.Since(begun)
	procNow, err := readProc(a.child.pid())
	if err != nil {
		return s, err
	}
	usedNow, err := a.child.cost()
	if err != nil {
		return s, err
	}
	s.used = usedNow.Sub(used).Sub(a.asking)
	s.proc = s.proc.and(procNow, proc)
	return s, nil
}

// process is what a request took. Of what is allocated it is the slices' median: more calls in hand at once than ever before, as
// when the machine was busy elsewhere, fill pools for good, which is nothing that a request costs.
func (a *lane) process() Process {
	var n, micros float64
	var took time.Duration
	var used cost.Usage
	var proc procFigures
	for _, s := range a.slices {
		n += float64(s.requests)
		took += s.took
		used = used.Add(s.used)
		proc = proc.and(s.proc, procFigures{})
	}
	micros = float64(used.UserMicros + used.SystemMicros)
	return Process{
		Allocations:    median(a.slices, func(s slice) float64 { return float64(s.used.Allocations) / float64(s.requests) }),
		AllocatedBytes: median(a.slices, func(s slice) float64 { return float64(s.used.AllocatedBytes) / float64(s.requests) }),
		Collections:    float64(used.Collections) / n * 1000,
		Reads:          proc.Reads / n, Writes: proc.Writes / n,
		ReadBytes: proc.ReadBytes / n, WrittenBytes: proc.WriteBytes / n,
		Waited: proc.Waited / n, Preempted: proc.Preempted / n,
		UserMicros: float64(used.UserMicros) / n, SystemMicros: float64(used.SystemMicros) / n, Micros: micros / n,
		Busy: micros / float64(took.Microseconds()),
	}
}

func (a *lane) close() {
	a.driver.close()
	a.child.end()
}
