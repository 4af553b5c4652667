package main

import (
	"fmt"
	"os"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/fleet/budget"
	"olivebridge/internal/fleet/fleetfile"
	"olivebridge/internal/fleet/member"
	"olivebridge/internal/fleet/raftlog"
	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

// noQuota is used in place of a quota's position if there is no quota.
const noQuota = -1

// inUseMargin is the time for which a request may be in use at a server after its client's deadline.
const inUseMargin = 2 * time.Second

// quotaAdmission admits requests and attempts according to the fleet's quotas. It implements routing.AdmissionControl.
type quotaAdmission struct {
	service   *budget.Service
	tenants   []int // the position of each tenant's quota, or noQuota
	retries   int   // the position of the quota for retries, or noQuota
	slowStart int   // the position of the quota for servers in slow start, or noQuota
}

var _ routing.AdmissionControl = (*quotaAdmission)(nil)

// addQuotas creates the service that enforces the fleet's quotas.
func (f *fleetNode) addQuotas(c *protocol.Config, m *member.Config) error {
	q, err := newQuotaAdmission(c, f.file.Budgets)
	if err != nil {
		return err
	}
	book := f.file.Book
	q.service = budget.New(budget.Config{
		Name:      c.Name,
		Directory: m.Directory,
		Log:       m.Log,
		Record:    m.Record,
		Voters:    raftlog.VoterSet{Edition: book.Edition, Names: book.Voters},
		Terms:     budget.Terms{Lease: book.LeaseTime, Reserve: book.Reserve, Seats: book.Seats},
		Quotas:    newQuotas(f.file.Budgets, c.LongestDeadline),
		Dial:      f.dial,
	})
	f.quotas = q
	addService(m, func(i member.Incarnation) { q.service.Start(i.Home, i.Number) }, q.service.Stop)
	addChannel(m, budget.VotersChannel, q.service.ServeVoters)
	addChannel(m, budget.HolderChannel, q.service.ServeHolders)
	return nil
}

// newQuotaAdmission maps tenants and uses to the positions of their quotas. It returns an error for a tenant that the
// configuration lacks.
func newQuotaAdmission(c *protocol.Config, budgets []fleetfile.Budget) (*quotaAdmission, error) {
	q := &quotaAdmission{retries: noQuota, slowStart: noQuota}
	for range c.NameIndex.Tenants {
		q.tenants = append(q.tenants, noQuota)
	}
	for position, b := range budgets {
		switch b.Use {
		case fleetfile.Retries:
			q.retries = position
		case fleetfile.ColdPeers:
			q.slowStart = position
		default:
			tenant, known := c.NameIndex.Tenants[b.Tenant]
			if !known {
				return nil, fmt.Errorf("fleet file %s: budget %q is for tenant %q, which the configuration does not know",
					os.Getenv(protocol.EnvFleet), b.Name, b.Tenant)
			}
			q.tenants[tenant] = position
		}
	}
	return q, nil
}

// newQuotas converts budgets of the fleet file to quotas.
func newQuotas(budgets []fleetfile.Budget, longestDeadline time.Duration) []budget.Quota {
	var quotas []budget.Quota
	for _, b := range budgets {
		quotas = append(quotas, newQuota(b, longestDeadline))
	}
	return quotas
}

// newQuota converts a budget of the fleet file to a quota. A request of an in-use quota is held for at most
// longestDeadline plus inUseMargin.
func newQuota(b fleetfile.Budget, longestDeadline time.Duration) budget.Quota {
	quota := budget.Quota{Name: b.Name, Kind: budget.Kind(b.Kind), Amount: b.Rate, Burst: b.Burst}
	switch quota.Kind {
	case budget.InUse:
		quota.Amount = float64(b.Most)
		quota.Hold = longestDeadline + inUseMargin
	case budget.Count:
		quota.Amount = float64(b.Count)
		quota.Period = b.PeriodTime
	}
	return quota
}

// quotaOfTenant returns the position of a tenant's quota. It returns noQuota for a request without a tenant and for a
// tenant without a quota.
func (q *quotaAdmission) quotaOfTenant(tenant int) int {
	if tenant < 0 {
		return noQuota
	}
	return q.tenants[tenant]
}

// Admit implements routing.AdmissionControl.
func (q *quotaAdmission) Admit(tenant int) (ok bool, retryAfter time.Duration) {
	quota := q.quotaOfTenant(tenant)
	if quota == noQuota {
		return true, 0
	}
	return q.service.Admit(quota)
}

// AdmitRetry implements routing.AdmissionControl.
func (q *quotaAdmission) AdmitRetry() bool {
	if q.retries == noQuota {
		return true
	}
	ok, _ := q.service.Admit(q.retries)
	return ok
}

// AdmitWarmUp implements routing.AdmissionControl.
func (q *quotaAdmission) AdmitWarmUp(server balancer.ServerID, units float64) bool {
	return q.slowStart == noQuota || q.service.AdmitKey(q.slowStart, uint64(server), units)
}

// Release implements routing.AdmissionControl.
func (q *quotaAdmission) Release(tenant int) {
	if quota := q.quotaOfTenant(tenant); quota != noQuota {
		q.service.Release(quota)
	}
}
