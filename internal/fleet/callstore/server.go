package callstore

import (
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"olivebridge/internal/fleet/raftlog"
)

// maxConcurrentRequests is the limit on requests of one stream that are processed at the same time.
const maxConcurrentRequests = 512

// ServeCalls handles the requests of a stream from the named member until the stream ends. It handles them concurrently
// and responds in any order; a response has the number of its request.
func (s *Service) ServeCalls(conn net.Conn, from string) {
	requests := json.NewDecoder(conn)
	responses := &responseWriter{conn: conn, encoder: json.NewEncoder(conn)}
	slots := make(chan struct{}, maxConcurrentRequests)
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for {
		var r request
		if err := requests.Decode(&r); err != nil {
			return
		}
		if !r.isFrom(from) {
			return // a node may only send requests for its own owners
		}
		slots <- struct{}{}
		inFlight.Go(func() {
			defer func() { <-slots }()
			responses.write(s.handleRequest(r))
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

// handleRequest processes a request if this process is the leader. Otherwise the response has a Refusal and the leader
// known to this process, if any.
func (s *Service) handleRequest(r request) response {
	resp := response{Number: r.Number}
	result, err := s.propose(command{Begin: r.Begin, End: r.End})
	if err != nil {
		resp.Refusal = err.Error()
		resp.NotProposed = errors.Is(err, raftlog.ErrNotProposed)
		resp.Leader = s.knownLeader()
		return resp
	}
	switch result := result.(type) {
	case BeginResult:
		resp.BeginResult = result
	case bool:
		resp.EndAccepted = result
	}
	return resp
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

// handleLocally processes a request of this process. It returns false if this process does not hold the node's
// membership: the node's other process may then be the voter.
func (s *Service) handleLocally(r request) (response, bool) {
	s.mu.Lock()
	holdsMembership := s.incarnation != ""
	s.mu.Unlock()
	if !holdsMembership {
		return response{}, false
	}
	return s.handleRequest(r), true
}
