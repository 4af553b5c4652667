package budget

import (
	"encoding/json"
	"net"

	"olivebridge/internal/fleet/mutant"
)

// ServeHolders answers the requests on a stream of HolderChannel until the stream ends. It also returns if a request
// names a holder other than from, the node at the other end of the stream.
func (s *Service) ServeHolders(conn net.Conn, from string) {
	in := json.NewDecoder(conn)
	out := json.NewEncoder(conn)
	for {
		var request holderRequest
		if err := in.Decode(&request); err != nil {
			return
		}
		if request.Holder != from { // a node may only request for itself
			return
		}
		if err := out.Encode(s.respond(request)); err != nil {
			return
		}
	}
}

// respond handles a holder's request: it grants units if this process is the leader, and rejects the request otherwise.
func (s *Service) respond(request holderRequest) leaderResponse {
	s.mu.Lock()
	ledger := s.ledger
	s.mu.Unlock()
	switch {
	case ledger == nil || !ledger.IsLeader() && !mutant.Active("no-majority"):
		return s.reject(request, rejectedNotLeader)
	case request.Terms != s.termsText():
		return s.reject(request, rejectedOtherTerms)
	}
	term := ledger.Term()
	lent, reserves := s.lend(ledger, term, request.Request)
	// The grants are valid only if this process is still the leader now: then no later leader had started when it made
	// them.
	err := ledger.VerifyLeader()
	if (err != nil || ledger.Term() != term) && !mutant.Active("no-majority") {
		return s.reject(request, rejectedDeposed)
	}
	s.counters.granted.Add(int64(len(lent.Grants)))
	response := leaderResponse{Response: lent}
	if response.Rejection == "" {
		response.Counts = s.grantCounts(ledger, request.Request)
		s.recordGrants(request.Request, response.Response)
	}
	if !request.Final && len(reserves) > 0 {
		response.Seat = s.assignSeat(ledger, request, reserves)
	}
	return response
}

// reject returns the response that rejects a request and names the leader, if it is known.
func (s *Service) reject(request holderRequest, reason Rejection) leaderResponse {
	return leaderResponse{Response: Response{Number: request.Number, Rejection: reason, Leader: s.leaderName()}}
}

// lend passes a request to the Leader of a raft term, which it creates for a new term. It returns the response and a
// seat's parts of the reserves, by quota.
func (s *Service) lend(
	ledger *replicatedLedger, term uint64, request Request,
) (response Response, reserves map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == nil || s.leader.Term() != term {
		s.leader = NewLeader(s.config.Terms, s.config.Quotas, term, s.now())
		s.config.Log.Info("fleet budget", "reason", "keeps-the-book", "term", term)
		s.config.Record.Write("keeps", term)
	}
	reserves = s.config.Terms.seatReserves(s.config.Quotas)
	s.leader.Withhold(ledger.state.excess(reserves))
	return s.leader.Lend(s.now(), request), reserves
}

// assignSeat assigns a seat to a holder's home and returns it; 0: no seat is left, or the command was not committed.
func (s *Service) assignSeat(ledger *replicatedLedger, request holderRequest, reserves map[string]float64) int {
	seat, err := ledger.assignSeat(seatCommand{
		Home:     request.Home,
		Seat:     request.Seat,
		Seats:    s.config.Terms.Seats,
		Reserved: reserves,
	})
	if err != nil {
		return 0
	}
	return seat
}

// grantCounts grants the stocks of counts that a request asks for. It omits requests for another period than the one
// reported by a majority of the voters, and commands that were not committed.
func (s *Service) grantCounts(ledger *replicatedLedger, request Request) map[string]CountGrant {
	grants := map[string]CountGrant{}
	for _, q := range s.quotas() {
		count, requested := request.Counts[q.Name]
		if q.Kind != Count || !requested || !s.isMajorityPeriod(q, count.Period) {
			continue
		}
		grant, err := ledger.grantCount(countCommand{
			Quota:   q.Name,
			Amount:  int64(q.Amount),
			Holder:  holderKey(request.Holder, request.Incarnation),
			Number:  request.Number,
			Request: count,
		})
		if err == nil {
			grants[q.Name] = grant
		}
	}
	return grants
}

// isMajorityPeriod reports whether a period of a count is the one reported by a majority of the voters.
func (s *Service) isMajorityPeriod(q Quota, period int64) bool {
	if mutant.Active("own-clock") {
		return period == periodOf(mutant.WallClock(), q.Period)
	}
	voters := s.voter.Voters().Names
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == nil {
		return false
	}
	current, ok := s.leader.MajorityPeriod(s.now(), q.Name, voters)
	return ok && current == period
}
