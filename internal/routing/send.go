package routing

import (
	"context"
	"errors"
	"time"

	"olivebridge/brain"
)

// ErrCalledOff is the cause with which a try's context ends when the Balancer
// no longer wants it.
var ErrCalledOff = errors.New("called off")

// ErrTimeUp is the cause when its time is up.
var ErrTimeUp = errors.New("time up")

// send is the fourth stage: the carrier takes the try to its peer on a
// goroutine of its own, and exactly one outcome comes back.
func (r *Router) send(ctx context.Context, t Try) {
	start := time.Now()
	over := func(res TryResult) {
		o := brain.Outcome{ID: t.Call, Attempt: t.Attempt, Latency: time.Since(start), Result: res.Result}
		if t.Peer != nil {
			o.Server = t.Peer.ID
		}
		r.post(outcomeEvent{o, res.Reply})
	}
	r.spawn(func(context.Context) {
		if t.Peer == nil {
			over(TryResult{Result: brain.Moot}) // the Balancer and the table disagree: nothing was sent
			return
		}
		ctx, stop := context.WithDeadlineCause(ctx, t.Until, ErrTimeUp)
		defer stop()
		over(r.carrier.Try(ctx, t))
	}, func() { over(TryResult{Result: brain.Reset}) }) // after a panic it may have run
}

// Cancel implements brain.Host.
func (r *Router) Cancel(id brain.RequestID, attempt int) {
	if e := r.open[id]; e != nil && attempt >= 0 && attempt < len(e.tries) && e.tries[attempt] != nil {
		r.count.CalledOff.Add(1)
		e.tries[attempt](ErrCalledOff)
	}
}
