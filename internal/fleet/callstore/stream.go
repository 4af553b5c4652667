package callstore

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"
)

// silenceLimit is for how long a stream may bring no response to a request that was not answered in time, before it is
// taken for broken.
const silenceLimit = 2 * requestTimeout

// stream carries requests to one voter, many at a time.
type stream struct {
	conn net.Conn

	writing sync.Mutex // held while a request is written
	encoder *json.Encoder

	mu           sync.Mutex
	lastNumber   uint64
	waiting      map[uint64]chan response // by the request's number; each has room for its response
	lastResponse time.Time
	err          error // why it is closed; nil: it is open
}

// newStream returns a stream over a connection, which it closes in the end.
func newStream(conn net.Conn) *stream {
	s := &stream{
		conn:         conn,
		encoder:      json.NewEncoder(conn),
		waiting:      map[uint64]chan response{},
		lastResponse: time.Now(),
	}
	go s.readResponses()
	return s
}

// readResponses hands responses to whoever waits for them, until the stream ends.
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
	if wait := s.waiting[r.Number]; wait != nil {
		wait <- r
		delete(s.waiting, r.Number)
	}
}

func (s *stream) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err != nil
}

// close closes the stream, and ends every wait on it.
func (s *stream) close(reason error) {
	_ = s.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = reason
	}
	for number, wait := range s.waiting {
		close(wait)
		delete(s.waiting, number)
	}
}

// ask sends one request and waits for its response. After an error the request may have been taken all the same.
func (s *stream) ask(ctx context.Context, r request) (response, error) {
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
	select {
	case got, open := <-wait:
		if !open {
			return response{}, ErrNoLeader
		}
		return got, nil
	case <-timeout.C:
		s.closeIfSilent()
		return response{}, ErrNoLeader
	case <-ctx.Done():
		return response{}, ctx.Err()
	}
}

// register gives a request its number, and the channel on which its response comes; that is closed with the stream.
func (s *stream) register() (uint64, chan response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return 0, nil, s.err
	}
	s.lastNumber++
	wait := make(chan response, 1)
	s.waiting[s.lastNumber] = wait
	return s.lastNumber, wait, nil
}

func (s *stream) unregister(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, number)
}

func (s *stream) write(r request) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	_ = s.conn.SetWriteDeadline(time.Now().Add(requestTimeout))
	return s.encoder.Encode(r)
}

// closeIfSilent closes a stream that is cut, or whose other side is stopped: the next request opens a new one.
func (s *stream) closeIfSilent() {
	s.mu.Lock()
	silent := time.Since(s.lastResponse) > silenceLimit
	s.mu.Unlock()
	if silent {
		s.close(ErrNoLeader)
	}
}
