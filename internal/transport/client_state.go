package transport

// requestPhase is how far the current request of a client connection has come.
type requestPhase uint8

const (
	// noRequest: no byte of an unanswered request has been read.
	noRequest requestPhase = iota
	// readingRequest: a byte of the request has been read, but not all of it.
	readingRequest
	// requestComplete: all of the request has been read.
	requestComplete
)

// closePhase is how far the close of a client connection has come.
type closePhase uint8

const (
	// connOpen: the connection is in use.
	connOpen closePhase = iota
	// connClosing: the close is decided, and no byte is read any more.
	connClosing
	// connLingering: the close is decided, and waits for the last response to arrive.
	connLingering
)

// clientState is the state of a client connection. The lock of clientConns guards it, and it changes by its
// transitions alone.
type clientState struct {
	request requestPhase
	close   closePhase
	// nextStarted: a byte of the request behind the current one has been read. That request must be answered, too.
	nextStarted bool
	// nextUnread: bytes of the request behind the current one wait to be read.
	nextUnread bool
	// pipelined: one of these two held for the current request while the one before it was open.
	pipelined bool
	// handedOff: another process takes the connection over. It stays open here until it has been sent there.
	handedOff bool
}

// beginRequest notes a byte of a request and reports whether it is the first one.
func (s *clientState) beginRequest() bool {
	if s.request != noRequest {
		return false
	}
	s.request = readingRequest
	return true
}

// noteRead notes that bytes were read, with which a further request may have started.
func (s *clientState) noteRead(furtherStarted bool) {
	if furtherStarted || s.request == requestComplete {
		s.nextStarted = true
	}
}

// noteUnread notes that bytes wait behind the current request.
func (s *clientState) noteUnread() { s.nextUnread = true }

// completeRequest notes that the current request has been read to its end.
func (s *clientState) completeRequest() { s.request = requestComplete }

// finishRequest notes that the current request has been answered. The next one takes its place if a byte of it has
// been read; furtherStarted tells whether one behind that has started, too.
func (s *clientState) finishRequest(furtherStarted bool) {
	s.pipelined = s.nextStarted || s.nextUnread
	s.request = noRequest
	if s.nextStarted {
		s.request = readingRequest
	}
	s.nextStarted = furtherStarted
	s.nextUnread = false
}

// decideClose notes that the connection is about to be closed, or to be handed off to another process.
func (s *clientState) decideClose(handOff bool) {
	s.abort()
	s.handedOff = handOff
}

// abort notes that the connection is about to be closed, whatever was decided before.
func (s *clientState) abort() {
	if s.close == connOpen {
		s.close = connClosing
	}
}

// startLingering notes that the close waits for the last response to arrive.
func (s *clientState) startLingering() { s.close = connLingering }

// idle reports whether no byte of an unanswered request has been read.
func (s *clientState) idle() bool { return s.request == noRequest }

// closing reports whether the close is decided.
func (s *clientState) closing() bool { return s.close != connOpen }
