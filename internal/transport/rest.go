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
const stillLook = 50 * time.Millisecond

// holdBack is how long the first part of an answer of unknown length may wait
// for the rest. Most come whole by then, and one that is spoilt can be tried again.
const holdBack = 20 * time.Millisecond

// rest is what a peer still gives of an answer of which the first part is there.
// It holds the connection; whoever has it reads to the end, or drops it.
type rest struct {
	carrier *UpstreamTransport
	c       *peerConn
	in      *bufio.Reader
	body    io.Reader
	length  int64 // of the whole body; -1: unknown
	left    int64 // of a known length, or of what an answer may have
	last    bool  // the connection ends with it

	pace // of what was read here

	client interface{ left() bool } // whom it is passed to; nil: nobody who could go
	mu     sync.Mutex
	still  bool        // a read waits
	look   *time.Timer // at the client, while it does
}

// stands notes that a read begins to wait, or has ended. It is looked meanwhile whether the client has gone.
func (s *rest) stands(still bool) {
	if s.client == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.still = still; {
	case !still:
		s.look.Stop()
	case s.look == nil:
		s.look = time.AfterFunc(stillLook, s.lookAtClient)
	default:
		s.look.Reset(stillLook)
	}
}

// lookAtClient ends a read that waits for the answer of a client that has gone. The lock keeps it from any later use of
// the connection.
func (s *rest) lookAtClient() {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.still:
	case s.client.left():
		s.c.Interrupt()
	default:
		s.look.Reset(stillLook)
	}
}

// Read reads on; io.EOF means that the answer is whole.
func (s *rest) Read(b []byte) (int, error) {
	if s.left == 0 {
		if s.length < 0 {
			return 0, errOversize
		}
		return 0, io.EOF
	}
	if int64(len(b)) > s.left {
		b = b[:s.left]
	}
	begun := time.Now()
	s.c.SetReadDeadline(begun.Add(s.patience(streamStall)))
	s.stands(true)
	n, err := s.body.Read(b)
	s.stands(false)
	s.note(n, begun)
	s.left -= int64(n)
	if err == io.EOF && s.length >= 0 && s.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	if n > 0 && err == io.EOF {
		err = nil // told by the next
	}
	return n, err
}

// atHand reports whether more can be read without waiting.
func (s *rest) atHand() bool { return s.in.Buffered() > 0 }

// end gives the connection back after a whole answer, or ends it for a reason.
func (s *rest) end(reason string) {
	surplus := s.in.Buffered() > 0
	s.in.Reset(nil)
	s.carrier.readers.Put(s.in)
	switch {
	case reason != "":
		s.c.end(reason)
	case s.last:
		s.c.end("peer-asked")
	case surplus:
		s.c.end("surplus")
	default:
		s.carrier.keep(s.c)
	}
}

// Release implements routing.Releaser.
func (p *reply) Release() {
	if p.rest != nil {
		p.rest.end("called-off")
	}
}

// trailed reads chunks, and the trailer behind them.
type trailed struct {
	chunks io.Reader
	in     *bufio.Reader
	end    error // sticky
}

// Read takes no more than is there: the reader of chunks would wait in the
// middle of one until b is full, and hold back what a slow peer has given.
func (t *trailed) Read(b []byte) (int, error) {
	if t.end != nil {
		return 0, t.end
	}
	if _, err := t.in.Peek(1); err != nil {
		return 0, unexpected(err)
	}
	n, err := t.chunks.Read(b[:min(len(b), t.in.Buffered())])
	if err == io.EOF {
		if e := skipTrailer(t.in); e != nil {
			err = unexpected(e)
		}
	}
	t.end = err
	return n, err
}

// unexpected keeps the end of a connection from being taken for that of an answer.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// gather reads the first part of a body of unknown length: all of it, if it is
// short and comes soon.
func gather(c *peerConn, in *bufio.Reader, body io.Reader, most int, until time.Time) (first []byte, whole bool, err error) {
	hold := time.Now().Add(holdBack)
	for len(first) <= most {
		if end := c.deadline(until); in.Buffered() == 0 && (end.IsZero() || hold.Before(end)) {
			c.SetReadDeadline(hold)
			_, err := in.Peek(1)
			c.SetReadDeadline(end)
			if errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(hold) { // else it was interrupted
				c.failed = nil // nothing was lost by it
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
func (f *Frontend) stream(w http.ResponseWriter, k *clientConn, p *reply) {
	k.goesOn()
	p.rest.client = k
	whole := false
	reason := "called-off" // unless the peer ends it first
	defer func() {
		if whole {
			reason = ""
		}
		p.rest.end(reason)
		p.free()
		if !whole {
			panic(http.ErrAbortHandler)
		}
	}()
	buf := f.buffers.take(streamBuffer)
	defer f.buffers.give(buf)
	flush := w.(http.Flusher).Flush
	for part := p.body; ; {
		k.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.Write(part); err != nil {
			return
		}
		if !p.rest.atHand() {
			flush()
		}
		n, err := p.rest.Read(buf.b[:streamBuffer])
		if err != nil {
			if whole = err == io.EOF; !whole && !k.left() {
				if reason = "reset"; p.rest.c.failed == nil {
					reason = "spoilt"
				}
				flush() // what the peer has given is the client's
			}
			return
		}
		part = buf.b[:n]
	}
}
