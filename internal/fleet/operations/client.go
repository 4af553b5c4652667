package operations

import (
	"cmp"
	"encoding/json"
	"errors"
	"net"
	"time"
)

const (
	// requestTimeout bounds one request to a voter; an operator's call has to have its answer within a second.
	requestTimeout = 400 * time.Millisecond
	// startTimeout is how long a start waits for what others know of the fleet's suspensions.
	startTimeout = 500 * time.Millisecond
	// maxAskedAtStart bounds the nodes that are asked for that.
	maxAskedAtStart = 8
)

// errNoLeader says that no voter answered as the leader.
var errNoLeader = errors.New("no majority of the voters is there, or none can be reached")

// ask sends a request to the leader, over a stream of its own: there are some a second. It makes at most one
// attempt more than there are voters; the leader that a voter names is asked next.
func (s *Service) ask(r request) (response, error) {
	voters := s.participant.Voters().Names
	voter := s.hint.Leader()
	var got response
	var err error
	for range len(voters) + 1 {
		if voter == "" {
			voter = s.hint.NextVoter(voters)
		}
		got, err = s.askVoter(voter, r)
		if err == nil && got.Refusal == "" {
			s.hint.Answered(voter)
			return got, nil
		}
		voter = got.Leader
		if err != nil {
			voter = ""
		}
	}
	s.hint.Forget()
	return got, cmp.Or(err, errNoLeader)
}

func (s *Service) askVoter(voter string, r request) (response, error) {
	if voter == s.config.Name {
		return s.answer(voter, r), nil
	}
	conn, err := s.config.Dial(voter, NodesChannel, requestTimeout)
	if err != nil {
		return response{}, err
	}
	return exchange(conn, r)
}

// askOthersAtStart asks other nodes which servers are suspended, all at once, and returns the response with the latest
// version. Nobody answers a node that starts together with the others.
func (s *Service) askOthersAtStart() (latest response, found bool) {
	if s.config.Others == nil {
		return latest, false
	}
	addresses := s.config.Others()
	addresses = addresses[:min(len(addresses), maxAskedAtStart)]
	responses := make(chan response, len(addresses))
	for _, address := range addresses {
		go func() { responses <- s.askAtStart(address) }()
	}
	timeout := time.After(startTimeout)
	for range addresses {
		select {
		case got := <-responses:
			if got.Version > latest.Version {
				latest, found = got, true
			}
		case <-timeout:
			return latest, found
		}
	}
	return latest, found
}

// askAtStart asks the node at an address; the response is empty if it does not answer.
func (s *Service) askAtStart(address string) response {
	conn, err := s.config.DialAddr(address, NodesChannel, startTimeout)
	if err != nil {
		return response{}
	}
	got, err := exchange(conn, request{AtStart: true})
	if err != nil {
		return response{}
	}
	return got
}

// exchange sends one request over a connection, and closes that.
func exchange(conn net.Conn, r request) (response, error) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(requestTimeout))
	var got response
	if err := json.NewEncoder(conn).Encode(r); err != nil {
		return got, err
	}
	err := json.NewDecoder(conn).Decode(&got)
	return got, err
}
