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

// Defaults of Pool.JobTimeout and Pool.JobsPerWorker.
const (
	defaultJobTimeout    = 60 * time.Second
	defaultJobsPerWorker = 200
)

// Pool plays jobs in worker processes. Its fields must not change while it runs.
type Pool struct {
	Command       []string      // command line of a worker; empty: this program with the argument "worker"
	Workers       int           // number of concurrent workers; 0: one per core
	Cores         int           // GOMAXPROCS of a worker; 0: the environment's value, or 1 if unset
	JobTimeout    time.Duration // a run that takes longer is killed; 0: 60 s
	JobsPerWorker int           // jobs after which a worker is replaced, to bound its memory; 0: 200
	Trace         io.Writer     // receives the traces and samples of jobs with Trace or Watch
	Log           io.Writer     // receives the workers' standard error; may be nil
}

// maxProcs returns the value of GOMAXPROCS for a worker.
func (p *Pool) maxProcs() string {
	if p.Cores > 0 {
		return strconv.Itoa(p.Cores)
	}
	if n := os.Getenv("GOMAXPROCS"); n != "" {
		return n
	}
	return "1"
}

// workerCount returns the number of concurrent workers.
func (p *Pool) workerCount() int {
	if p.Workers > 0 {
		return p.Workers
	}
	return runtime.NumCPU()
}

// Run plays jobs concurrently and calls each with every outcome, in the order of the jobs. It
// stops early without an error when each returns false, and with an error when ctx ends, when
// a worker cannot be started, or when a job could not start.
func (p *Pool) Run(ctx context.Context, jobs iter.Seq[Job], each func(Outcome) bool) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	q := newQueue(jobs)
	defer q.close()
	done := make(chan indexedOutcome)
	var workers sync.WaitGroup
	for range p.workerCount() {
		workers.Go(func() {
			if err := p.runWorker(ctx, q, done); err != nil {
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
		waiting[o.index] = o.outcome
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
				stop(errStopped)
				wanted = false
			}
		}
	}
	if err := context.Cause(ctx); err != nil && !errors.Is(err, errStopped) {
		return err
	}
	return nil
}

// errStopped cancels a Run whose callback returned false.
var errStopped = errors.New("enough")

// indexedOutcome is an outcome with the index of its job in the sequence.
type indexedOutcome struct {
	index   int
	outcome Outcome
}

// runWorker plays jobs from the queue on one worker process at a time. It replaces a worker that
// died or has played JobsPerWorker jobs.
func (p *Pool) runWorker(ctx context.Context, q *jobQueue, done chan<- indexedOutcome) error {
	jobTimeout, jobsPerWorker := p.JobTimeout, p.JobsPerWorker
	if jobTimeout <= 0 {
		jobTimeout = defaultJobTimeout
	}
	if jobsPerWorker <= 0 {
		jobsPerWorker = defaultJobsPerWorker
	}
	var w *process
	defer func() {
		if w != nil {
			w.stop()
		}
	}()
	for ctx.Err() == nil {
		place, j, ok := q.next()
		if !ok {
			return nil
		}
		if w == nil {
			var err error
			if w, err = p.start(); err != nil {
				return fmt.Errorf("job %d: %w", j.ID, err)
			}
		}
		o, alive := w.play(ctx, j, jobTimeout)
		switch {
		case !alive:
			w = nil
		case w.jobCount >= jobsPerWorker:
			w.stop()
			w = nil
		}
		done <- indexedOutcome{place, o}
	}
	return nil
}

// jobQueue hands out the jobs of a sequence in order. It is safe for concurrent use.
type jobQueue struct {
	mu    sync.Mutex
	pull  func() (Job, bool)
	stop  func()
	index int
}

// newQueue returns a queue over a sequence of jobs.
func newQueue(jobs iter.Seq[Job]) *jobQueue {
	next, stop := iter.Pull(jobs)
	return &jobQueue{pull: next, stop: stop}
}

// next returns the next job and its index; ok is false at the end of the sequence.
func (q *jobQueue) next() (place int, j Job, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if j, ok = q.pull(); !ok {
		return 0, Job{}, false
	}
	q.index++
	return q.index - 1, j, true
}

// close releases the sequence. It must be called once no job is needed any more.
func (q *jobQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stop()
}

// Seeds returns the jobs of count seeds, beginning with from.
func Seeds(from, count uint64, scenario string) iter.Seq[Job] {
	return func(yield func(Job) bool) {
		for i := range count {
			if !yield(Job{ID: int(i), Seed: from + i, Scenario: scenario}) {
				return
			}
		}
	}
}

// One plays a single job and returns its outcome.
func (p *Pool) One(ctx context.Context, j Job) (o Outcome, err error) {
	err = p.Run(ctx, func(yield func(Job) bool) { yield(j) }, func(got Outcome) bool {
		o = got
		return true
	})
	return o, err
}
