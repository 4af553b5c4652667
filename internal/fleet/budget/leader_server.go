package budget

import (
	"encoding/json"
	"net"

	"olivebridge/internal/fleet/mutant"
)

// ServeHolders serves a stream of HolderChannel: it answers the requests of one holder until the stream ends.
func (s *Service) ServeHolders(conn net.Conn, from string) {
	in := json.NewDecoder(conn)
	out := json.NewEncoder(conn)
	for {
		var request holderRequest
		if err := in.Decode(&request); err != nil {
			return
		}
		if request.Holder != from { // the stream says who requests
			return
		}
		if err := out.Encode(s.respond(request)); err != nil {
			return
		}
	}
}

// respond answers a holder, if this process is the leader.
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
	// What was decided holds only if this process was in office after it: no later leader has begun by then.
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

func (s *Service) reject(request holderRequest, why Rejection) leaderResponse {
	return leaderResponse{Response: Response{Number: request.Number, Rejection: why, Leader: s.leaderName()}}
}

// lend has the leader of a term lend, and returns what a seat has of the reserve.
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

// assignSeat returns the seat of a holder's home; 0: there is none left, or the voters did not agree.
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

// grantCounts grants stocks of counts, of the period that most voters are in.
func (s *Service) grantCounts(ledger *replicatedLedger, request Request) map[string]CountGrant {
	grants := map[string]CountGrant{}
	for _, q := range s.quotas() {
		count, requested := request.Counts[q.Name]
		if q.Kind != Count || !requested || !s.inPeriod(q, count.Period) {
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

// inPeriod reports whether a count's period is that of most voters.
func (s *Service) inPeriod(q Quota, period int64) bool {
	if mutant.Active("own-clock") {
		return period == periodOf(mutant.WallClock(), q.Period)
	}
	voters := s.voter.Voters().Names
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == nil {
		return false
	}
	current, ok := s.leader.Period(s.now(), q.Name, voters)
	return ok && current == period
}
