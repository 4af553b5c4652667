package callstore

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"
)

// stream carries questions to one voter, many at a time.
type stream struct {
	who  string
	conn net.Conn
	out  *json.Encoder

	writing sync.Mutex

	mu    sync.Mutex
	last  uint64
	waits map[uint64]chan reply
	heard time.Time // when an answer came last
	err   error     // why it is over
}

func newStream(who string, c net.Conn) *stream {
	s := &stream{who: who, conn: c, out: json.NewEncoder(c), waits: map[uint64]chan reply{}, heard: time.Now()}
	go s.read()
	return s
}

// read takes answers to whoever waits for them, until the stream ends.
func (s *stream) read() {
	in := json.NewDecoder(s.conn)
	for {
		var r reply
		if err := in.Decode(&r); err != nil {
			s.close(err)
			return
		}
		s.mu.Lock()
		s.heard = time.Now()
		if wait := s.waits[r.Number]; wait != nil {
			wait <- r
			delete(s.waits, r.Number)
		}
		s.mu.Unlock()
	}
}

func (s *stream) over() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err != nil
}

// close ends the stream, and every wait on it.
func (s *stream) close(why error) {
	s.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = why
	}
	for n, wait := range s.waits {
		close(wait)
		delete(s.waits, n)
	}
}

// ask asks one question. Where there is no answer it may have been taken.
func (s *stream) ask(ctx context.Context, q question) (reply, error) {
	wait := make(chan reply, 1)
	s.mu.Lock()
	if s.err != nil {
		s.mu.Unlock()
		return reply{}, s.err
	}
	s.last++
	q.Number = s.last
	s.waits[q.Number] = wait
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waits, q.Number)
	}()
	s.writing.Lock()
	s.conn.SetWriteDeadline(time.Now().Add(askWithin))
	err := s.out.Encode(q)
	s.writing.Unlock()
	if err != nil {
		s.close(err)
		return reply{}, err
	}
	late := time.NewTimer(askWithin)
	defer late.Stop()
	select {
	case r, ok := <-wait:
		if !ok {
			return reply{}, ErrNoLeader
		}
		return r, nil
	case <-late.C:
		s.mu.Lock()
		dumb := time.Since(s.heard) > 2*askWithin
		s.mu.Unlock()
		if dumb { // cut, or its other side stands still: the next question has a new one
			s.close(ErrNoLeader)
		}
		return reply{}, ErrNoLeader
	case <-ctx.Done():
		return reply{}, ctx.Err()
	}
}
