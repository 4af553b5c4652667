package callstore

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// silenceLimit is the longest time without any response on a stream. A request that times out after a longer silence
// closes the stream, because the connection is cut or the remote process is stopped. The next request opens a new one.
const silenceLimit = 2 * requestTimeout

// errUnproven reports that a stream has not received a response yet, and that another request waits for it.
var errUnproven = fmt.Errorf("%w: the voter has not responded on this stream yet", errNotSent)

// stream multiplexes concurrent requests over one connection to a voter.
type stream struct {
	conn net.Conn

	writing sync.Mutex // held while a request is written
	encoder *json.Encoder

	mu           sync.Mutex
	lastNumber   uint64                   // number of the last request
	pending      map[uint64]chan response // by request number; each channel has a buffer of one response
	lastResponse time.Time                // time of the last response, initially the time at which the stream was opened
	proven       bool                     // true once a response has arrived
	err          error                    // reason why the stream is closed; nil while it is open
}

// newStream returns a stream over a connection. The stream owns the connection and closes it.
func newStream(conn net.Conn) *stream {
	s := &stream{
		conn:         conn,
		encoder:      json.NewEncoder(conn),
		pending:      map[uint64]chan response{},
		lastResponse: time.Now(),
	}
	go s.readResponses()
	return s
}

// readResponses delivers each response to the request that waits for it, until the connection fails.
func (s *stream) readResponses() {
	decoder := json.NewDecoder(s.conn)
	for {
		var r response
		if err := decoder.Decode(&r); err != nil {
			s.close(err)
			return
		}
		s.deliver(r)
	}
}

func (s *stream) deliver(r response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastResponse = time.Now()
	s.proven = true
	if wait := s.pending[r.Number]; wait != nil {
		wait <- r
		delete(s.pending, r.Number)
	}
}

func (s *stream) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err != nil
}

// close closes the stream. Requests that wait for a response fail with ErrNoLeader; later ones fail with reason.
func (s *stream) close(reason error) {
	_ = s.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = reason
	}
	for number, wait := range s.pending {
		close(wait)
		delete(s.pending, number)
	}
}

// roundTrip sends one request and waits for its response, until the voter has not responded to any request for
// requestTimeout. A voter that is slow is waited for: a request that is given up and sent again makes it slower. After
// an error that does not wrap errNotSent, the voter may still have processed the request.
func (s *stream) roundTrip(ctx context.Context, r request) (response, error) {
	number, wait, err := s.register()
	if err != nil {
		return response{}, err
	}
	defer s.unregister(number)
	r.Number = number
	if err := s.write(r); err != nil {
		s.close(err)
		return response{}, err
	}
	timeout := time.NewTimer(requestTimeout)
	defer timeout.Stop()
	for {
		select {
		case resp, open := <-wait:
			if !open {
				return response{}, ErrNoLeader
			}
			return resp, nil
		case <-timeout.C:
			silence := s.silence()
			if silence < requestTimeout {
				timeout.Reset(requestTimeout - silence)
				continue
			}
			if silence > silenceLimit {
				s.close(ErrNoLeader)
			}
			return response{}, ErrNoLeader
		case <-ctx.Done():
			return response{}, ctx.Err()
		}
	}
}

// register allocates the number of a request and the channel on which its response arrives. The channel is closed if
// the stream closes first. Until a response has arrived, only one request at a time may wait for it: a voter that is
// stopped or cut off receives few requests, each of which it might still process later.
func (s *stream) register() (uint64, chan response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return 0, nil, fmt.Errorf("%w: %w", errNotSent, s.err)
	}
	if !s.proven && len(s.pending) > 0 {
		return 0, nil, errUnproven
	}
	s.lastNumber++
	wait := make(chan response, 1)
	s.pending[s.lastNumber] = wait
	return s.lastNumber, wait, nil
}

func (s *stream) unregister(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, number)
}

func (s *stream) write(r request) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	_ = s.conn.SetWriteDeadline(time.Now().Add(requestTimeout))
	return s.encoder.Encode(r)
}

// silence returns the time since the last response.
func (s *stream) silence() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastResponse)
}
