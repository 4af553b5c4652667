package peer

import (
	"time"

	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/world"
)

// leastWarmth keeps a peer that starts at nothing from standing still.
const leastWarmth = 0.01

// cold is how a process warms up, and what it was sent meanwhile.
type cold struct {
	c       world.Peer
	started time.Duration
	warm    bool
	done    int // calls done so far

	arrived []arrival // within the last FallIn
	sum     float64   // of their work
}

type arrival struct {
	at   time.Duration
	work float64
}

func newCold(c world.Peer, now time.Duration, warm bool) cold {
	return cold{c: c, started: now, warm: warm || c.ColdFor <= 0}
}

// warmth is the share of its capacity that a process has by now. It rises
// evenly with time, or with the calls done where that is faster.
func (w *cold) warmth(now time.Duration) float64 {
	if w.warm {
		return 1
	}
	part := (now - w.started).Seconds() / w.c.ColdFor.D().Seconds()
	if w.c.ColdBy > 0 {
		part = max(part, float64(w.done)/float64(w.c.ColdBy))
	}
	if part >= 1 {
		w.warm, w.arrived = true, nil
		return 1
	}
	return max(w.c.ColdShare+(1-w.c.ColdShare)*part, leastWarmth)
}

// pushed counts what arrives and reports whether that is too much for a cold
// process: over the last FallIn, FallAt times what it can do in that time by now.
func (w *cold) pushed(now time.Duration, work, capacity float64) bool {
	if w.c.FallAt <= 0 || w.c.FallIn <= 0 || w.warmth(now) >= 1 {
		return false
	}
	w.arrived = append(w.arrived, arrival{now, work})
	w.sum += work
	for w.arrived[0].at <= now-w.c.FallIn.D() {
		w.sum -= w.arrived[0].work
		w.arrived = w.arrived[1:]
	}
	return w.sum > w.c.FallAt*capacity*w.c.FallIn.D().Seconds()
}

// fall ends a process that was pushed over: its connections are reset.
func (q *process) fall() { q.end(link.Conn.Reset) }
