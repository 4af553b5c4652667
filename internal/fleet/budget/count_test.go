package budget

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"time"

	"pgregory.net/rapid"

	"olivebridge/internal/fleet/raftlog"
)

// No more units than the quota are admitted in a period, although requests reach the ledger late, repeatedly and out of
// order, holders restart and lose their stocks, and the ledger is restored from snapshots.
func TestCountStaysWithinQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const amount, period = 40, time.Hour
		l := newLedger()
		quotas := []Quota{{Name: "c", Kind: Count, Amount: amount, Period: period}}
		wall := time.Unix(0, 0)
		admitted := map[int64]int{}
		holders, incarnations := make([]*Holder, 3), 0
		restart := func(i int) {
			incarnations++
			holders[i] = NewHolder(Terms{Lease: 2 * second}, quotas, fmt.Sprint("n", i), fmt.Sprint(incarnations), 0)
		}
		var requests []Request
		now := time.Duration(0)
		for i := range holders {
			restart(i)
		}
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			d := time.Duration(rapid.IntRange(0, 400000).Draw(t, "ms")) * time.Millisecond
			now, wall = now+d, wall.Add(d)
			i := rapid.IntRange(0, 2).Draw(t, "holder")
			h := holders[i]
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0:
				restart(i)
			case 1, 2:
				for range rapid.IntRange(0, 30).Draw(t, "demand") {
					if ok, _ := h.Admit(now, wall, 0); ok {
						admitted[periodOf(wall, period)]++
					}
				}
			case 3, 4:
				requests = append(requests, h.NextRequest(now, wall))
			case 5:
				if len(requests) == 0 {
					continue
				}
				r := requests[rapid.IntRange(0, len(requests)-1).Draw(t, "request")]
				grants := map[string]CountGrant{}
				if count, ok := r.Counts["c"]; ok {
					grants["c"] = l.Counts.apply(countCommand{"c", amount, r.Holder + " " + r.Incarnation, r.Number, count})
				}
				for _, h := range holders {
					if h.name == r.Holder && h.incarnation == r.Incarnation {
						h.Accept(now, Response{Number: r.Number, Counts: grants})
					}
				}
			case 6:
				snapshot, err := l.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				l = newLedger()
				if err := l.Restore(io.NopCloser(bytes.NewReader(snapshot.(raftlog.Snapshot)))); err != nil {
					t.Fatal(err)
				}
			}
			for p, n := range admitted {
				if n > amount {
					t.Fatalf("%d units of a quota of %d were admitted in period %d", n, amount, p)
				}
			}
		}
	})
}

// All units of a count can be used, including the last ones, and the wait after that is at most a period.
func TestCountIsUsedUp(t *testing.T) {
	l := newLedger()
	quotas := []Quota{{Name: "c", Kind: Count, Amount: 50, Period: time.Hour}}
	wall, now, admitted := time.Unix(3600, 0), time.Duration(0), 0
	exchange := func(h *Holder, r Request) {
		grants := map[string]CountGrant{}
		for name, c := range r.Counts {
			grants[name] = l.Counts.apply(countCommand{name, 50, r.Holder, r.Number, c})
		}
		h.Accept(now, Response{Number: r.Number, Counts: grants})
	}
	terms := Terms{Lease: 2 * second}
	a := NewHolder(terms, quotas, "a", "1", 0)
	b := NewHolder(terms, quotas, "b", "1", 0)
	for range 400 {
		now, wall = now+second/4, wall.Add(second/4)
		for _, h := range []*Holder{a, b} {
			if ok, _ := h.Admit(now, wall, 0); ok {
				admitted++
			}
			exchange(h, h.NextRequest(now, wall))
		}
	}
	if admitted != 50 {
		t.Errorf("%d units were admitted, want 50", admitted)
	}
	if _, wait := a.Admit(now, wall, 0); wait <= 0 || wait > time.Hour {
		t.Errorf("Admit returned the wait %v after the count was used up, want 0 to 1h", wait)
	}
}
