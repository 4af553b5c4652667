package budget

import "time"

// A quota may apply separately to each of many keys that are not known in advance, such as cold servers. The leader
// lends each process one grant, which applies to each key separately. The units that all processes admit for one key
// therefore stay within the quota, and the leader keeps one entry regardless of the number of keys.

const (
	// keyTTL is the duration for which the bucket of an unused key is kept. A key that is used again later starts with
	// an empty bucket, which never admits more than the kept one would have.
	keyTTL = 10 * time.Second
	// maxKeys is the maximum number of keys per quota: no upstream group has more servers.
	maxKeys = 10000
)

// keyBucket is the token bucket of one key in one process.
type keyBucket struct {
	bucket   Bucket
	demanded float64 // units requested since the last update of the demand
	lastUsed time.Duration
}

// AdmitKey admits the given units for one key, or none of them. The quota must be one that applies to each key
// separately.
func (h *Holder) AdmitKey(now time.Duration, quotaIndex int, key uint64, units float64) bool {
	a := h.allocations[quotaIndex]
	h.updateRate(now, a)
	k := h.keyBucket(now, a, key)
	if k == nil {
		a.rejected++
		return false
	}
	k.lastUsed = now
	k.demanded += units
	a.demanded = max(a.demanded, k.demanded) // the grant must suffice for the key with the highest demand
	ok, _ := k.bucket.TakeN(now, units)
	if ok {
		a.admitted++
	} else {
		a.rejected++
	}
	return ok
}

// keyBucket returns the bucket of a key, and creates it for a new key. It returns nil if there are maxKeys keys
// already.
func (h *Holder) keyBucket(now time.Duration, a *allocation, key uint64) *keyBucket {
	if k := a.keys[key]; k != nil {
		return k
	}
	if len(a.keys) >= maxKeys {
		return nil
	}
	if a.keys == nil {
		a.keys = map[uint64]*keyBucket{}
	}
	k := &keyBucket{}
	k.bucket.Set(now, a.rate, h.burst(now, a))
	k.bucket.units = 0
	a.keys[key] = k
	return k
}

// expireKeys resets the demand of all keys, and drops the keys that were not used for keyTTL.
func (a *allocation) expireKeys(now time.Duration) {
	for key, k := range a.keys {
		k.demanded = 0
		if now-k.lastUsed > keyTTL {
			delete(a.keys, key)
		}
	}
}
