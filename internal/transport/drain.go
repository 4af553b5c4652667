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
)

// Drain shuts the frontend down gracefully. Because clients still connect for a while, the frontend first continues to
// accept. Then it closes client connections as they become idle, stops accepting, and waits for open calls, each of
// which may take maxCallTime. Drain blocks until the frontend has ended; Abort ends it early.
func (f *Frontend) Drain(maxCallTime time.Duration) {
	f.drain.beginShutdown(false)
	f.drain.setCallTime(maxCallTime)
	calls, streams, stop := f.shutdownContexts(maxCallTime)
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

// shutdownContexts returns the contexts that limit the waiting of a graceful shutdown: calls for calls, streams for
// messages too long to be buffered. The caller must call stop.
func (f *Frontend) shutdownContexts(maxCallTime time.Duration) (calls, streams context.Context, stop func()) {
	streams, stopStreams := context.WithTimeout(f.aborted, maxCallTime+drainMargin+drainStreamMargin)
	calls, stopCalls := context.WithTimeout(streams, maxCallTime+drainMargin)
	stop = func() {
		stopCalls()
		stopStreams()
	}
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

	// maxCallTime is the maximum duration of a call during the shutdown.
	maxCallTime time.Duration
	// fullBudgetUntil is the time until which a call may begin and still take maxCallTime; zero if there is no shutdown.
	fullBudgetUntil time.Time
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

// setCallTime sets the maximum duration of calls that begin within drainFullBudget. For each later call it is reduced
// by the time since then.
func (d *drainState) setCallTime(maxCallTime time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.maxCallTime = maxCallTime
	d.fullBudgetUntil = time.Now().Add(drainFullBudget)
}

// admits reports whether a call with this budget may begin. During a shutdown it may not if too little time is left to
// answer it within its budget, which happens to pipelined calls that wait for their turn.
func (d *drainState) admits(budget time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	late := time.Since(d.fullBudgetUntil)
	return d.fullBudgetUntil.IsZero() || late <= 0 || budget <= d.maxCallTime-late
}
