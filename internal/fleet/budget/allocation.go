package budget

import "time"

const (
	// demandRiseTime and demandFallTime are the times over which demand is averaged where it rises and where it falls:
	// what is rejected for want of a grant is lost, while a grant that is too large is idle for a moment. A demand of
	// some tens of units a second varies by a fifth within demandRiseTime.
	demandRiseTime = 500 * time.Millisecond
	demandFallTime = 2 * time.Second
	// demandInterval is the least time over which demand is counted.
	demandInterval = 50 * time.Millisecond
	// peakDecay is what is left of the peak from one request to the next.
	peakDecay = 0.8
)

// allocation is what a process holds of one quota.
type allocation struct {
	quota     Quota
	reserve   float64       // its part of the reserve; 0: it has no seat, or the quota no reserve
	grant     Grant         // the last one
	grantEnds time.Duration // by this process's clock
	stock     stock         // of Count

	bucket Bucket
	rate   float64               // that the bucket has now
	keys   map[uint64]*keyBucket // see Holder.AdmitKey
	inUse  int                   // of InUse: units

	demanded         float64       // units since demandSince
	demandSince      time.Duration // when demand was counted last
	demand           float64       // average, in units a second
	peak             float64       // of InUse: units that were wanted at one time, of late
	admitted         uint64        // units
	rejected         uint64        // units
	reportedRejected uint64        // of rejected, those that peak has counted
}

// available is what may be used now: the reserve, and the grant until its end.
func (a *allocation) available(now time.Duration) float64 {
	if now < a.grantEnds {
		return a.reserve + a.grant.Amount
	}
	return a.reserve
}

// inUseLimit is how many units may be in use now.
func (a *allocation) inUseLimit(now time.Duration) int { return int(a.available(now)) }

// admitInUse takes a unit into use, if there is one.
func (a *allocation) admitInUse(now time.Duration) bool {
	if a.inUse >= a.inUseLimit(now) {
		return false
	}
	a.inUse++
	return true
}

// updateDemand brings the average demand up to now.
func (a *allocation) updateDemand(now time.Duration) {
	elapsed := now - a.demandSince
	if elapsed < demandInterval {
		return
	}
	rate := a.demanded / elapsed.Seconds()
	over := demandFallTime
	if rate > a.demand {
		over = demandRiseTime
	}
	a.demand += (rate - a.demand) * min(elapsed.Seconds()/over.Seconds(), 1)
	a.demanded = 0
	a.demandSince = now
	a.expireKeys(now)
}

// peakInUse is how many units would be in use if none had been rejected of late.
func (a *allocation) peakInUse() float64 {
	rejected := float64(a.rejected - a.reportedRejected)
	a.reportedRejected = a.rejected
	a.peak = max(a.peak*peakDecay, float64(a.inUse)+rejected)
	return a.peak
}
