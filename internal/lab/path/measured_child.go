package path

import (
	"context"
	"time"

	"olivebridge/internal/cost"
)

// measuredChild is a child under load with the measurements taken so far.
type measuredChild struct {
	name          string
	child         *child
	loadGenerator *loadGenerator
	stubServers   *stubServers
	readingCost   cost.Usage // the allocations caused by reading the child's counters

	slices []slice
}

// maxSliceAttempts is the maximum number of times that a slice is measured until none of its requests opens a new
// connection to a server: at least half of ten slices open none at the first attempt. If every attempt opens one, the
// last is kept with the cost of the connections.
const maxSliceAttempts = 8

// slice holds the time and resources that a number of requests took.
type slice struct {
	requests int
	duration time.Duration
	usage    cost.Usage
	proc     procCounters
}

// warmUp sends requests until the child's cost per request is steady, and measures the cost of reading its counters.
func (a *measuredChild) warmUp(ctx context.Context, count int) error {
	if err := a.loadGenerator.runServed(ctx, count); err != nil {
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
	difference := second.Sub(first)
	a.readingCost = cost.Usage{Allocations: difference.Allocations, AllocatedBytes: difference.AllocatedBytes}
	return nil
}

// measureSlice sends count requests and stores their cost. The number of idle connections depends on the speed of the
// machine so far, and a new connection costs as many allocations as a request: a slice that opened one is repeated.
func (a *measuredChild) measureSlice(ctx context.Context, count int) error {
	for n := 1; ; n++ {
		opened := a.stubServers.accepted.Load()
		s, err := a.measureOnce(ctx, count)
		if err != nil {
			return err
		}
		if a.stubServers.accepted.Load() == opened || n == maxSliceAttempts {
			a.slices = append(a.slices, s)
			return nil
		}
	}
}

// measureOnce sends count requests and returns their cost.
func (a *measuredChild) measureOnce(ctx context.Context, count int) (slice, error) {
	s := slice{requests: count}
	usageBefore, err := a.child.usage()
	if err != nil {
		return s, err
	}
	procBefore, err := readProcCounters(a.child.pid())
	if err != nil {
		return s, err
	}
	begun := time.Now()
	if err := a.loadGenerator.runServed(ctx, count); err != nil {
		return s, err
	}
	s.duration = time.Since(begun)
	procAfter, err := readProcCounters(a.child.pid())
	if err != nil {
		return s, err
	}
	usageAfter, err := a.child.usage()
	if err != nil {
		return s, err
	}
	s.usage = usageAfter.Sub(usageBefore).Sub(a.readingCost)
	s.proc = s.proc.addDifference(procAfter, procBefore)
	return s, nil
}

// perRequest returns the cost per request. For allocations it is the median of the slices: when the number of
// concurrent calls reaches a new maximum, for example because the machine was busy, pools grow permanently, which is
// no cost of a request.
func (a *measuredChild) perRequest() Process {
	var n, micros float64
	var duration time.Duration
	var usage cost.Usage
	var proc procCounters
	for _, s := range a.slices {
		n += float64(s.requests)
		duration += s.duration
		usage = usage.Add(s.usage)
		proc = proc.addDifference(s.proc, procCounters{})
	}
	micros = float64(usage.UserMicros + usage.SystemMicros)
	return Process{
		Allocations: median(a.slices, func(s slice) float64 { return float64(s.usage.Allocations) / float64(s.requests) }),
		AllocatedBytes: median(a.slices, func(s slice) float64 {
			return float64(s.usage.AllocatedBytes) / float64(s.requests)
		}),
		Collections: float64(usage.Collections) / n * 1000,
		Reads:       proc.Reads / n, Writes: proc.Writes / n,
		ReadBytes: proc.ReadBytes / n, WrittenBytes: proc.WriteBytes / n,
		VoluntarySwitches: proc.VoluntarySwitches / n, InvoluntarySwitches: proc.InvoluntarySwitches / n,
		UserMicros: float64(usage.UserMicros) / n, SystemMicros: float64(usage.SystemMicros) / n, Micros: micros / n,
		BusyFraction: micros / float64(duration.Microseconds()),
	}
}

func (a *measuredChild) close() {
	a.loadGenerator.close()
	a.child.kill()
}
