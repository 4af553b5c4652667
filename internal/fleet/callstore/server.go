package callstore

import (
	"encoding/json"
	"net"
	"sync"
	"time"
)

// maxConcurrentRequests bounds the requests of one stream that are being answered.
const maxConcurrentRequests = 512

// ServeCalls answers the requests of a stream from the member called from, until it ends. Requests are answered
// concurrently; their numbers say which response is whose.
func (s *Service) ServeCalls(conn net.Conn, from string) {
	requests := json.NewDecoder(conn)
	responses := &responseWriter{conn: conn, encoder: json.NewEncoder(conn)}
	slots := make(chan struct{}, maxConcurrentRequests)
	var open sync.WaitGroup
	defer open.Wait()
	for {
		var r request
		if err := requests.Decode(&r); err != nil {
			return
		}
		if !r.isFrom(from) {
			return // nobody speaks for another node
		}
		slots <- struct{}{}
		open.Go(func() {
			defer func() { <-slots }()
			responses.write(s.answer(r))
		})
	}
}

// responseWriter writes the responses of one stream, one at a time.
type responseWriter struct {
	mu      sync.Mutex
	conn    net.Conn
	encoder *json.Encoder
}

// write closes the stream if it fails: nothing further would be written to it.
func (w *responseWriter) write(r response) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.conn.SetWriteDeadline(time.Now().Add(requestTimeout))
	if w.encoder.Encode(r) != nil {
		_ = w.conn.Close()
	}
}

// answer answers a request if this process leads; else it names the leader, if it knows it.
func (s *Service) answer(r request) response {
	got := response{Number: r.Number}
	result, err := s.propose(command{Begin: r.Begin, End: r.End})
	if err != nil {
		got.Refusal = err.Error()
		got.Leader = s.knownLeader()
		return got
	}
	switch result := result.(type) {
	case BeginResult:
		got.BeginResult = result
	case bool:
		got.EndAccepted = result
	}
	return got
}

// knownLeader is the leader as far as this process knows; "" if it knows of none, or is no voter.
func (s *Service) knownLeader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.log == nil {
		return ""
	}
	return s.log.Leader()
}

// answerLocally answers a request of this process; false: it does not hold the node's membership, and the node's other
// process may be the voter.
func (s *Service) answerLocally(r request) (response, bool) {
	s.mu.Lock()
	holdsPlace := s.incarnation != ""
	s.mu.Unlock()
	if !holdsPlace {
		return response{}, false
	}
	return s.answer(r), true
}
