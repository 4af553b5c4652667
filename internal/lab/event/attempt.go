package event

// AttemptObserver is notified by the peers when they receive and answer attempts.
// It serves runs in which the bytes on the network are not observed, and its
// events suffice to check that no peer receives an attempt that a node must not
// send. All methods are called on the goroutine of the run's loop.Loop and must
// not block.
type AttemptObserver interface {
	// AttemptReceived reports that a peer received a complete attempt of a
	// call. safe is true if the call is idempotent.
	AttemptReceived(peer, call string, safe bool)
	// AttemptRejected reports that a peer answers that a received attempt will
	// not run.
	AttemptRejected(peer, call string)
	// AttemptAnswered reports that a peer answers an attempt with status 200
	// and a body. The method must not retain body.
	AttemptAnswered(peer, call string, body []byte)
}
