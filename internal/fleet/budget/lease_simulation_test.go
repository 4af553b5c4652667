package budget

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

// simulation runs leaders and holders on a virtual clock. Requests and responses are delayed, lost and duplicated,
// leaders change, and holders pause, fail and restart.
type simulation struct {
	t            *rapid.T
	terms        Terms
	quotas       []Quota
	now          time.Duration
	leader       *Leader
	term         uint64
	holders      []*Holder
	incarnations []int
	requests     []Request
	responses    []delayedResponse
	orphans      []orphan
	inUseSince   map[*Holder][]time.Duration
	admitted     map[uint64][]admission // admissions of perKeyQuota, by key
}

// perKeyQuota is the index of the quota that applies to each key separately.
const perKeyQuota = 3

// admission is the admission of some units for one key.
type admission struct {
	at    time.Duration
	units float64
}

// overAdmitted describes an interval up to now in which more was admitted for one key than the quota allows; "": there
// is none.
func (s *simulation) overAdmitted() string {
	quota := s.quotas[perKeyQuota]
	for key, all := range s.admitted {
		sum := 0.0
		for i := len(all) - 1; i >= 0; i-- {
			sum += all[i].units
			if allowed := quota.Amount*(s.now-all[i].at).Seconds() + quota.Burst; sum > allowed+1e-6 {
				return fmt.Sprintf("key %d: %g units were admitted in %v, allowed are %g", key, sum, s.now-all[i].at, allowed)
			}
		}
	}
	return ""
}

// delayedResponse is a response of the leader that is not yet delivered.
type delayedResponse struct {
	to          int // index of the holder
	incarnation int
	response    Response
}

// inUseQuota is the index of the quota of the kind InUse.
const inUseQuota = 2

// orphan is the units that a failed holder had in use, and the latest time at which their use ends.
type orphan struct {
	units int
	ends  time.Duration
}

// inUse returns the number of units in use on all holders, including failed ones. It first releases each unit that has
// been in use for the quota's Hold.
func (s *simulation) inUse() (n int) {
	for _, h := range s.holders {
		if h == nil {
			continue
		}
		for len(s.inUseSince[h]) > 0 && s.now-s.inUseSince[h][0] >= s.quotas[inUseQuota].Hold {
			s.inUseSince[h] = s.inUseSince[h][1:]
			h.Release(inUseQuota)
		}
		n += h.allocations[inUseQuota].inUse
	}
	for _, g := range s.orphans {
		if s.now < g.ends {
			n += g.units
		}
	}
	return n
}

// usable returns the amount of a quota, by its index, that all holders together may use now.
func (s *simulation) usable(quotaIndex int) float64 {
	sum := 0.0
	for _, h := range s.holders {
		if h != nil {
			holding := h.Holdings(s.now)[quotaIndex]
			sum += holding.Amount + holding.Reserve
		}
	}
	return sum
}

// restart starts holder i in a new incarnation.
func (s *simulation) restart(i int) {
	s.incarnations[i]++
	s.holders[i] = NewHolder(s.terms, s.quotas, fmt.Sprint("n", i), fmt.Sprint(s.incarnations[i]), s.now)
	s.holders[i].SetReserves(s.holders[i].SeatReserves())
}

// step advances the clock and takes one action, both drawn at random.
func (s *simulation) step() {
	t := s.t
	s.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
	i := rapid.IntRange(0, len(s.holders)-1).Draw(t, "holder")
	h := s.holders[i]
	switch action := rapid.IntRange(0, 13).Draw(t, "action"); {
	case action == 0:
		s.failHolder(i)
	case action == 1 && h == nil:
		s.restart(i)
	case action == 2: // a new leader is elected, which does not know the grants of earlier ones
		s.term++
		s.leader = NewLeader(s.terms, s.quotas, s.term, s.now)
	case action >= 3 && action <= 5 && h != nil:
		s.sendRequest(h)
	case action >= 6 && action <= 8 && len(s.requests) > 0:
		s.deliverRequest()
	case action >= 9 && action <= 10 && len(s.responses) > 0:
		s.deliverResponse()
	case action == 11 && h != nil:
		s.admitInUse(h)
	case action >= 12 && h != nil:
		s.admitKey(h)
	}
}

// failHolder ends a holder. The units that it had in use stay in use on the servers for up to the quota's Hold.
func (s *simulation) failHolder(i int) {
	if h := s.holders[i]; h != nil {
		s.orphans = append(s.orphans, orphan{h.allocations[inUseQuota].inUse, s.now + s.quotas[inUseQuota].Hold})
	}
	s.holders[i] = nil
}

// sendRequest adds demand to a holder and queues its next request.
func (s *simulation) sendRequest(h *Holder) {
	for range rapid.IntRange(0, 30).Draw(s.t, "demand") {
		h.Admit(s.now, time.Time{}, 0)
	}
	s.requests = append(s.requests, h.NextRequest(s.now, time.Time{}))
}

// deliverRequest delivers a random queued request to the leader, and may keep it for another delivery.
func (s *simulation) deliverRequest() {
	k := rapid.IntRange(0, len(s.requests)-1).Draw(s.t, "request")
	request := s.requests[k]
	if rapid.Bool().Draw(s.t, "once") {
		s.requests = slices.Delete(s.requests, k, k+1)
	}
	to := int(request.Holder[1] - '0')
	var incarnation int
	fmt.Sscan(request.Incarnation, &incarnation)
	s.responses = append(s.responses, delayedResponse{to, incarnation, s.leader.Lend(s.now, request)})
}

// deliverResponse delivers a random queued response to its holder, unless that has restarted, and may keep it for
// another delivery.
func (s *simulation) deliverResponse() {
	k := rapid.IntRange(0, len(s.responses)-1).Draw(s.t, "response")
	r := s.responses[k]
	if s.holders[r.to] != nil && s.incarnations[r.to] == r.incarnation {
		s.holders[r.to].Accept(s.now, r.response)
	}
	if rapid.Bool().Draw(s.t, "once") {
		s.responses = slices.Delete(s.responses, k, k+1)
	}
}

// admitInUse admits some units of inUseQuota.
func (s *simulation) admitInUse(h *Holder) {
	for range rapid.IntRange(0, 3).Draw(s.t, "wanted") {
		if ok, _ := h.Admit(s.now, time.Time{}, inUseQuota); ok {
			s.inUseSince[h] = append(s.inUseSince[h], s.now)
		}
	}
}

// admitKey admits some units of perKeyQuota for one of two keys.
func (s *simulation) admitKey(h *Holder) {
	key := rapid.Uint64Range(1, 2).Draw(s.t, "key")
	units := rapid.SampledFrom([]float64{1, 0.5, 0.2}).Draw(s.t, "units")
	for range rapid.IntRange(0, 20).Draw(s.t, "wanted") {
		if h.AdmitKey(s.now, perKeyQuota, key, units) {
			s.admitted[key] = append(s.admitted[key], admission{s.now, units})
		}
	}
}

// The amounts of a quota that all holders may use at one time never add up to more than the quota, despite message
// loss, delays, duplicates, failed holders and changes of the leader.
func TestSumHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			t:     t,
			terms: Terms{Lease: 2 * second, Reserve: 0.1, Seats: 4},
			quotas: []Quota{
				{Name: "a", Kind: Rate, Amount: 100, Burst: 20},
				{Name: "none", Kind: Rate, Burst: 5},
				{Name: "slots", Kind: InUse, Amount: 3, Hold: second},
				{Name: "cold", Kind: Rate, Amount: 20, Burst: 8},
			},
			incarnations: make([]int, 4),
			holders:      make([]*Holder, 4),
			inUseSince:   map[*Holder][]time.Duration{},
			admitted:     map[uint64][]admission{},
		}
		s.leader = NewLeader(s.terms, s.quotas, 0, 0)
		for i := range s.holders {
			s.restart(i)
		}
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			s.step()
			for i, quota := range s.quotas {
				if sum := s.usable(i); sum > quota.Amount*(1+1e-9) {
					t.Fatalf("at %v, holders may use %g units of a quota of %g, %s", s.now, sum, quota.Amount, quota.Name)
				}
			}
			if found := s.overAdmitted(); found != "" {
				t.Fatalf("at %v, %s", s.now, found)
			}
			if n := s.inUse(); n > int(s.quotas[inUseQuota].Amount) {
				t.Fatalf("at %v, %d units are in use, more than the quota", s.now, n)
			}
		}
	})
}
