package balancer

// Keys stay in this node's zone where crossing zones costs more than the imbalance
// of a zone with few servers. As many stay as the zone still carries after the loss
// of one server.
const (
	// zoneKeyMargin is applied to the zone's part of the fleet.
	zoneKeyMargin = 1.2
	// minZoneBenefit is the least benefit of locality, as the cost of crossing
	// for each of the zone's servers.
	minZoneBenefit = 0.1
)

// zoneKeyShare is the share of keys that stay in this node's zone; 0: locality
// does not matter.
func (b *Balancer) zoneKeyShare() float64 {
	if b.settings.Zones <= 1 {
		return 0
	}
	weight, members := 0.0, 0.0
	for _, s := range b.servers {
		if s.Zone == b.settings.Zone && s.entry.weight > 0 {
			weight += float64(s.entry.weight)
			members++
		}
	}
	if members <= 1 || members*b.settings.CrossZoneCost < minZoneBenefit {
		return 0
	}
	zoneShare := weight / b.tables.totalWeight * float64(min(b.settings.Zones, b.settings.Nodes))
	withoutOne := (members - 1) / members
	return zoneKeyMargin * min(zoneShare, withoutOne)
}

// staysInZone reports whether the key of a request is one of those that stay in
// the zone. Retries may leave it.
func (b *Balancer) staysInZone(r *request, hash uint64) bool {
	const hashBits = 24 // the highest of the hash, as a fraction
	return r.attemptCount == 0 && float64(hash>>(64-hashBits))/(1<<hashBits) < b.tables.zoneKeyShare
}
