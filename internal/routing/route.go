package routing

import (
	"context"

	"olivebridge/brain"
)

// Send implements brain.Host, the third stage: it finds the peer that the
// Balancer chose and sends the try off. Its outcome comes back as an event even
// if nothing can be sent, since a Host must not call back.
func (r *Router) Send(id brain.RequestID, to brain.ServerID, cut brain.Time) {
	e, p := r.open[id], r.peers[to]
	if e == nil {
		return
	}
	until := e.deadline
	if cut != 0 {
		until = min(until, cut)
	}
	ctx, cancel := context.WithCancelCause(r.ctx)
	e.tries = append(e.tries, cancel)
	e.out++
	r.count.Tries.Add(1)
	r.send(ctx, Try{Call: id, Attempt: len(e.tries) - 1, Peer: p, Until: r.instant(until), Over: &e.over, Payload: e.Payload})
}
