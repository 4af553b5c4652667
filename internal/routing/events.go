package routing

// event is a message to the event loop, which calls handle.
type event interface{ handle(r *Router) }

// post sends an event to the event loop and returns false if the event loop has stopped. It may block while the queue
// is full, so the event loop itself must not call it.
func (r *Router) post(e event) bool {
	select {
	case r.events <- e:
		return true
	case <-r.stopped:
		return false
	}
}

// postAsync sends an event without blocking, even if the queue is full. Waiting for room in the queue would delay the
// watchdog's answer, which is already due when Handle posts its event.
func (r *Router) postAsync(e event) {
	select {
	case r.events <- e:
	default:
		go r.post(e)
	}
}
