package transport

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"olivebridge/internal/protocol"
)

const (
	// maxResponseBody is the longest body that a server may send, in bytes; one of several GB is no response.
	maxResponseBody = 64 << 20
	// clientCheckInterval is how long a server may let a long response stand still before a look whether its client is
	// there, and the time between two such looks. A write would tell, but there is nothing to write.
	clientCheckInterval = 50 * time.Millisecond
	// firstPartWait is how long the first part of a response of unknown length may wait for the rest. Most are
	// complete by then, and an attempt whose response is malformed can be retried.
	firstPartWait = 20 * time.Millisecond
	// minFirstPart is the first size of the buffer for that part, in bytes.
	minFirstPart = 512
)

// responseStream is the rest of a long response of which the first part has been read. It holds the server's
// connection: whoever has it calls finish, once.
type responseStream struct {
	transport *UpstreamTransport
	conn      *upstreamConn
	reader    *bufio.Reader
	body      io.Reader
	// length is that of the whole body; -1: unknown.
	length int64
	// remaining is what is left of a known length, or of what a response may have.
	remaining int64
	// closeAfter: the connection ends with the response.
	closeAfter bool

	transferPace // of what is read here

	// client is whom the response is passed to; nil: nobody who could leave.
	client disconnectChecker
	mu     sync.Mutex
	// waiting: a read waits.
	waiting bool
	// clientCheck looks at the client meanwhile.
	clientCheck *time.Timer
}

// Read implements io.Reader; io.EOF means that the response is complete.
func (s *responseStream) Read(b []byte) (int, error) {
	if s.remaining == 0 {
		if s.length < 0 {
			return 0, errResponseTooLarge
		}
		return 0, io.EOF
	}
	if int64(len(b)) > s.remaining {
		b = b[:s.remaining]
	}
	started := time.Now()
	_ = s.conn.SetReadDeadline(started.Add(s.timeLeft(streamStallTimeout)))
	s.setWaiting(true)
	n, err := s.body.Read(b)
	s.setWaiting(false)
	s.add(n, started)
	s.remaining -= int64(n)
	if err == io.EOF && s.length >= 0 && s.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	if n > 0 && err == io.EOF {
		err = nil // the next read returns it
	}
	return n, err
}

// setWaiting notes that a read begins to wait, or has ended. Meanwhile the client is checked.
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

// checkClient ends a read that waits for the response of a client that has left. The lock keeps it from any later
// use of the connection.
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

// hasBuffered reports whether more can be read without waiting.
func (s *responseStream) hasBuffered() bool { return s.reader.Buffered() > 0 }

// failureReason says why the connection ends after a read has failed.
func (s *responseStream) failureReason() closeReason {
	if s.conn.readErr == nil { // the bytes are there, and no response
		return reasonMalformed
	}
	return reasonReset
}

// finish gives the connection back after a complete response, or closes it for a reason.
func (s *responseStream) finish(reason closeReason) {
	surplus := s.hasBuffered()
	s.reader.Reset(nil)
	s.transport.readers.Put(s.reader)
	switch {
	case reason != reasonNone:
		s.conn.closeFor(reason)
	case s.closeAfter:
		s.conn.closeFor(reasonServerAsked)
	case surplus:
		s.conn.closeFor(reasonExtraBytes)
	default:
		s.transport.putConn(s.conn)
	}
}

// readFirstPart reads the first part of a body of unknown length: all of it, if it is short and comes soon.
func readFirstPart(conn *upstreamConn, reader *bufio.Reader, body io.Reader,
	until time.Time) (first []byte, complete bool, err error) {
	hold := time.Now().Add(firstPartWait)
	for len(first) <= protocol.MaxBufferedBody {
		if reader.Buffered() == 0 && conn.waitsInVain(reader, hold, until) {
			return first, false, nil
		}
		if len(first) == cap(first) {
			larger := make([]byte, 0, max(2*cap(first), minFirstPart))
			first = append(larger, first...)
		}
		n, err := body.Read(first[len(first):cap(first)])
		first = first[:len(first)+n]
		if errors.Is(err, io.EOF) {
			return first, true, nil
		}
		if err != nil {
			return first, false, err
		}
	}
	return first, false, nil
}

// waitsInVain waits until hold for bytes of a response that is given up at until, and reports whether none have
// come. It does not wait where the response is given up before.
func (c *upstreamConn) waitsInVain(reader *bufio.Reader, hold, until time.Time) bool {
	end := c.responseDeadline(until)
	if !end.IsZero() && !hold.Before(end) {
		return false
	}
	_ = c.SetReadDeadline(hold)
	_, err := reader.Peek(1)
	_ = c.SetReadDeadline(end)
	if !errors.Is(err, os.ErrDeadlineExceeded) || time.Now().Before(hold) { // by then it was interrupted
		return false
	}
	c.readErr = nil // nothing was lost by it
	return true
}

// chunkedBody reads chunks, and the trailer behind them.
type chunkedBody struct {
	chunks io.Reader
	reader *bufio.Reader
	err    error // of an earlier read
}

// Read implements io.Reader. It takes no more than is there: the reader of chunks would wait in the middle of one
// until b is full, and hold back what a slow server has sent.
func (c *chunkedBody) Read(b []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	if _, err := c.reader.Peek(1); err != nil {
		return 0, noEOF(err)
	}
	n, err := c.chunks.Read(b[:min(len(b), c.reader.Buffered())])
	if errors.Is(err, io.EOF) {
		if trailerErr := skipTrailer(c.reader); trailerErr != nil {
			err = noEOF(trailerErr)
		}
	}
	c.err = err
	return n, err
}

// skipTrailer reads the lines behind the last chunk.
func skipTrailer(reader *bufio.Reader) error {
	for room := maxResponseHead; room > 0; {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		room -= len(line)
	}
	return errResponseTooLarge
}
