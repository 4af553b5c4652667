package transport

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// stillLook is how long a peer may leave a long answer where it stands before a look whether its client is there, and the
// time between two such looks. A write would tell, but there is nothing to write.
const clientCheckInterval = 50 * time.Millisecond

// holdBack is how long the first part of an answer of unknown length may wait
// for the rest. Most come whole by then, and one that is spoilt can be tried again.
const firstPartWait = 20 * time.Millisecond

// rest is what a peer still gives of an answer of which the first part is there.
// It holds the connection; whoever has it reads to the end, or drops it.
type responseStream struct {
	carrier    *UpstreamTransport
	conn       *upstreamConn
	reader     *bufio.Reader
	body       io.Reader
	length     int64 // of the whole body; -1: unknown
	remaining  int64 // of a known length, or of what an answer may have
	closeAfter bool  // the connection ends with it

	transferPace // of what was read here

	client      presence // whom it is passed to; nil: nobody who could go
	mu          sync.Mutex
	waiting     bool        // a read waits
	clientCheck *time.Timer // at the client, while it does
}

// stands notes that a read begins to wait, or has ended. It is looked meanwhile whether the client has gone.
func (s *responseStream) setWaiting(still bool) {
	if s.client == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.waiting = still; {
	case !still:
		s.clientCheck.Stop()
	case s.clientCheck == nil:
		s.clientCheck = time.AfterFunc(clientCheckInterval, s.checkClient)
	default:
		s.clientCheck.Reset(clientCheckInterval)
	}
}

// lookAtClient ends a read that waits for the answer of a client that has gone. The lock keeps it from any later use of
// the connection.
func (s *responseStream) checkClient() {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.waiting:
	case s.client.hasLeft():
		s.conn.Interrupt()
	default:
		s.clientCheck.Reset(clientCheckInterval)
	}
}

// Read reads on; io.EOF means that the answer is whole.
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
	begun := time.Now()
	s.conn.SetReadDeadline(begun.Add(s.timeLeft(streamStallTimeout)))
	s.setWaiting(true)
	n, err := s.body.Read(b)
	s.setWaiting(false)
	s.add(n, begun)
	s.remaining -= int64(n)
	if err == io.EOF && s.length >= 0 && s.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	if n > 0 && err == io.EOF {
		err = nil // told by the next
	}
	return n, err
}

// atHand reports whether more can be read without waiting.
func (s *responseStream) hasBuffered() bool { return s.reader.Buffered() > 0 }

// end gives the connection back after a whole answer, or ends it for a reason.
func (s *responseStream) finish(reason string) {
	surplus := s.reader.Buffered() > 0
	s.reader.Reset(nil)
	s.carrier.readers.Put(s.reader)
	switch {
	case reason != "":
		s.conn.closeFor(reason)
	case s.closeAfter:
		s.conn.closeFor("peer-asked")
	case surplus:
		s.conn.closeFor("surplus")
	default:
		s.carrier.putConn(s.conn)
	}
}

// Drop implements routing.Dropper.
func (p *response) Drop() {
	if p.stream != nil {
		p.stream.finish("called-off")
	}
}

// trailed reads chunks, and the trailer behind them.
type chunkedBody struct {
	chunks io.Reader
	in     *bufio.Reader
	end    error // sticky
}

// Read takes no more than is there: the reader of chunks would wait in the
// middle of one until b is full, and hold back what a slow peer has given.
func (t *chunkedBody) Read(b []byte) (int, error) {
	if t.end != nil {
		return 0, t.end
	}
	if _, err := t.in.Peek(1); err != nil {
		return 0, noEOF(err)
	}
	n, err := t.chunks.Read(b[:min(len(b), t.in.Buffered())])
	if err == io.EOF {
		if e := skipTrailer(t.in); e != nil {
			err = noEOF(e)
		}
	}
	t.end = err
	return n, err
}

// unexpected keeps the end of a connection from being taken for that of an answer.
func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// gather reads the first part of a body of unknown length: all of it, if it is
// short and comes soon.
func readFirstPart(c *upstreamConn, in *bufio.Reader, body io.Reader, most int, until time.Time) (first []byte, whole bool, err error) {
	hold := time.Now().Add(firstPartWait)
	for len(first) <= most {
		if end := c.responseDeadline(until); in.Buffered() == 0 && (end.IsZero() || hold.Before(end)) {
			c.SetReadDeadline(hold)
			_, err := in.Peek(1)
			c.SetReadDeadline(end)
			if errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(hold) { // else it was interrupted
				c.readErr = nil // nothing was lost by it
				return first, false, nil
			}
		}
		if len(first) == cap(first) {
			first = append(make([]byte, 0, max(2*cap(first), 512)), first...)
		}
		n, err := body.Read(first[len(first):cap(first)])
		first = first[:len(first)+n]
		if err == io.EOF {
			return first, true, nil
		}
		if err != nil {
			return first, false, err
		}
	}
	return first, false, nil
}

// stream passes a long answer on as it comes. One that breaks ends the client's
// connection, so that the client can tell.
func (f *Frontend) streamResponse(w http.ResponseWriter, k *clientConn, p *response) {
	k.startStreaming()
	p.stream.client = k
	whole := false
	reason := "called-off" // unless the peer ends it first
	defer func() {
		if whole {
			reason = ""
		}
		p.stream.finish(reason)
		p.freeBuffer()
		if !whole {
			panic(http.ErrAbortHandler)
		}
	}()
	buf := f.buffers.get(streamBuffer)
	defer f.buffers.put(buf)
	flush := w.(http.Flusher).Flush
	for part := p.body; ; {
		k.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.Write(part); err != nil {
			return
		}
		if !p.stream.hasBuffered() {
			flush()
		}
		n, err := p.stream.Read(buf.bytes[:streamBuffer])
		if err != nil {
			if whole = err == io.EOF; !whole && !k.hasLeft() {
				if reason = "reset"; p.stream.conn.readErr == nil {
					reason = "spoilt"
				}
				flush() // what the peer has given is the client's
			}
			return
		}
		part = buf.bytes[:n]
	}
}
