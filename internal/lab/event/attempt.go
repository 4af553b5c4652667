package event

// AttemptObserver is notified by the peers of what becomes of attempts. It is
// for runs in which the bytes on the network are not read: it hears enough to
// check that no peer receives what a node must not send. All its methods are
// called on the goroutine of the run's loop.Loop and must not block.
type AttemptObserver interface {
	// AttemptReceived reports that a peer received a complete attempt of a
	// call. safe says that the call is idempotent.
	AttemptReceived(peer, call string, safe bool)
	// AttemptRejected reports that a peer answers that an attempt which it
	// received will not run.
	AttemptRejected(peer, call string)
	// AttemptAnswered reports that a peer answers an attempt with status 200
	// and a body, which must not be kept after the method returns.
	AttemptAnswered(peer, call string, body []byte)
}
