package operations

import (
	"cmp"
	"encoding/json"
	"errors"
	"net"
	"time"
)

const (
	// requestTimeout limits the time for one request to a voter. An operator's call must be answered within one second.
	requestTimeout = 400 * time.Millisecond
	// startTimeout limits the time for which a starting node waits for the suspensions known to other nodes.
	startTimeout = 500 * time.Millisecond
	// maxStartRequests is the limit on nodes from which a starting node requests the suspensions.
	maxStartRequests = 8
)

// errNoLeader reports that no voter responded as the leader.
var errNoLeader = errors.New("no majority of the voters is there, or none can be reached")

// sendToLeader sends a request to the leader, over a new stream: there are only a few requests per second. If a voter
// responds with the name of the leader, the next attempt goes to that leader. The number of attempts is at most the
// number of voters plus one.
func (s *Service) sendToLeader(r request) (response, error) {
	voters := s.participant.Voters().Names
	voter := s.hint.Leader()
	var resp response
	var err error
	for range len(voters) + 1 {
		if voter == "" {
			voter = s.hint.NextVoter(voters)
		}
		resp, err = s.sendToVoter(voter, r)
		if err == nil && resp.Refusal == "" {
			s.hint.SetLeader(voter)
			return resp, nil
		}
		voter = resp.Leader
		if err != nil {
			voter = ""
		}
	}
	s.hint.Forget()
	return resp, cmp.Or(err, errNoLeader)
}

func (s *Service) sendToVoter(voter string, r request) (response, error) {
	if voter == s.config.Name {
		return s.handleRequest(voter, r), nil
	}
	conn, err := s.config.Dial(voter, NodesChannel, requestTimeout)
	if err != nil {
		return response{}, err
	}
	return exchange(conn, r)
}

// fetchSuspensions requests the suspended servers from other nodes in parallel, and returns the response with the
// latest version. It returns false if no node responds with a version above 0, for example if all nodes start together.
func (s *Service) fetchSuspensions() (latest response, found bool) {
	if s.config.Others == nil {
		return latest, false
	}
	addresses := s.config.Others()
	addresses = addresses[:min(len(addresses), maxStartRequests)]
	responses := make(chan response, len(addresses))
	for _, address := range addresses {
		go func() { responses <- s.fetchSuspensionsFrom(address) }()
	}
	timeout := time.After(startTimeout)
	for range addresses {
		select {
		case resp := <-responses:
			if resp.Version > latest.Version {
				latest, found = resp, true
			}
		case <-timeout:
			return latest, found
		}
	}
	return latest, found
}

// fetchSuspensionsFrom requests the suspended servers from the node at an address. The response is empty if the node
// does not respond.
func (s *Service) fetchSuspensionsFrom(address string) response {
	conn, err := s.config.DialAddr(address, NodesChannel, startTimeout)
	if err != nil {
		return response{}
	}
	resp, err := exchange(conn, request{AtStart: true})
	if err != nil {
		return response{}
	}
	return resp
}

// exchange sends one request over a connection, reads the response and closes the connection.
func exchange(conn net.Conn, r request) (response, error) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(requestTimeout))
	var resp response
	if err := json.NewEncoder(conn).Encode(r); err != nil {
		return resp, err
	}
	err := json.NewDecoder(conn).Decode(&resp)
	return resp, err
}
