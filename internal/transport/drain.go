package transport

import (
	"sync"
	"time"
)

// leaving is whether a front sends its clients away: for good at its planned
// end, or for a while as operators ask. It is the one owner of that.
type drainState struct {
	mu           sync.Mutex
	shuttingDown bool        // the front ends
	handedOff    bool        // another process of the node takes its clients
	paused       bool        // operators empty the node
	pauseTimer   *time.Timer // when a pause comes to the open connections; nil: none is due

	maxCallTime     time.Duration // that a call may take at the end
	fullBudgetUntil time.Time     // until when it may still come, and take as long; zero: there is no such time
}

// now reports whether the node sends clients away. It does not where another
// process goes on with them.
func (l *drainState) rejectsClients() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shuttingDown && !l.handedOff || l.paused
}

// ending reports whether it does so for good.
func (l *drainState) isShuttingDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shuttingDown
}

// end begins the end. A pause due is left: the end closes connections by itself.
// handed: another process has the clients from now on.
func (l *drainState) beginShutdown(handed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shuttingDown, l.handedOff = true, l.handedOff || handed
	l.stopPauseTimer()
}

func (l *drainState) stopPauseTimer() {
	if l.pauseTimer != nil {
		l.pauseTimer.Stop()
		l.pauseTimer = nil
	}
}

// within gives the end its time, whose first part is for what still comes: a call that begins later has so much less.
func (l *drainState) setCallTime(longest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxCallTime, l.fullBudgetUntil = longest, time.Now().Add(drainFullBudget)
}

// lets reports whether a call may begin, which is to be answered within its budget. At the end one that was read along
// with others may have its turn when there is no time left for it.
func (l *drainState) admits(budget time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	late := time.Since(l.fullBudgetUntil)
	return l.fullBudgetUntil.IsZero() || late <= 0 || budget <= l.maxCallTime-late
}

// Pause empties the front: it is not ready from now on, and closes connections
// that carry nothing, or with their next answer, once new ones have ceased.
// What comes nevertheless is served. Said again it changes nothing.
func (f *Frontend) Pause() {
	l := &f.drain
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused || l.shuttingDown {
		l.paused = true
		return
	}
	l.paused = true
	l.pauseTimer = time.AfterFunc(drainAcceptIdle, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.pauseTimer != nil { // else a Resume was first
			f.clients.startDraining()
		}
	})
}

// Resume ends a pause. A front that ends goes on with that.
func (f *Frontend) Resume() {
	l := &f.drain
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = false
	l.stopPauseTimer()
	if !l.shuttingDown {
		f.clients.stopDraining()
	}
}

// Paused reports whether operators have the front emptied.
func (f *Frontend) Paused() bool {
	f.drain.mu.Lock()
	defer f.drain.mu.Unlock()
	return f.drain.paused
}

// Leaving reports whether the front ends.
func (f *Frontend) Draining() bool { return f.drain.isShuttingDown() }
