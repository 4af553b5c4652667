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

// Whatever is requested, twice, late or in any order, and whoever fails with a stock: no more than the quota is
// admitted in a period, and a ledger that was restored from a snapshot goes on where it stood.
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
			i := rapid.IntRange(0, 2).Draw(t, "who")
			h := holders[i]
			switch rapid.IntRange(0, 6).Draw(t, "what") {
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
				a := requests[rapid.IntRange(0, len(requests)-1).Draw(t, "ask")]
				out := map[string]CountGrant{}
				if ask, ok := a.Counts["c"]; ok {
					out["c"] = l.Counts.apply(countCommand{"c", amount, a.Holder + " " + a.Incarnation, a.Number, ask})
				}
				for _, h := range holders {
					if h.name == a.Holder && h.incarnation == a.Incarnation {
						h.Accept(now, Response{Number: a.Number, Counts: out})
					}
				}
			case 6:
				snap, err := l.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				l = newLedger()
				if err := l.Restore(io.NopCloser(bytes.NewReader(snap.(raftlog.Snapshot)))); err != nil {
					t.Fatal(err)
				}
			}
			for p, n := range admitted {
				if n > amount {
					t.Fatalf("%d of %d in period %d", n, amount, p)
				}
			}
		}
	})
}

// All of a count is used, down to the last unit.
func TestCountIsUsedUp(t *testing.T) {
	l := newLedger()
	quotas := []Quota{{Name: "c", Kind: Count, Amount: 50, Period: time.Hour}}
	wall, now, admitted := time.Unix(3600, 0), time.Duration(0), 0
	ask := func(h *Holder, a Request) {
		out := map[string]CountGrant{}
		for name, c := range a.Counts {
			out[name] = l.Counts.apply(countCommand{name, 50, a.Holder, a.Number, c})
		}
		h.Accept(now, Response{Number: a.Number, Counts: out})
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
			ask(h, h.NextRequest(now, wall))
		}
	}
	if admitted != 50 {
		t.Errorf("%d of 50 were used", admitted)
	}
	if _, wait := a.Admit(now, wall, 0); wait <= 0 || wait > time.Hour {
		t.Errorf("it has to come back after %v", wait)
	}
}
