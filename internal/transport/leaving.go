package transport

import (
	"sync"
	"time"
)

// leaving is whether a front sends its clients away: for good at its planned
// end, or for a while as operators ask. It is the one owner of that.
type leaving struct {
	mu     sync.Mutex
	over   bool        // the front ends
	handed bool        // another process of the node takes its clients
	paused bool        // operators empty the node
	empty  *time.Timer // when a pause comes to the open connections; nil: none is due

	longest time.Duration // that a call may take at the end
	owed    time.Time     // until when it may still come, and take as long; zero: there is no such time
}

// now reports whether the node sends clients away. It does not where another
// process goes on with them.
func (l *leaving) now() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.over && !l.handed || l.paused
}

// ending reports whether it does so for good.
func (l *leaving) ending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.over
}

// end begins the end. A pause due is left: the end closes connections by itself.
// handed: another process has the clients from now on.
func (l *leaving) end(handed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.over, l.handed = true, l.handed || handed
	l.stop()
}

func (l *leaving) stop() {
	if l.empty != nil {
		l.empty.Stop()
		l.empty = nil
	}
}

// within gives the end its time, whose first part is for what still comes: a call that begins later has so much less.
func (l *leaving) within(longest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.longest, l.owed = longest, time.Now().Add(drainOwed)
}

// lets reports whether a call may begin, which is to be answered within its budget. At the end one that was read along
// with others may have its turn when there is no time left for it.
func (l *leaving) lets(budget time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	late := time.Since(l.owed)
	return l.owed.IsZero() || late <= 0 || budget <= l.longest-late
}

// Pause empties the front: it is not ready from now on, and closes connections
// that carry nothing, or with their next answer, once new ones have ceased.
// What comes nevertheless is served. Said again it changes nothing.
func (f *Frontend) Pause() {
	l := &f.leaving
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused || l.over {
		l.paused = true
		return
	}
	l.paused = true
	l.empty = time.AfterFunc(drainKeep, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.empty != nil { // else a Resume was first
			f.clients.leave()
		}
	})
}

// Resume ends a pause. A front that ends goes on with that.
func (f *Frontend) Resume() {
	l := &f.leaving
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = false
	l.stop()
	if !l.over {
		f.clients.stay()
	}
}

// Paused reports whether operators have the front emptied.
func (f *Frontend) Paused() bool {
	f.leaving.mu.Lock()
	defer f.leaving.mu.Unlock()
	return f.leaving.paused
}

// Leaving reports whether the front ends.
func (f *Frontend) Draining() bool { return f.leaving.ending() }
