package callstore

import (
	"encoding/json"
	"net"
	"sync"
	"time"
)

// maxConcurrentRequests is the limit on requests of one stream that are processed at the same time.
const maxConcurrentRequests = 512

// ServeCalls handles the requests of a stream from the named member until the stream ends. It handles them concurrently
// and responds in any order; a response has the number of its request.
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
			return // a node may only send requests for its own owners
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

// write writes one response. It closes the stream on an error, because a response may have been written in part.
func (w *responseWriter) write(r response) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.conn.SetWriteDeadline(time.Now().Add(requestTimeout))
	if w.encoder.Encode(r) != nil {
		_ = w.conn.Close()
	}
}

// answer processes a request if this process is the leader. Otherwise the response has a Refusal and the leader known
// to this process, if any.
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

// knownLeader returns the leader known to this process, or "" if it knows none or is not a voter.
func (s *Service) knownLeader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.log == nil {
		return ""
	}
	return s.log.Leader()
}

// answerLocally processes a request of this process. It returns false if this process does not hold the node's
// membership: the node's other process may then be the voter.
func (s *Service) answerLocally(r request) (response, bool) {
	s.mu.Lock()
	holdsPlace := s.incarnation != ""
	s.mu.Unlock()
	if !holdsPlace {
		return response{}, false
	}
	return s.answer(r), true
}
