package transport

// semaphore is held by one goroutine at a time. Unlike a mutex it may be held during I/O for which others wait in
// virtual time (testing/synctest).
type semaphore chan struct{}

func (s semaphore) acquire() { s <- struct{}{} }

func (s semaphore) release() { <-s }

// tryAcquire acquires the semaphore if it is free, and reports whether it did.
func (s semaphore) tryAcquire() bool {
	select {
	case s <- struct{}{}:
		return true
	default:
		return false
	}
}
