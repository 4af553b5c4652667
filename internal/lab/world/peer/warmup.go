package peer

import (
	"time"

	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/world"
)

// minWarmth is the minimum share of capacity, so that a peer whose cold share is 0 still makes progress.
const minWarmth = 0.01

// warmup tracks how far a process has warmed up and the work that arrived while it was cold.
type warmup struct {
	config    world.Peer
	started   time.Duration
	warm      bool
	completed int // number of calls completed

	arrived     []arrival // attempts received within the last CrashWindow
	arrivedWork float64   // sum of their work
}

type arrival struct {
	at   time.Duration
	work float64
}

func newWarmup(c world.Peer, now time.Duration, warm bool) warmup {
	return warmup{config: c, started: now, warm: warm || c.ColdFor <= 0}
}

// warmth returns the share of its full capacity that the process has now. It rises
// linearly with time, or with the number of completed calls if that is faster.
func (w *warmup) warmth(now time.Duration) float64 {
	if w.warm {
		return 1
	}
	progress := (now - w.started).Seconds() / w.config.ColdFor.D().Seconds()
	if w.config.ColdBy > 0 {
		progress = max(progress, float64(w.completed)/float64(w.config.ColdBy))
	}
	if progress >= 1 {
		w.warm, w.arrived = true, nil
		return 1
	}
	return max(w.config.ColdShare+(1-w.config.ColdShare)*progress, minWarmth)
}

// overloaded adds an arriving attempt and reports whether a cold process crashes:
// whether the work that arrived within the last CrashWindow exceeds CrashFactor
// times the work that the process can do in that time at its present capacity.
func (w *warmup) overloaded(now time.Duration, work, capacity float64) bool {
	if w.config.CrashFactor <= 0 || w.config.CrashWindow <= 0 || w.warmth(now) >= 1 {
		return false
	}
	w.arrived = append(w.arrived, arrival{now, work})
	w.arrivedWork += work
	for w.arrived[0].at <= now-w.config.CrashWindow.D() {
		w.arrivedWork -= w.arrived[0].work
		w.arrived = w.arrived[1:]
	}
	return w.arrivedWork > w.config.CrashFactor*capacity*w.config.CrashWindow.D().Seconds()
}

// crash ends a process that was overloaded while cold and resets its connections.
func (q *process) crash() { q.terminate(link.Conn.Reset) }
