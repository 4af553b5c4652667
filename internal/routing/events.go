package routing

// event is something that the goroutine of Run handles.
type event interface{ handle(r *Router) }

// post hands an event to the goroutine of Run. It may block, so that goroutine itself never calls it. Once the
// decisions have ended it reports false.
func (r *Router) post(e event) bool {
	select {
	case r.events <- e:
		return true
	case <-r.stopped:
		return false
	}
}

// postAsync hands over an event without blocking, also where the queue is full. It guards the watchdog's answer, which
// is due just then.
func (r *Router) postAsync(e event) {
	select {
	case r.events <- e:
	default:
		go r.post(e)
	}
}
