package budget

import (
	"encoding/json"
	"errors"
	"net"
	"time"

	"olivebridge/internal/fleet/mutant"
	"olivebridge/internal/fleet/record"
)

const (
	// requestTimeoutDivisor sets the timeout of a request: the lease divided by it.
	requestTimeoutDivisor = 4
	// finalTimeoutDivisor sets the timeout of the final request: the timeout of other requests divided by it. It is
	// shorter, so that it does not delay the exit of the process.
	finalTimeoutDivisor = 5
)

// errNoVoters means that a request cannot be sent, as there are no voters.
var errNoVoters = errors.New("the list of voters is empty")

// leaderClient sends a holder's requests to the current leader, over one stream at a time. While the leader is unknown,
// it sends them to the voters in turn.
type leaderClient struct {
	service    *Service
	leader     string // name of the leader, which receives the next request; "": unknown
	voterIndex int    // index, modulo the number of voters, of the voter to try while the leader is unknown
	conn       net.Conn
	remoteName string // name of the node to which conn leads
	in         *json.Decoder
	out        *json.Encoder
}

// requestLoop requests grants every Lease/requestsPerLease until stop is closed, and then returns all of them.
func (s *Service) requestLoop(stop chan struct{}) {
	c := &leaderClient{service: s}
	defer c.closeStream()
	ticker := time.NewTicker(s.config.Terms.Lease / requestsPerLease)
	defer ticker.Stop()
	s.mu.Lock()
	h := s.holder
	s.mu.Unlock()
	if h == nil {
		return
	}
	for {
		c.request(h)
		select {
		case <-stop:
			c.returnAll(h) // if the request is lost, the grants expire on their own
			return
		case <-ticker.C:
		}
	}
}

// request sends the holder's next request and applies the response. A response that does not arrive before the timeout
// counts as lost.
func (c *leaderClient) request(h *Holder) {
	s := c.service
	terms := s.termsText()
	s.mu.Lock()
	began := record.Now()
	request := s.newRequest(h, terms)
	s.mu.Unlock()
	response, err := c.send(request, began)
	if err != nil {
		return
	}
	s.storeSeat(response.Seat, terms)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder == h && h.Accept(s.now(), response.Response) {
		s.counters.answered.Add(1)
	}
	s.recordHoldings()
}

// returnAll sends the final request, which returns the holder's grants and stocks and names its units still in use. A
// failure is ignored.
func (c *leaderClient) returnAll(h *Holder) {
	s := c.service
	terms := s.termsText()
	s.mu.Lock()
	began := record.Now()
	request := s.newRequest(h, terms)
	request.Final = true
	request.Current = nil
	request.Counts = h.returnCounts()
	request.InUse = h.inUse()
	s.mu.Unlock()
	_, _ = c.send(request, began)
}

// newRequest returns the holder's next request. The caller holds mu.
func (s *Service) newRequest(h *Holder, terms string) holderRequest {
	return holderRequest{
		Request: h.NextRequest(s.now(), mutant.WallClock()),
		Home:    s.home,
		Seat:    s.seat,
		Terms:   terms,
	}
}

// send sends a request, records it if it has counts, and updates the leader's name from the outcome. The time at which
// the request was created, began, is by the record's clock.
func (c *leaderClient) send(request holderRequest, began time.Duration) (leaderResponse, error) {
	counters := &c.service.counters
	counters.requests.Add(1)
	response, err := c.exchange(request)
	c.service.recordCounts(request, response, began, err)
	switch {
	case err != nil:
		counters.lost.Add(1)
		c.closeStream()
		c.leader = ""
		c.voterIndex++
	case response.Rejection != "":
		counters.refused.Add(1)
		c.redirect(response.Leader)
	}
	return response, err
}

// redirect sets the leader to the one that a rejection names. If the leader was unknown and the rejection names none,
// the next request goes to the next voter.
func (c *leaderClient) redirect(leader string) {
	switch {
	case leader != c.leader:
		c.leader = leader
	case leader == "":
		c.voterIndex++
	}
}

// exchange sends a request to the leader, or to the voter at voterIndex if the leader is unknown, and waits for the
// response. If that is this node, it handles the request in the process, without a stream.
func (c *leaderClient) exchange(request holderRequest) (response leaderResponse, err error) {
	to := c.leader
	if to == "" {
		voters := c.service.voter.Voters().Names
		if len(voters) == 0 {
			return response, errNoVoters
		}
		to = voters[c.voterIndex%len(voters)]
	}
	if to == c.service.config.Name {
		return c.service.respond(request), nil
	}
	timeout := c.service.config.Terms.Lease / requestTimeoutDivisor
	if request.Final {
		timeout /= finalTimeoutDivisor
	}
	if err := c.connect(to, timeout); err != nil {
		return response, err
	}
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	if err := c.out.Encode(request); err != nil {
		return response, err
	}
	err = c.in.Decode(&response)
	return response, err
}

// connect opens a stream to a node, unless conn already leads to it.
func (c *leaderClient) connect(to string, timeout time.Duration) error {
	if c.conn != nil && c.remoteName == to {
		return nil
	}
	c.closeStream()
	conn, err := c.service.config.Dial(to, HolderChannel, timeout)
	if err != nil {
		return err
	}
	c.conn = conn
	c.remoteName = to
	c.in = json.NewDecoder(conn)
	c.out = json.NewEncoder(conn)
	return nil
}

// closeStream closes the stream, if there is one.
func (c *leaderClient) closeStream() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
