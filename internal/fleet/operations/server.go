package operations

import (
	"encoding/json"
	"net"
	"slices"
	"time"

	"olivebridge/internal/fleet/raftlog"
)

// receivedReport is a node's report with the time at which the leader received it.
type receivedReport struct {
	NodeReport
	receivedAt time.Time
}

// ServeNodes handles the requests of a stream from the named node until the stream ends.
func (s *Service) ServeNodes(conn net.Conn, from string) {
	decoder := json.NewDecoder(conn)
	encoder := json.NewEncoder(conn)
	for {
		var r request
		if err := decoder.Decode(&r); err != nil {
			return
		}
		_ = conn.SetWriteDeadline(time.Now().Add(requestTimeout))
		if err := encoder.Encode(s.handleRequest(from, r)); err != nil {
			return
		}
	}
}

// handleRequest processes a request from the named node. Any process answers a starting node; only the leader processes
// other requests. Otherwise the response has a Refusal and the leader known to this process, if any.
func (s *Service) handleRequest(from string, r request) response {
	if r.AtStart {
		version, suspended := s.suspensions.current()
		return response{Version: version, Suspended: suspended}
	}
	log, ledger := s.currentLog()
	switch {
	case log == nil:
		return response{Refusal: "another leads, or nobody"}
	case !log.IsLeader():
		return response{Refusal: "another leads, or nobody", Leader: log.Leader()}
	case r.Command != nil:
		return s.handleCommand(log, ledger, *r.Command)
	}
	return s.handleReport(log, ledger, from, r)
}

func (s *Service) handleCommand(log *raftlog.Log, ledger *ledger, c command) response {
	applied, err := log.Propose(c)
	if err != nil {
		return response{Refusal: err.Error(), Leader: log.Leader()}
	}
	resp := ledgerResponse(ledger)
	resp.Result, _ = applied.(Result)
	s.mu.Lock()
	defer s.mu.Unlock()
	resp.WaitingFor = s.waitingFor
	return resp
}

func (s *Service) handleReport(log *raftlog.Log, ledger *ledger, from string, r request) response {
	if log.VerifyLeader() != nil { // another process may lead, with a ledger that has newer entries
		return response{Refusal: "it does not lead any more"}
	}
	resp := ledgerResponse(ledger)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[from] = receivedReport{
		NodeReport: NodeReport{Incarnation: r.Incarnation, Version: r.Version, OpenCalls: r.OpenCalls},
		receivedAt: time.Now(),
	}
	resp.WaitingFor = s.waitingFor
	return resp
}

// ledgerResponse returns a response with the contents of the ledger.
func ledgerResponse(ledger *ledger) response {
	version, suspensions, rounds := ledger.contents()
	resp := response{Version: version, Rounds: rounds}
	for server := range suspensions {
		resp.Suspended = append(resp.Suspended, server)
	}
	slices.Sort(resp.Suspended)
	return resp
}
