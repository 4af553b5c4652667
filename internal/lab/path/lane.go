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
	asking cost.Used // what it costs to ask for the cost

	requests int
	took     time.Duration
	used     cost.Used
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
	asking := second.Since(first)
	a.asking = cost.Used{Allocations: asking.Allocations, AllocatedBytes: asking.AllocatedBytes}
	return nil
}

// slice sends some requests and adds up what they took.
func (a *lane) slice(ctx context.Context, count int) error {
	used, err := a.child.cost()
	if err != nil {
		return err
	}
	proc, err := readProc(a.child.pid())
	if err != nil {
		return err
	}
	begun := time.Now()
	if err := a.driver.serve(ctx, count); err != nil {
		return err
	}
	a.took += time.Since(begun)
	procNow, err := readProc(a.child.pid())
	if err != nil {
		return err
	}
	usedNow, err := a.child.cost()
	if err != nil {
		return err
	}
	a.requests += count
	a.used = a.used.And(usedNow.Since(used).Since(a.asking))
	a.proc = a.proc.and(procNow, proc)
	return nil
}

// process is what a request took.
func (a *lane) process() Process {
	n, u := float64(a.requests), a.used
	micros := float64(u.UserMicros + u.SystemMicros)
	return Process{
		Allocations: float64(u.Allocations) / n, AllocatedBytes: float64(u.AllocatedBytes) / n,
		Collections: float64(u.Collections) / n * 1000,
		Reads:       a.proc.Reads / n, Writes: a.proc.Writes / n,
		ReadBytes: a.proc.ReadBytes / n, WrittenBytes: a.proc.WriteBytes / n,
		Waited: a.proc.Waited / n, Preempted: a.proc.Preempted / n,
		UserMicros: float64(u.UserMicros) / n, SystemMicros: float64(u.SystemMicros) / n, Micros: micros / n,
		Busy: micros / float64(a.took.Microseconds()),
	}
}

func (a *lane) close() {
	a.driver.close()
	a.child.end()
}
