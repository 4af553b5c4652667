package balancer

// initialQuotaTokens is what a tenant may send at the start, in requests.
const initialQuotaTokens = 1

// tenant is a tenant and what is left of its quota at this node.
type tenant struct {
	Tenant
	tokens     float64 // requests within the quota
	refilledAt Time
	standing
}

func newTenant(t Tenant, now Time) tenant {
	return tenant{Tenant: t, tokens: initialQuotaTokens, refilledAt: now, standing: newStanding()}
}

// chargeQuota counts a request against this node's part of its tenant's quota, and
// reports whether it is beyond it. The part may be well below one request a
// second: it is saved up for a second, or up to one request.
func (b *Balancer) chargeQuota(t *tenant) bool {
	if t == nil || t.Quota <= 0 {
		return false
	}
	rate := t.Quota / float64(b.settings.Nodes)
	t.tokens = min(t.tokens+rate*b.secondsSince(t.refilledAt), max(rate, 1))
	t.refilledAt = b.now
	if t.tokens < 1 {
		return true
	}
	t.tokens--
	return false
}
