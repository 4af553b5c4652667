package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A bucket whose rate and burst change at random admits no more in any interval than a bucket with the maximum rate and
// burst would, and a retry after the returned wait succeeds.
func TestBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Bucket
		now, maxRate := time.Duration(0), 50.0
		var admitted []time.Duration
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 9).Draw(t, "set") == 0 {
				b.Set(now, float64(rapid.IntRange(0, int(maxRate)).Draw(t, "rate")), rapid.Float64Range(0, 10).Draw(t, "burst"))
			}
			ok, wait := b.Take(now)
			if ok {
				admitted = append(admitted, now)
			} else if wait > 0 {
				if retried, _ := b.Take(now + wait + 1); !retried {
					t.Fatalf("Take returned the wait %v, but a retry after it was rejected", wait)
				}
				now += wait + 1
				admitted = append(admitted, now)
			}
		}
		for i := range admitted {
			for j := i; j < len(admitted); j++ {
				if n := float64(j - i + 1); n > 10+maxRate*(admitted[j]-admitted[i]).Seconds()+1e-6 {
					t.Fatalf("%g units were admitted in %v, which exceeds the maximum rate and burst", n, admitted[j]-admitted[i])
				}
			}
		}
	})
}
