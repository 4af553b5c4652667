package peer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
)

// process is one run of a peer's program. Its state is lost when it ends.
type process struct {
	peer     *Peer
	listener link.Listener
	conns    []*conn // oldest first
	cores    cores
	warmup   warmup
	cache    cache
	ended    bool

	draining, rejecting, exiting bool
	drainTimers                  []*loop.Timer // pending steps of a drain

	pauseDraws  *rand.Rand
	pauseTimer  *loop.Timer // start of the next random pause
	paused      bool
	resumeAt    time.Duration
	resumeTimer *loop.Timer
	deferred    []func() // functions to run when the pause ends
}

func newProcess(p *Peer, warm bool) *process {
	q := &process{
		peer:       p,
		warmup:     newWarmup(p.config, p.env.Loop.Now(), warm),
		cache:      newCache(p.config),
		pauseDraws: figure.Stream(p.env.Seed, fmt.Sprintf("pauses %s life %d", p.config.Name, p.processCount)),
	}
	q.cores.process = q
	return q
}

func (q *process) schedulePauses() {
	if q.peer.config.PauseEach > 0 {
		q.scheduleNextPause()
	}
}

// terminate ends the process and calls closeConn on each connection; nil: the
// network breaks them.
func (q *process) terminate(closeConn func(link.Conn)) {
	q.ended = true
	q.peer.process = nil
	q.listener.Close()
	for _, e := range append(q.drainTimers, q.pauseTimer, q.resumeTimer, q.cores.stepTimer) {
		e.Stop()
	}
	for _, c := range slices.Clone(q.conns) {
		c.detach()
		if closeConn != nil {
			closeConn(c.link)
		}
	}
	q.peer.env.Observer.PeerStopped(q.peer.config.Name)
	q.peer.env.Registrar.Stopped(q.peer.config.Name)
}

func (q *process) drain(rejectAfter, exitAfter time.Duration) {
	q.draining = true
	q.drainTimers = []*loop.Timer{
		q.after(rejectAfter, func() { q.rejecting = true }),
		q.after(exitAfter, func() {
			q.rejecting, q.exiting = true, true
			q.exitIfIdle()
		}),
	}
}

// exitIfIdle ends a draining process if the time of its exit has passed and it has no unfinished calls.
func (q *process) exitIfIdle() {
	if q.exiting && !q.ended && q.cores.held() == 0 {
		q.terminate(link.Conn.Close)
	}
}

// after runs f after d, or at the end of the pause if the process is paused then.
// It does not run f if the process has ended.
func (q *process) after(d time.Duration, f func()) *loop.Timer {
	return q.peer.env.Loop.After(d, func() { q.runOrDefer(f) })
}

// runOrDefer runs f now or, if the process is paused, at the end of the pause.
func (q *process) runOrDefer(f func()) {
	switch {
	case q.ended:
	case q.paused:
		q.deferred = append(q.deferred, f)
	default:
		f()
	}
}

func (q *process) scheduleNextPause() {
	gap := q.pauseDraws.ExpFloat64() * q.peer.config.PauseEach.D().Seconds()
	length := q.pauseDraws.ExpFloat64() * q.peer.config.Pause.D().Seconds()
	q.pauseTimer = q.after(figure.Seconds(gap), func() {
		q.stall(figure.Seconds(length))
		q.scheduleNextPause()
	})
}

func (q *process) stall(d time.Duration) {
	until := q.peer.env.Loop.Now() + d
	if q.paused && until <= q.resumeAt {
		return
	}
	q.paused, q.resumeAt = true, until
	q.cores.reschedule()
	q.resumeTimer.Stop()
	q.resumeTimer = q.peer.env.Loop.At(until, func() {
		q.paused = false
		q.cores.reschedule()
		for len(q.deferred) > 0 && !q.paused && !q.ended {
			f := q.deferred[0]
			q.deferred = q.deferred[1:]
			f()
		}
	})
}
