package transport

// requestPhase is the progress of the current request of a client connection.
type requestPhase uint8

const (
	// noRequest means that no byte of an unanswered request has been read.
	noRequest requestPhase = iota
	// readingRequest means that some bytes of the request have been read, but not all.
	readingRequest
	// requestComplete means that all bytes of the request have been read.
	requestComplete
)

// closePhase is the progress of closing a client connection.
type closePhase uint8

const (
	// connOpen means that the connection is in use.
	connOpen closePhase = iota
	// connClosing means that the close is decided. No further byte is read.
	connClosing
	// connLingering means that the close is decided but waits for the last response to arrive.
	connLingering
)

// clientState is the state of a client connection. clientConns.mu guards it, and only its methods change it.
type clientState struct {
	request requestPhase
	close   closePhase
	// nextStarted reports whether a byte of the request after the current one has been read. That request must be
	// answered, too.
	nextStarted bool
	// nextUnread reports whether unread bytes of the request after the current one are waiting.
	nextUnread bool
	// pipelined reports whether nextStarted or nextUnread was set for the current request while the previous request was
	// open.
	pipelined bool
	// handedOff reports whether another process takes over the connection. The connection stays open in this process until
	// it has been sent.
	handedOff bool
}

// beginRequest records that a byte of a request was read, and reports whether it is the first byte of that request.
func (s *clientState) beginRequest() bool {
	if s.request != noRequest {
		return false
	}
	s.request = readingRequest
	return true
}

// noteRead records that bytes were read. laterStarted reports whether a request after the current one has started.
func (s *clientState) noteRead(laterStarted bool) {
	if laterStarted || s.request == requestComplete {
		s.nextStarted = true
	}
}

// noteUnread records that unread bytes follow the current request.
func (s *clientState) noteUnread() { s.nextUnread = true }

// completeRequest records that the current request has been read completely.
func (s *clientState) completeRequest() { s.request = requestComplete }

// finishRequest records that the current request has been answered. The next request becomes the current one if a byte
// of it has been read; laterStarted reports whether a request after that one has started.
func (s *clientState) finishRequest(laterStarted bool) {
	s.pipelined = s.nextStarted || s.nextUnread
	s.request = noRequest
	if s.nextStarted {
		s.request = readingRequest
	}
	s.nextStarted = laterStarted
	s.nextUnread = false
}

// decideClose records that the connection is about to be closed or, if handOff is set, handed off to another process.
func (s *clientState) decideClose(handOff bool) {
	s.abort()
	s.handedOff = handOff
}

// abort records that the connection is about to be closed, unless a close was decided before.
func (s *clientState) abort() {
	if s.close == connOpen {
		s.close = connClosing
	}
}

// startLingering records that the close waits for the last response to arrive.
func (s *clientState) startLingering() { s.close = connLingering }

// idle reports whether no byte of an unanswered request has been read.
func (s *clientState) idle() bool { return s.request == noRequest }

// closing reports whether the close of the connection is decided.
func (s *clientState) closing() bool { return s.close != connOpen }
