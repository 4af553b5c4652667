package balancer

// initialQuotaTokens is the number of requests within its quota that a tenant has at the start.
const initialQuotaTokens = 1

// tenant holds the settings of a tenant and the state of its quota on this node.
type tenant struct {
	Tenant
	tokens     float64 // number of requests left in the quota
	refilledAt Time
	waitComparison
}

func newTenant(t Tenant, now Time) tenant {
	return tenant{Tenant: t, tokens: initialQuotaTokens, refilledAt: now, waitComparison: newWaitComparison()}
}

// chargeQuota charges a request to this node's part of its tenant's quota and reports whether the
// request exceeds it. Unused quota accumulates for one second or up to one request, whichever is
// more, because the node's part may be far below one request per second.
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
