package balancer

// overQuotaLimitShare is the maximum share of a server's concurrency limit for a request beyond its
// tenant's quota.
const overQuotaLimitShare = 1 - limitReserve

// HandleRequest handles a client's new request: it sends the request to a server, queues it until
// there is capacity or answers it at once. It fails a request with an unknown class or with the ID
// of a request that has not ended.
func (b *Balancer) HandleRequest(now Time, in Request) {
	b.now = now
	if in.Class < 0 || in.Class >= len(b.classes) || b.requests[in.ID] != nil {
		b.host.Fail(in.ID)
		return
	}
	r := b.newRequest(in)
	b.requests[r.id] = r
	b.refillBudgets()
	b.sheddingPressure = b.currentSheddingPressure()
	if s := b.underservedServer(r); s != nil && b.now < r.deadline {
		b.send(r, s)
		return
	}
	if b.shouldShed(r) {
		b.giveUp(r)
		return
	}
	b.dispatch(r)
}

// newRequest returns the state of a new request and charges the request to its tenant's quota.
func (b *Balancer) newRequest(in Request) *request {
	c := &b.classes[in.Class]
	r := &request{
		id:            in.ID,
		class:         c,
		admittedClass: c.Class,
		affinityKey:   in.AffinityKey,
		arrivedAt:     b.now,
		deadline:      b.now + Time(in.Timeout),
		expectedWork:  c.meanLatency,
		limitShare:    c.limitShare,
		draw:          b.random.float(),
		streamsBody:   in.StreamsBody,
	}
	if in.Tenant >= 0 && in.Tenant < len(b.tenants) {
		r.tenant = &b.tenants[in.Tenant]
	}
	if in.ExpectedWork > 0 {
		r.expectedWork = in.ExpectedWork.Seconds()
	}
	if b.chargeQuota(r.tenant) {
		r.limitShare = min(r.limitShare, overQuotaLimitShare)
	}
	return r
}

// refillBudgets adds the tokens for one request to the budgets of retries, hedged requests and
// health checks.
func (b *Balancer) refillBudgets() {
	b.retryTokens = min(b.retryTokens+retryTokensPerRequest, maxRetryTokens)
	b.hedgeTokens = min(b.hedgeTokens+hedgesPerOvertaken*b.overtakenShare, maxHedgeTokens)
	checks := min(checksPerRequest, checkCostPerRequest/max(b.settings.HealthCheckCost, minSum))
	b.checkTokens = min(b.checkTokens+checks, maxCheckTokens)
}
