package transport

import (
	"bufio"
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"olivebridge/internal/protocol"
)

const (
	// maxResponseBody is the maximum size of a response body, in bytes. A body of several GB is not a valid response.
	maxResponseBody = 64 << 20
	// clientCheckInterval is the duration for which a server may send no byte of a long response before the node checks
	// whether the client is still connected, and the interval between two checks. A failed write would also show that the
	// client has left, but there is nothing to write.
	clientCheckInterval = 50 * time.Millisecond
	// lateAnswerGrace is the time after the end of a call at which a response whose server sends nothing is given up. An
	// answer that ends half a second late, or is cut by then, does not count as lost.
	lateAnswerGrace = 400 * time.Millisecond
	// lateAnswerStall is the duration for which a server may send nothing once the time of the call is over.
	lateAnswerStall = time.Second
	// longAnswerPause is the duration for which the server of a long response may always pause, whatever time is left to
	// the call: the call's time limits the first bytes of such a response, not its end.
	longAnswerPause = 1900 * time.Millisecond
)

// responseStream is the remainder of a long response whose first part has been read. It holds the connection to the
// server: its holder must call finish exactly once.
type responseStream struct {
	transport *UpstreamTransport
	conn      *upstreamConn
	reader    *bufio.Reader
	body      responseBody
	// length is the length of the whole body; -1: unknown.
	length int64
	// remaining is the number of bytes still to be read. For a body of unknown length it is the number still allowed.
	remaining int64
	// deadline is the end of the call's time; zero: not known.
	deadline time.Time
	// closeAfter is true if the connection closes after the response.
	closeAfter bool
	// end is what follows the body, once all of it has been read.
	end bodyEnd

	transferPace // pace of the server

	// client is the connection that receives the response; nil: there is no client that could disconnect.
	client disconnectChecker
	mu     sync.Mutex
	// waiting is true while a read waits.
	waiting bool
	// clientCheck is the timer of the next check of the client while a read waits.
	clientCheck *time.Timer
}

// Read implements io.Reader. io.EOF means that the response is complete.
func (s *responseStream) Read(b []byte) (int, error) {
	if s.remaining == 0 {
		if s.length < 0 {
			return 0, errResponseTooLarge
		}
		return 0, io.EOF
	}
	b = s.limit(b)
	started := time.Now()
	_ = s.conn.SetReadDeadline(s.readDeadline(started))
	s.setWaiting(true)
	n, err := s.body.Read(b)
	s.setWaiting(false)
	s.add(n, started)
	if int64(n) > s.remaining {
		s.end = newBodyEnd(b[s.remaining:n])
		n = int(s.remaining)
	}
	if err := s.end.check(); err != nil { // without its last bytes, the client can tell that the response is incomplete
		return 0, err
	}
	s.remaining -= int64(n)
	if errors.Is(err, io.EOF) && s.length >= 0 && s.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	if n > 0 && errors.Is(err, io.EOF) {
		err = nil // the next read returns io.EOF
	}
	return n, err
}

// limit shortens the buffer of a read. A read that can end a body of announced length has room for a status line after
// it, so that the read sees what has arrived with the last bytes.
func (s *responseStream) limit(b []byte) []byte {
	available := int64(len(b))
	const room = int64(len(statusLinePattern))
	switch {
	case s.length < 0:
		return b[:min(available, s.remaining)]
	case s.remaining+room <= available:
		return b[:s.remaining+room]
	}
	return b[:min(available, max(s.remaining-room, 1))]
}

// readDeadline returns the time until which a read that starts now waits for the server. A response that still arrives
// may end after the call's time, but one that has stopped is not waited for.
func (s *responseStream) readDeadline(now time.Time) time.Time {
	paceDeadline := now.Add(s.timeLeft(streamStallTimeout))
	callDeadline := s.deadline.Add(lateAnswerGrace)
	if !now.Before(s.deadline) {
		callDeadline = now.Add(lateAnswerStall)
	}
	if pauseEnd := now.Add(longAnswerPause); s.mayBeLong() && callDeadline.Before(pauseEnd) {
		callDeadline = pauseEnd
	}
	if s.deadline.IsZero() || paceDeadline.Before(callDeadline) {
		return paceDeadline
	}
	return callDeadline
}

// mayBeLong reports whether the response is too long to be buffered, as far as its head tells. What has arrived of a
// response of unknown length does not tell how long it is: cutting a long one costs the client the whole answer, and
// passing a short one on late costs it the time that it waits anyway.
func (s *responseStream) mayBeLong() bool { return s.length < 0 || s.length > protocol.MaxBufferedBody }

// setWaiting records the start or the end of a read. The client is checked while a read waits.
func (s *responseStream) setWaiting(waiting bool) {
	if s.client == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = waiting
	switch {
	case !waiting:
		s.clientCheck.Stop()
	case s.clientCheck == nil:
		s.clientCheck = time.AfterFunc(clientCheckInterval, s.checkClient)
	default:
		s.clientCheck.Reset(clientCheckInterval)
	}
}

// checkClient interrupts a read that waits for the response if the client has disconnected. It holds mu, so that it
// cannot interrupt a later use of the connection.
func (s *responseStream) checkClient() {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.waiting:
	case s.client.hasDisconnected():
		s.conn.Interrupt()
	default:
		s.clientCheck.Reset(clientCheckInterval)
	}
}

// ready reports whether Read returns without waiting for the server.
func (s *responseStream) ready() bool { return s.remaining == 0 || s.body.ready() }

// failureReason returns the close reason for the connection after a failed read.
func (s *responseStream) failureReason() closeReason {
	switch {
	case s.conn.readErr == nil: // no read has failed: the bytes received are no valid response
		return reasonMalformed
	case errors.Is(s.conn.readErr, os.ErrDeadlineExceeded):
		return reasonTimeout
	}
	return reasonReset
}

// finish ends the use of the connection. With reasonNone, after a complete response, it returns the connection to the
// pool if that can be reused; otherwise it closes the connection for the reason.
func (s *responseStream) finish(reason closeReason) {
	extraBytes := s.end.extraBytes || s.reader.Buffered() > 0
	s.reader.Reset(nil)
	s.transport.readers.Put(s.reader)
	switch {
	case reason != reasonNone:
		s.conn.closeFor(reason)
	case s.closeAfter:
		s.conn.closeFor(reasonServerAsked)
	case extraBytes:
		s.conn.closeFor(reasonExtraBytes)
	default:
		s.transport.putConn(s.conn)
	}
}
