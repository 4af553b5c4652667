package budget

import (
	"time"

	"olivebridge/internal/fleet/record"
)

// GrantRecord is a grant in the record of the leader.
type GrantRecord struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"life"`
	Grant       uint64 `json:"grant"`
	Until       int64  `json:"until"` // when the leader counts it as ended, as record.Line has times
}

// recordGrants records what was lent.
func (s *Service) recordGrants(request Request, response Response) {
	if s.config.Record == nil {
		return
	}
	for _, q := range s.quotas() {
		grant, granted := response.Grants[q.Name]
		if !granted {
			continue
		}
		ends := record.Now() + s.config.Terms.leaderLease() + q.Hold
		s.config.Record.Write("lends", GrantRecord{
			Holder:      request.Holder,
			Incarnation: request.Incarnation,
			Grant:       grant.Number,
			Until:       int64(ends),
		})
	}
}

// CountRecord is a request for a stock of a count, in the record of its holder.
type CountRecord struct {
	Quota    string       `json:"budget"`
	Began    int64        `json:"began"` // as record.Line has times
	Request  CountRequest `json:"ask"`
	Granted  CountGrant   `json:"got"`
	Answered bool         `json:"known"` // a response came, whether or not it granted something
}

// recordCounts records requests for stocks, for whoever checks the ledger against a model.
func (s *Service) recordCounts(request holderRequest, response leaderResponse, began time.Duration, err error) {
	if s.config.Record == nil {
		return
	}
	for name, count := range request.Counts {
		granted, answered := response.Counts[name]
		s.config.Record.Write("counted", CountRecord{
			Quota:    name,
			Began:    int64(began),
			Request:  count,
			Granted:  granted,
			Answered: err == nil && answered,
		})
	}
}

// recordHoldings records what this process may use now. It is called with mu held.
func (s *Service) recordHoldings() {
	if s.config.Record == nil {
		return
	}
	var holdings []Holding
	if s.holder != nil {
		monotonic := record.Now() // before the other clock: a pause between the two must not make an end seem later
		holdings = s.holder.Holdings(s.now())
		for i := range holdings {
			holdings[i].Ends = int64(monotonic + holdings[i].Left)
		}
	}
	s.config.Record.Write("holds", holdings)
}
