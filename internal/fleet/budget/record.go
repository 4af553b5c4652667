package budget

import (
	"time"

	"olivebridge/internal/fleet/record"
)

// GrantRecord is the line that the leader writes to the record for a grant.
type GrantRecord struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"life"`
	Grant       uint64 `json:"grant"`
	Until       int64  `json:"until"` // when the leader counts the grant as expired, in the time format of record.Line
}

// recordGrants records the grants in a response.
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

// CountRecord is the line that a holder writes to the record for a request for a stock of a count.
type CountRecord struct {
	Quota    string       `json:"budget"`
	Began    int64        `json:"began"` // when the request was created, in the time format of record.Line
	Request  CountRequest `json:"ask"`
	Granted  CountGrant   `json:"got"`
	Answered bool         `json:"known"` // a response with a grant was received, even if the grant has no units
}

// recordCounts records the count requests of a request and their grants. The lab compares them with a model of the
// ledger.
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

// recordHoldings records the amounts that this process may use now. The caller holds mu.
func (s *Service) recordHoldings() {
	if s.config.Record == nil {
		return
	}
	var holdings []Holding
	if s.holder != nil {
		monotonic := record.Now() // before s.now(): a pause in between cannot make a grant seem to end later
		holdings = s.holder.Holdings(s.now())
		for i := range holdings {
			holdings[i].Ends = int64(monotonic + holdings[i].Left)
		}
	}
	s.config.Record.Write("holds", holdings)
}
