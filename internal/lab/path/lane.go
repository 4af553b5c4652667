package path

import (
	"context"
	"time"

	"olivebridge/internal/cost"
)

// measuredChild is one child under a load, and what it has taken so far.
type measuredChild struct {
	name        string
	child       *child
	driver      *loadGenerator
	peers       *stubServers
	readingCost cost.Usage // what it costs to ask for the cost

	slices []slice
}

// maxSliceAttempts is how often a slice is sent, at most, until none of its requests needs a new connection to a peer: of ten slices
// half and more need none by the first time. One that always does has the connections among its costs.
const maxSliceAttempts = 8

// slice is what some requests took.
type slice struct {
	requests int
	duration time.Duration
	usage    cost.Usage
	proc     procCounters
}

// warmUp brings the child to where further requests cost what the ones before did.
func (a *measuredChild) warmUp(ctx context.Context, count int) error {
	if err := a.driver.runServed(ctx, count); err != nil {
		return err
	}
	first, err := a.child.usage()
	if err != nil {
		return err
	}
	second, err := a.child.usage()
	if err != nil {
		return err
	}
	asking := second.Sub(first)
	a.readingCost = cost.Usage{Allocations: asking.Allocations, AllocatedBytes: asking.AllocatedBytes}
	return nil
}

// measureSlice sends some requests and keeps what they took. How many connections lie ready hangs on how fast the machine has been so
// far, and a new one costs as many allocations as a request: a slice that opened one is sent again.
func (a *measuredChild) measureSlice(ctx context.Context, count int) error {
	for n := 1; ; n++ {
		opened := a.peers.accepted.Load()
		s, err := a.measureOnce(ctx, count)
		if err != nil {
			return err
		}
		if a.peers.accepted.Load() == opened || n == maxSliceAttempts {
			a.slices = append(a.slices, s)
			return nil
		}
	}
}

func (a *measuredChild) measureOnce(ctx context.Context, count int) (slice, error) {
	s := slice{requests: count}
	used, err := a.child.usage()
	if err != nil {
		return s, err
	}
	proc, err := readProcCounters(a.child.pid())
	if err != nil {
		return s, err
	}
	begun := time.Now()
	if err := a.driver.runServed(ctx, count); err != nil {
		return s, err
	}
	s.duration = time.Since(begun)
	procNow, err := readProcCounters(a.child.pid())
	if err != nil {
		return s, err
	}
	usedNow, err := a.child.usage()
	if err != nil {
		return s, err
	}
	s.usage = usedNow.Sub(used).Sub(a.readingCost)
	s.proc = s.proc.addDifference(procNow, proc)
	return s, nil
}

// perRequest is what a request took. Of what is allocated it is the slices' median: more calls in hand at once than ever before, as
// when the machine was busy elsewhere, fill pools for good, which is nothing that a request costs.
func (a *measuredChild) perRequest() Process {
	var n, micros float64
	var took time.Duration
	var used cost.Usage
	var proc procCounters
	for _, s := range a.slices {
		n += float64(s.requests)
		took += s.duration
		used = used.Add(s.usage)
		proc = proc.addDifference(s.proc, procCounters{})
	}
	micros = float64(used.UserMicros + used.SystemMicros)
	return Process{
		Allocations:    median(a.slices, func(s slice) float64 { return float64(s.usage.Allocations) / float64(s.requests) }),
		AllocatedBytes: median(a.slices, func(s slice) float64 { return float64(s.usage.AllocatedBytes) / float64(s.requests) }),
		Collections:    float64(used.Collections) / n * 1000,
		Reads:          proc.Reads / n, Writes: proc.Writes / n,
		ReadBytes: proc.ReadBytes / n, WrittenBytes: proc.WriteBytes / n,
		VoluntarySwitches: proc.VoluntarySwitches / n, InvoluntarySwitches: proc.InvoluntarySwitches / n,
		UserMicros: float64(used.UserMicros) / n, SystemMicros: float64(used.SystemMicros) / n, Micros: micros / n,
		Busy: micros / float64(took.Microseconds()),
	}
}

func (a *measuredChild) close() {
	a.driver.close()
	a.child.kill()
}
