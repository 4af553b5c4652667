package budget

import "time"

const (
	// demandRiseTime and demandFallTime are the averaging times for rising and for falling demand. Rising demand is
	// followed faster, because requests rejected for lack of a grant are lost, whereas a grant that is too large is only
	// idle for a moment. A demand of some tens of units per second varies by a fifth within demandRiseTime.
	demandRiseTime = 500 * time.Millisecond
	demandFallTime = 2 * time.Second
	// demandInterval is the minimum time between two updates of the average demand.
	demandInterval = 50 * time.Millisecond
	// peakDecay is the factor by which the peak decreases from one request to the leader to the next.
	peakDecay = 0.8
)

// allocation is the state of one quota in a Holder: the units available to the process and its demand.
type allocation struct {
	quota     Quota
	reserve   float64       // the process's part of the reserve; 0: the node has no seat, or the quota has no reserve
	grant     Grant         // the latest grant received
	grantEnds time.Duration // when grant expires, by this process's clock
	stock     stock         // for the kind Count

	bucket Bucket
	rate   float64               // current rate of bucket, in units per second
	keys   map[uint64]*keyBucket // see Holder.AdmitKey
	inUse  int                   // for the kind InUse: units in use

	demanded         float64       // units requested since demandSince
	demandSince      time.Duration // when demand was last updated
	demand           float64       // average demand, in units per second
	peak             float64       // for the kind InUse: recent maximum of concurrently demanded units, see peakInUse
	admitted         uint64        // units admitted
	rejected         uint64        // units rejected
	reportedRejected uint64        // value of rejected when peak was last updated
}

// available returns the amount that the process may use now: its part of the reserve, plus the grant until it expires.
func (a *allocation) available(now time.Duration) float64 {
	if now < a.grantEnds {
		return a.reserve + a.grant.Amount
	}
	return a.reserve
}

// inUseLimit returns the number of units that may be in use now, for the kind InUse.
func (a *allocation) inUseLimit(now time.Duration) int { return int(a.available(now)) }

// admitInUse admits one unit of the kind InUse unless the limit is reached, and reports whether it did.
func (a *allocation) admitInUse(now time.Duration) bool {
	if a.inUse >= a.inUseLimit(now) {
		return false
	}
	a.inUse++
	return true
}

// updateDemand updates the average demand. It does nothing if the last update is less than demandInterval ago.
func (a *allocation) updateDemand(now time.Duration) {
	elapsed := now - a.demandSince
	if elapsed < demandInterval {
		return
	}
	rate := a.demanded / elapsed.Seconds()
	averagingTime := demandFallTime
	if rate > a.demand {
		averagingTime = demandRiseTime
	}
	a.demand += (rate - a.demand) * min(elapsed.Seconds()/averagingTime.Seconds(), 1)
	a.demanded = 0
	a.demandSince = now
	a.expireKeys(now)
}

// peakInUse updates and returns the decaying maximum of the units in use plus those rejected since the last call: the
// demand to report for the kind InUse.
func (a *allocation) peakInUse() float64 {
	rejected := float64(a.rejected - a.reportedRejected)
	a.reportedRejected = a.rejected
	a.peak = max(a.peak*peakDecay, float64(a.inUse)+rejected)
	return a.peak
}
