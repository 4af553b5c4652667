package transport

import (
	"context"
	"sync"
	"time"
)

// The times of a graceful shutdown, from its beginning; see Frontend.Drain.
const (
	// drainAcceptIdle is how long idle connections are kept: new ones keep coming for up to 0.4 s.
	drainAcceptIdle = 500 * time.Millisecond
	// drainFullBudget is how long after the start of a shutdown a call may begin and still take its full timeout.
	drainFullBudget = 700 * time.Millisecond
	// drainStopAccept is when the frontend stops accepting: after drainFullBudget, so that the last connection of such
	// a call is accepted.
	drainStopAccept = 800 * time.Millisecond
	// drainMargin is waited beyond the longest deadline, so that no open call is ever cut off.
	drainMargin = 2 * time.Second
	// drainStreamMargin is waited beyond that for messages too long to be buffered.
	drainStreamMargin = time.Minute
)

// Drain shuts the frontend down gracefully. Clients still arrive for a while, so it goes on accepting; then it
// closes client connections as they fall idle, stops accepting, and waits for open calls, which may take
// maxCallTime. Abort cuts it short. Drain blocks until the frontend has ended.
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

// awaitDrained waits for the open connections and then closes the server.
func (f *Frontend) awaitDrained(calls, streams context.Context) {
	left := f.clients.waitDrained(calls, streams)
	if left > 0 && f.aborted.Err() == nil {
		f.log.Warn("client connections were open at the end", "left", left)
	}
	_ = f.server.Close()
}

// shutdownContexts end when a graceful shutdown waits no longer for calls, and for messages too long to be buffered.
func (f *Frontend) shutdownContexts(maxCallTime time.Duration) (calls, streams context.Context, stop func()) {
	streams, stopStreams := context.WithTimeout(f.aborted, maxCallTime+drainMargin+drainStreamMargin)
	calls, stopCalls := context.WithTimeout(streams, maxCallTime+drainMargin)
	stop = func() {
		stopCalls()
		stopStreams()
	}
	return calls, streams, stop
}

// sleep waits until the time is over or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	ctx, stop := context.WithTimeout(ctx, d)
	defer stop()
	<-ctx.Done()
}

// Abort ends the frontend and all its client connections at once. Nothing further is read, and what is open gets no
// response.
func (f *Frontend) Abort() {
	f.drain.beginShutdown(false)
	f.clients.abort()
	_ = f.server.Close()
	f.abort()
}

// Pause takes the frontend out of service: it is not ready from now on, and closes connections that are idle, or
// with their next response, once new ones have ceased. A call that comes nevertheless is served. A second Pause
// changes nothing.
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
		if d.pauseTimer != nil { // else a Resume came first
			f.clients.startDraining()
		}
	})
}

// Resume ends a pause. A shutdown goes on.
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

// Draining reports whether the frontend shuts down.
func (f *Frontend) Draining() bool { return f.drain.isShuttingDown() }

// drainState is whether a frontend sends its clients away: for good at its shutdown, or for a while as operators ask.
type drainState struct {
	mu sync.Mutex
	// shuttingDown: the frontend ends.
	shuttingDown bool
	// handedOff: another process of the node takes its clients over.
	handedOff bool
	// paused: operators have taken the node out of service.
	paused bool
	// pauseTimer is when a pause starts to close connections; nil: none is due.
	pauseTimer *time.Timer

	// maxCallTime is how long a call may take at the shutdown.
	maxCallTime time.Duration
	// fullBudgetUntil is until when a call may still begin and take as long; zero: there is no shutdown.
	fullBudgetUntil time.Time
}

// rejectsClients reports whether the node is not ready for clients. It is ready where another process goes on with
// them.
func (d *drainState) rejectsClients() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shuttingDown && !d.handedOff || d.paused
}

// isShuttingDown reports whether the frontend ends.
func (d *drainState) isShuttingDown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shuttingDown
}

// beginShutdown notes the shutdown, which closes connections by itself: a pause that is due is dropped. With handedOff
// another process has the clients from now on.
func (d *drainState) beginShutdown(handedOff bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shuttingDown = true
	d.handedOff = d.handedOff || handedOff
	d.stopPauseTimer()
}

// stopPauseTimer drops a pause that is due. The lock is held.
func (d *drainState) stopPauseTimer() {
	if d.pauseTimer != nil {
		d.pauseTimer.Stop()
		d.pauseTimer = nil
	}
}

// setCallTime sets how long a call may take that begins soon; a later one has so much less.
func (d *drainState) setCallTime(maxCallTime time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.maxCallTime = maxCallTime
	d.fullBudgetUntil = time.Now().Add(drainFullBudget)
}

// admits reports whether a call may begin that is to be answered within its budget. At the shutdown a pipelined one
// may have its turn when there is no time left for it.
func (d *drainState) admits(budget time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	late := time.Since(d.fullBudgetUntil)
	return d.fullBudgetUntil.IsZero() || late <= 0 || budget <= d.maxCallTime-late
}
