package transport

import (
	"context"
	"sync"
	"time"
)

// The durations of a graceful shutdown, measured from its start; see Frontend.Drain.
const (
	// drainAcceptIdle is the time for which idle connections are kept open, because clients open new ones for up to 0.4 s.
	drainAcceptIdle = 500 * time.Millisecond
	// drainFullBudget is the time after the start of a shutdown within which a call may begin and still use its full
	// timeout.
	drainFullBudget = 700 * time.Millisecond
	// drainStopAccept is the time after which the frontend stops accepting. It is later than drainFullBudget, so the last
	// connection with such a call is accepted.
	drainStopAccept = 800 * time.Millisecond
	// drainMargin is the waiting time beyond the longest deadline, so no open call is ever cut off.
	drainMargin = 2 * time.Second
	// drainStreamMargin is the additional waiting time for messages too long to be buffered.
	drainStreamMargin = time.Minute
	// maxKillDeadline limits the deadline for which the platform waits before it kills the process.
	maxKillDeadline = 3 * time.Second
	// killMargin is the time before the earliest kill by which each call that began after drainFullBudget is answered. It
	// covers the time for which the process may be held up.
	killMargin = 150 * time.Millisecond
	// rejectInterval is the interval at which incomplete requests are rejected once they cannot be answered any more.
	rejectInterval = 20 * time.Millisecond
)

// ShutdownLimits are the time limits of a graceful shutdown.
type ShutdownLimits struct {
	// MaxCallTime is the maximum duration of an open call.
	MaxCallTime time.Duration
	// LongestDeadline is the longest deadline of the current configuration. The platform kills the process that long after
	// drainFullBudget at the earliest, or maxKillDeadline if that is shorter.
	LongestDeadline time.Duration
}

// Drain shuts the frontend down gracefully. Because clients still connect for a while, the frontend first continues to
// accept. Then it closes client connections as they become idle, stops accepting, and waits for open calls, each of
// which may take MaxCallTime. Drain blocks until the frontend has ended; Abort ends it early.
func (f *Frontend) Drain(limits ShutdownLimits) {
	calls, streams, stop := f.beginShutdown(limits, false)
	defer stop()
	sleep(calls, drainAcceptIdle)
	f.clients.startDraining()
	sleep(calls, drainStopAccept-drainAcceptIdle)
	_ = f.clients.Close()
	f.awaitDrained(calls, streams)
}

// awaitDrained waits for the open connections to end and then closes the server.
func (f *Frontend) awaitDrained(calls, streams context.Context) {
	left := f.clients.waitDrained(calls, streams)
	if left > 0 && f.aborted.Err() == nil {
		f.log.Warn("client connections were open at the end", "left", left)
	}
	_ = f.server.Close()
}

// rejectIncompleteRequests rejects, until ctx ends, the requests that are incomplete when no call can be answered any
// more before the process may be killed. Their last bytes could arrive just before the kill. Long bodies are rejected
// earlier, by their call's timeout: see upload.check.
func (f *Frontend) rejectIncompleteRequests(ctx context.Context) {
	sleep(ctx, time.Until(f.drain.lastAdmission()))
	for ctx.Err() == nil {
		f.shed.Add(f.clients.rejectIncomplete())
		sleep(ctx, rejectInterval)
	}
}

// beginShutdown begins a graceful shutdown, in which another process takes over the clients if handedOff is set. It
// returns the contexts that limit the waiting: calls for calls, streams for messages too long to be buffered. The
// caller must call stop.
func (f *Frontend) beginShutdown(limits ShutdownLimits, handedOff bool) (calls, streams context.Context, stop func()) {
	f.drain.beginShutdown(handedOff)
	f.drain.setLimits(limits)
	maxCallTime := limits.MaxCallTime
	streams, stopStreams := context.WithTimeout(f.aborted, maxCallTime+drainMargin+drainStreamMargin)
	calls, stopCalls := context.WithTimeout(streams, maxCallTime+drainMargin)
	stop = func() {
		stopCalls()
		stopStreams()
	}
	go f.rejectIncompleteRequests(streams)
	return calls, streams, stop
}

// sleep blocks for the duration d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	ctx, stop := context.WithTimeout(ctx, d)
	defer stop()
	<-ctx.Done()
}

// Abort ends the frontend and all its client connections immediately. Nothing further is read, and open requests get no
// response.
func (f *Frontend) Abort() {
	f.drain.beginShutdown(false)
	f.clients.abort()
	_ = f.server.Close()
	f.abort()
}

// Pause takes the frontend out of service: its readiness check fails immediately. After drainAcceptIdle, when new
// connections have ceased, it closes connections that are idle, and others with their next response. A call that
// arrives nevertheless is served. A second Pause has no effect.
func (f *Frontend) Pause() {
	d := &f.drain
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.paused || d.shuttingDown {
		d.paused = true
		return
	}
	d.paused = true
	d.pauseTimer = time.AfterFunc(drainAcceptIdle, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.pauseTimer != nil { // otherwise Resume was called before
			f.clients.startDraining()
		}
	})
}

// Resume ends a pause. It does not end a shutdown.
func (f *Frontend) Resume() {
	d := &f.drain
	d.mu.Lock()
	defer d.mu.Unlock()
	d.paused = false
	d.stopPauseTimer()
	if !d.shuttingDown {
		f.clients.stopDraining()
	}
}

// Paused reports whether the frontend is paused.
func (f *Frontend) Paused() bool {
	f.drain.mu.Lock()
	defer f.drain.mu.Unlock()
	return f.drain.paused
}

// Draining reports whether the frontend is shutting down.
func (f *Frontend) Draining() bool { return f.drain.isShuttingDown() }

// drainState records whether a frontend is removing its clients: permanently in a shutdown, or temporarily in a pause
// that operators requested.
type drainState struct {
	mu sync.Mutex
	// shuttingDown reports whether the frontend is shutting down.
	shuttingDown bool
	// handedOff reports whether another process of the node takes over the clients.
	handedOff bool
	// paused reports whether operators have taken the node out of service.
	paused bool
	// pauseTimer starts the closing of connections in a pause; nil if no start is pending.
	pauseTimer *time.Timer

	// fullBudgetUntil is the time until which a call may begin whatever its budget; zero if there is no shutdown.
	fullBudgetUntil time.Time
	// answerBy is the time by which a call that begins later must have its answer.
	answerBy time.Time
}

// rejectsClients reports whether the node is not ready for clients. It stays ready during a shutdown in which another
// process takes over the clients.
func (d *drainState) rejectsClients() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shuttingDown && !d.handedOff || d.paused
}

// isShuttingDown reports whether the frontend is shutting down.
func (d *drainState) isShuttingDown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shuttingDown
}

// beginShutdown records the start of a shutdown and cancels the pending start of a pause, since the shutdown closes
// connections itself. handedOff reports whether another process takes over the clients from now on.
func (d *drainState) beginShutdown(handedOff bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shuttingDown = true
	d.handedOff = d.handedOff || handedOff
	d.stopPauseTimer()
}

// stopPauseTimer cancels the pending start of a pause. The caller must hold mu.
func (d *drainState) stopPauseTimer() {
	if d.pauseTimer != nil {
		d.pauseTimer.Stop()
		d.pauseTimer = nil
	}
}

// setLimits sets the time limits of a shutdown that begins now.
func (d *drainState) setLimits(limits ShutdownLimits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fullBudgetUntil = time.Now().Add(drainFullBudget)
	d.answerBy = d.fullBudgetUntil.Add(min(limits.LongestDeadline, maxKillDeadline) - killMargin)
}

// admits reports whether a call may be sent whose budget counts from the given time, at which its last byte arrived or
// which is now. During a shutdown it may not if the process may be killed before the end of the budget.
func (d *drainState) admits(startedAt time.Time, budget time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fullBudgetUntil.IsZero() || !startedAt.After(d.fullBudgetUntil) || !startedAt.Add(budget).After(d.answerBy)
}

// lastAdmission returns the time after which no call is admitted.
func (d *drainState) lastAdmission() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.answerBy.Before(d.fullBudgetUntil) {
		return d.fullBudgetUntil
	}
	return d.answerBy
}
