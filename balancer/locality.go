package balancer

// Keys stay in this node's zone if crossing zones costs more than the load imbalance of a zone with
// few servers. The share of keys that stay is limited to the load that the zone can still carry
// after the loss of one server.
const (
	// zoneKeyMargin is a factor applied to the share of keys that the zone carries.
	zoneKeyMargin = 1.2
	// minZoneBenefit is the minimum of CrossZoneCost times the number of servers in the zone. Below
	// it, locality has no effect.
	minZoneBenefit = 0.1
)

// zoneKeyShare returns the share of keys that stay in this node's zone; 0 means that locality has
// no effect.
func (b *Balancer) zoneKeyShare() float64 {
	if b.settings.Zones <= 1 {
		return 0
	}
	weight, members := 0.0, 0.0
	for _, s := range b.servers {
		if s.Zone == b.settings.Zone && s.table.weight > 0 {
			weight += float64(s.table.weight)
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

// staysInZone reports whether the first attempt of a request stays in the zone because of its key.
// Retries may leave the zone.
func (b *Balancer) staysInZone(r *request, hash uint64) bool {
	const hashBits = 24 // number of the highest hash bits that form the fraction
	return r.attemptCount == 0 && float64(hash>>(64-hashBits))/(1<<hashBits) < b.tables.zoneKeyShare
}
