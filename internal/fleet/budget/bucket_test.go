package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever a bucket's rate is set to, it admits no more than the greatest rate and burst would.
func TestBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Bucket
		now, most := time.Duration(0), 50.0
		var passed []time.Duration
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 9).Draw(t, "set") == 0 {
				b.Set(now, float64(rapid.IntRange(0, int(most)).Draw(t, "rate")), rapid.Float64Range(0, 10).Draw(t, "burst"))
			}
			ok, wait := b.Take(now)
			if ok {
				passed = append(passed, now)
			} else if wait > 0 {
				if again, _ := b.Take(now + wait + 1); !again {
					t.Fatalf("told to come back after %v, in vain", wait)
				}
				now += wait + 1
				passed = append(passed, now)
			}
		}
		for i := range passed {
			for j := i; j < len(passed); j++ {
				if n := float64(j - i + 1); n > 10+most*(passed[j]-passed[i]).Seconds()+1e-6 {
					t.Fatalf("%g in %v", n, passed[j]-passed[i])
				}
			}
		}
	})
}
