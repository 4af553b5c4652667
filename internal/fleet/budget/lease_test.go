package budget

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Without faults, the leader lends the whole lendable amount, gives a new holder its part within two requests, lends
// the part of a failed holder again after its lease, and lends nothing to a holder that returned its grants.
func TestGrantsWithoutFaults(t *testing.T) {
	terms := Terms{Lease: 2 * second, Reserve: 0.04, Seats: 4}
	quotas := []Quota{{Name: "a", Kind: Rate, Amount: 100, Burst: 20}}
	leader := NewLeader(terms, quotas, 1, 0)
	names := []string{"n1", "n2", "n3"}
	holders := map[string]*Holder{}
	for _, n := range names {
		holders[n] = NewHolder(terms, quotas, n, "1", 0)
	}
	now := time.Duration(0)
	run := func(d time.Duration) {
		for end := now + d; now < end; now += second / 4 {
			for _, n := range names {
				if h := holders[n]; h != nil {
					for range 30 {
						h.Admit(now, time.Time{}, 0)
					}
					h.Accept(now, leader.Lend(now, h.NextRequest(now, time.Time{})))
				}
			}
		}
	}
	sum := func() (sum float64) {
		for _, h := range holders {
			if h != nil {
				sum += h.Holdings(now)[0].Amount
			}
		}
		return sum
	}
	run(second)
	if sum() != 0 {
		t.Error("a new leader granted units in its first second")
	}
	run(3 * second)
	if got := sum(); math.Abs(got-96) > 1e-6 {
		t.Errorf("%g units are lent, want 96", got)
	}
	names, holders["n4"] = append(names, "n4"), NewHolder(terms, quotas, "n4", "1", now)
	run(second)
	if got := holders["n4"].Holdings(now)[0].Amount; math.Abs(got-24) > 3 {
		t.Errorf("the new holder has %g units, want 24 within 3", got)
	}
	holders["n4"] = nil
	run(3 * second)
	if got := sum(); math.Abs(got-96) > 1e-6 {
		t.Errorf("after the failure of a holder, %g units are lent, want 96", got)
	}
	final := holders["n1"].NextRequest(now, time.Time{})
	final.Final = true
	leader.Lend(now, final)
	if shares := leader.Shares(now, "a"); shares[0].Lent != 0 {
		t.Errorf("a returned grant still counts as lent: %v", shares)
	}
}

// The lease of a grant starts when its request was created, however late the response arrives. A duplicate response and
// one with an earlier grant than the current one change nothing.
func TestLeaseCountsFromRequest(t *testing.T) {
	terms := Terms{Lease: 2 * second, Seats: 1}
	h := NewHolder(terms, []Quota{{Name: "a", Kind: Rate, Amount: 100, Burst: 20}}, "n1", "1", 0)
	first, next := h.NextRequest(second, time.Time{}), h.NextRequest(2*second, time.Time{})
	respond := func(r Request, grant uint64) Response {
		return Response{Number: r.Number, Lease: 2 * second, Grants: map[string]Grant{"a": {grant, 50}}}
	}
	if !h.Accept(2500*time.Millisecond, respond(first, 1)) {
		t.Error("Accept ignored a response that arrived late, but within the lease")
	}
	for at, amount := range map[time.Duration]float64{2900 * time.Millisecond: 50, 3 * second: 0} {
		if got := h.Holdings(at)[0].Amount; got != amount {
			t.Errorf("at %v the holder has a grant of %g units, which is wrong for a lease from its request", at, got)
		}
	}
	if h.Accept(2600*time.Millisecond, respond(first, 1)) {
		t.Error("Accept accepted the same response twice")
	}
	h.Accept(3*second, respond(next, 7))
	if got := h.Holdings(3900 * time.Millisecond)[0].Grant; got != 7 {
		t.Errorf("the holder has grant %d, want 7", got)
	}
	last := h.NextRequest(3500*time.Millisecond, time.Time{})
	if h.Accept(3600*time.Millisecond, respond(last, 5)); h.Holdings(3700 * time.Millisecond)[0].Grant != 7 {
		t.Error("an earlier grant replaced a later one")
	}
	if h.Accept(3600*time.Millisecond, Response{Number: 99}) {
		t.Error("Accept accepted a response without a matching request")
	}
}

func BenchmarkAdmit(b *testing.B) {
	quotas := []Quota{{Name: "a", Kind: Rate, Amount: 1e9, Burst: 1e9}}
	h := NewHolder(Terms{Lease: time.Hour, Seats: 1}, quotas, "n1", "1", 0)
	number := h.NextRequest(0, time.Time{}).Number
	h.Accept(0, Response{Number: number, Lease: time.Hour, Grants: map[string]Grant{"a": {1, 1e9}}})
	b.ReportAllocs()
	now := time.Duration(0)
	for b.Loop() {
		now++
		h.Admit(now, time.Time{}, 0)
	}
}

// A quota change reaches the nodes at different times. Until it is complete, the usable amounts add up to no more than
// the larger of the old and the new quota. From a lease after the change of the leader they add up to no more than the
// new quota, even if a node is not notified yet; the exception is the old reserves of such nodes, if those alone exceed
// the new quota.
func TestQuotaChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := Terms{Lease: 2 * second, Reserve: 0.1, Seats: 3}
		old, next := []Quota{{Name: "a", Kind: Rate, Amount: 100, Burst: 20}},
			[]Quota{{Name: "a", Kind: Rate, Amount: float64(rapid.IntRange(0, 300).Draw(t, "next")), Burst: 20}}
		leader := NewLeader(terms, old, 1, 0)
		l := newLedger()
		var holders []*Holder
		var changes []time.Duration // when each holder is notified; -1: it has been
		for i := range 3 {
			h := NewHolder(terms, old, fmt.Sprint("n", i), "1", 0)
			h.SetReserves(h.SeatReserves())
			holders = append(holders, h)
			changes = append(changes, 5*second+time.Duration(rapid.IntRange(0, 9000).Draw(t, "holder changes"))*time.Millisecond)
		}
		leaderChange := 5*second + time.Duration(rapid.IntRange(0, 3000).Draw(t, "leader changes"))*time.Millisecond
		from := leaderChange + terms.leaderLease()
		for now := time.Duration(0); now < 15*second; now += 50 * time.Millisecond {
			if now >= leaderChange && leaderChange > 0 {
				leader.SetQuotas(now, next)
				leaderChange = -1
			}
			sum, reserved := 0.0, 0.0
			for i, h := range holders {
				if now >= changes[i] && changes[i] > 0 {
					h.SetQuotas(now, next)
					changes[i] = -1
				}
				for range 5 {
					h.Admit(now, time.Time{}, 0)
				}
				if same := (leaderChange < 0) == (changes[i] < 0); same { // otherwise the leader rejects the request
					reserves := h.SeatReserves()
					leader.Withhold(l.excess(reserves))
					h.Accept(now, leader.Lend(now, h.NextRequest(now, time.Time{})))
					l.assignSeat(seatCommand{h.name, i + 1, 3, reserves})
					h.SetReserves(reserves)
				}
				holding := h.Holdings(now)[0]
				sum += holding.Amount + holding.Reserve
				reserved += holding.Reserve
			}
			if sum > max(100, next[0].Amount)+1e-6 || now > from && sum > max(next[0].Amount, reserved)+1e-6 {
				t.Fatalf("at %v, %v after the old leases, %g units of a quota of %g are usable", now, now-from, sum, next[0].Amount)
			}
		}
	})
}
