package budget

import "time"

// A quota may hold for each of many keys, such as cold servers, that nobody can list beforehand: one grant is lent to
// each process, and holds for each key apart. So what all processes admit for one key is within the quota, and the
// leader has one entry however many keys there are.

const (
	// keyTTL is for how long a key is remembered for which nothing was requested. One that is forgotten begins with an
	// empty bucket again, which is what it may have at least.
	keyTTL = 10 * time.Second
	// maxKeys bounds the keys of one quota: no upstream group has more servers.
	maxKeys = 10000
)

// keyBucket is what a process admits for one key.
type keyBucket struct {
	bucket   Bucket
	demanded float64 // units since the demand was counted
	lastUsed time.Duration
}

// AdmitKey admits some units for one key, or none of them, of a quota that holds for each of many keys.
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
	a.demanded = max(a.demanded, k.demanded) // the grant has to do for the key with the greatest demand
	ok, _ := k.bucket.TakeN(now, units)
	if ok {
		a.admitted++
	} else {
		a.rejected++
	}
	return ok
}

// keyBucket returns the bucket of a key, and makes one for a new key; nil: there are too many keys.
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

// expireKeys begins to count the demand of keys anew, and drops those that were not used for keyTTL.
func (a *allocation) expireKeys(now time.Duration) {
	for key, k := range a.keys {
		k.demanded = 0
		if now-k.lastUsed > keyTTL {
			delete(a.keys, key)
		}
	}
}
