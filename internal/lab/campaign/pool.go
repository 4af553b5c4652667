package campaign

import (
	"context"
	"errors"
	"fmt"
	"io"
	"iter"
	"os"
	"runtime"
	"strconv"
	"sync"
	"time"
)

// Bounds of a Pool that names none.
const (
	defaultPatience = 60 * time.Second
	defaultRecycle  = 200
)

// Pool plays jobs in worker processes. Its fields stay as they are while it runs.
type Pool struct {
	Command  []string      // starts a worker; empty: this program, with the argument "worker"
	Procs    int           // workers at a time; 0: one a core
	Cores    int           // GOMAXPROCS of a worker; 0: as the environment has it, else 1
	Patience time.Duration // a run that takes longer is killed; 0: a minute
	Recycle  int           // a worker is replaced after so many jobs, so that memory stays flat; 0: 200
	Trace    io.Writer     // of the jobs that ask for one, or are watched
	Log      io.Writer     // hears what workers write to standard error
}

func (p *Pool) cores() string {
	if p.Cores > 0 {
		return strconv.Itoa(p.Cores)
	}
	if n := os.Getenv("GOMAXPROCS"); n != "" {
		return n
	}
	return "1"
}

func (p *Pool) procs() int {
	if p.Procs > 0 {
		return p.Procs
	}
	return runtime.NumCPU()
}

// Run plays jobs and hands each one's outcome to each, in the order of the jobs, whichever
// ends first. It ends early when each returns false, and with an error when ctx ends, when
// no worker can be started, or when a job could not be begun.
func (p *Pool) Run(ctx context.Context, jobs iter.Seq[Job], each func(Outcome) bool) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	q := newQueue(jobs)
	defer q.close()
	done := make(chan placed)
	var workers sync.WaitGroup
	for range p.procs() {
		workers.Go(func() {
			if err := p.serve(ctx, q, done); err != nil {
				stop(err)
			}
		})
	}
	go func() {
		workers.Wait()
		close(done)
	}()
	waiting, next, wanted := map[int]Outcome{}, 0, true
	for o := range done {
		waiting[o.place] = o.outcome
		for wanted {
			o, ok := waiting[next]
			if !ok {
				break
			}
			delete(waiting, next)
			next++
			if o.Err != nil {
				stop(o.Err)
				wanted = false
			} else if !each(o) {
				stop(errEnough)
				wanted = false
			}
		}
	}
	if err := context.Cause(ctx); err != nil && !errors.Is(err, errEnough) {
		return err
	}
	return nil
}

// errEnough ends a Run whose caller wants no more.
var errEnough = errors.New("enough")

// placed is an outcome, and where its job stood.
type placed struct {
	place   int
	outcome Outcome
}

// serve plays jobs on a worker, and on another where that one ends.
func (p *Pool) serve(ctx context.Context, q *queue, done chan<- placed) error {
	patience, recycle := p.Patience, p.Recycle
	if patience <= 0 {
		patience = defaultPatience
	}
	if recycle <= 0 {
		recycle = defaultRecycle
	}
	var w *process
	defer func() {
		if w != nil {
			w.stop()
		}
	}()
	for ctx.Err() == nil {
		place, j, ok := q.take()
		if !ok {
			return nil
		}
		if w == nil {
			var err error
			if w, err = p.start(); err != nil {
				return fmt.Errorf("job %d: %w", j.ID, err)
			}
		}
		o, alive := w.play(ctx, j, patience)
		switch {
		case !alive:
			w = nil
		case w.played >= recycle:
			w.stop()
			w = nil
		}
		done <- placed{place, o}
	}
	return nil
}

// queue gives out jobs in their order.
type queue struct {
	mu    sync.Mutex
	next  func() (Job, bool)
	stop  func()
	place int
}

func newQueue(jobs iter.Seq[Job]) *queue {
	next, stop := iter.Pull(jobs)
	return &queue{next: next, stop: stop}
}

func (q *queue) take() (place int, j Job, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if j, ok = q.next(); !ok {
		return 0, Job{}, false
	}
	q.place++
	return q.place - 1, j, true
}

func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stop()
}

// Seeds are the jobs of a range of seeds.
func Seeds(from, count uint64, scenario string) iter.Seq[Job] {
	return func(yield func(Job) bool) {
		for i := range count {
			if !yield(Job{ID: int(i), Seed: from + i, Scenario: scenario}) {
				return
			}
		}
	}
}

// One plays a single job.
func (p *Pool) One(ctx context.Context, j Job) (o Outcome, err error) {
	err = p.Run(ctx, func(yield func(Job) bool) { yield(j) }, func(got Outcome) bool {
		o = got
		return true
	})
	return o, err
}
