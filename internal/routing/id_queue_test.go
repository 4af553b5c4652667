package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestIDQueue compares a queue that grows, shrinks and empties with a slice.
func TestIDQueue(t *testing.T) {
	q := newIDQueue()
	var want []string
	for n := range 5000 {
		id := fmt.Sprint("call-", n)
		q.push(endedCall{id, time.Unix(int64(n), 0)})
		want = append(want, id)
		for remove := n%1700/800 + n%2; remove > 0 && len(want) > 0; remove-- {
			if got := q.pop(); got.clientRequestID != want[0] || q.contains(want[0]) {
				t.Fatalf("after %d: removed %q, want %q, which is gone then", n, got.clientRequestID, want[0])
			}
			want = want[1:]
		}
		if len(want) > 0 && (!q.contains(want[0]) || !q.contains(want[len(want)-1])) || q.contains("call--1") {
			t.Fatalf("after %d: the oldest or the newest id is missing, or there is one too many", n)
		}
		if n%97 == 0 {
			var got []string
			for call := range q.all {
				got = append(got, call.clientRequestID)
			}
			if !slices.Equal(got, want) || q.count != len(want) {
				t.Fatalf("after %d: %d ids of %d, want %d in their order", n, len(got), q.count, len(want))
			}
		}
	}
}

// TestIDQueueAllocatesEvenly guards against a table that is copied while it grows: its cost per id varied with their
// number, which made the check of the request path fail at times.
func TestIDQueueAllocatesEvenly(t *testing.T) {
	ids := make([]string, 200*idBlockSize)
	for n := range ids {
		ids[n] = fmt.Sprint("call-", n)
	}
	var q idQueue
	allocations := testing.AllocsPerRun(1, func() {
		q = newIDQueue()
		for _, id := range ids {
			q.push(endedCall{clientRequestID: id})
		}
	})
	doublings := 0
	for buckets := minIDBuckets; buckets < len(q.buckets); buckets *= 2 {
		doublings++
	}
	if most := float64(len(ids)/idBlockSize + doublings + 1); allocations > most {
		t.Errorf("%v allocations for %d ids, want at most %v", allocations, len(ids), most)
	}
}
