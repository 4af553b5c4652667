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
	// requestPart is which part of a lease a request may take: one in requestPart.
	requestPart = 4
	// finalRequestPart is which part of that the last request may take: a process that ends must not wait for long.
	finalRequestPart = 5
)

var errNoVoters = errors.New("nobody keeps the book")

// leaderClient sends requests to the leader, whoever that is, over one stream at a time.
type leaderClient struct {
	service *Service
	leader  string // is sent the next request; "": unknown
	voter   int    // counts the voters that were tried while the leader is unknown
	conn    net.Conn
	connTo  string // name of the node at the other end
	in      *json.Decoder
	out     *json.Encoder
}

// requestLoop requests grants until stop is closed, and then returns all of them.
func (s *Service) requestLoop(stop chan struct{}) {
	c := &leaderClient{service: s}
	defer c.hangUp()
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
			c.returnAll(h) // if nobody receives it, the grants end by themselves
			return
		case <-ticker.C:
		}
	}
}

// request sends a request, and gives the response to the holder. A response that does not come in time counts as lost.
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
	s.takeSeat(response.Seat, terms)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder == h && h.Accept(s.now(), response.Response) {
		s.counters.answered.Add(1)
	}
	s.recordHoldings()
}

// returnAll tells the leader that the holder admits nothing any more.
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

// newRequest is the holder's next request. It is called with mu held.
func (s *Service) newRequest(h *Holder, terms string) holderRequest {
	return holderRequest{
		Request: h.NextRequest(s.now(), mutant.WallClock()),
		Home:    s.home,
		Seat:    s.seat,
		Terms:   terms,
	}
}

// send sends a request that was made at a time of the record's clock, and learns from the response who leads.
func (c *leaderClient) send(request holderRequest, began time.Duration) (leaderResponse, error) {
	counters := &c.service.counters
	counters.requests.Add(1)
	response, err := c.exchange(request)
	c.service.recordCounts(request, response, began, err)
	switch {
	case err != nil:
		counters.lost.Add(1)
		c.hangUp()
		c.leader = ""
		c.voter++
	case response.Rejection != "":
		counters.refused.Add(1)
		c.redirect(response.Leader)
	}
	return response, err
}

// redirect takes who leads from a rejection.
func (c *leaderClient) redirect(leader string) {
	switch {
	case leader != c.leader:
		c.leader = leader
	case leader == "":
		c.voter++
	}
}

// exchange sends a request to the leader, or else to one voter after the other, and waits for the response.
func (c *leaderClient) exchange(request holderRequest) (response leaderResponse, err error) {
	to := c.leader
	if to == "" {
		voters := c.service.voter.Voters().Names
		if len(voters) == 0 {
			return response, errNoVoters
		}
		to = voters[c.voter%len(voters)]
	}
	if to == c.service.config.Name {
		return c.service.respond(request), nil
	}
	timeout := c.service.config.Terms.Lease / requestPart
	if request.Final {
		timeout /= finalRequestPart
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

// connect opens a stream to a node, unless there is one.
func (c *leaderClient) connect(to string, timeout time.Duration) error {
	if c.conn != nil && c.connTo == to {
		return nil
	}
	c.hangUp()
	conn, err := c.service.config.Dial(to, HolderChannel, timeout)
	if err != nil {
		return err
	}
	c.conn = conn
	c.connTo = to
	c.in = json.NewDecoder(conn)
	c.out = json.NewEncoder(conn)
	return nil
}

func (c *leaderClient) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
