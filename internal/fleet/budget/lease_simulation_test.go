package budget

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

// simulation runs leaders and holders on a clock of its own: requests and responses are late, lost and doubled, leaders
// change, holders pause, fail and restart.
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
	admitted     map[uint64][]admission // of perKeyQuota, by key
}

// perKeyQuota is the place of the quota that holds for each of some keys.
const perKeyQuota = 3

type admission struct {
	at    time.Duration
	units float64
}

// overAdmitted finds a window in which more was admitted for one key than the quota allows.
func (s *simulation) overAdmitted() string {
	w := s.quotas[perKeyQuota]
	for key, all := range s.admitted {
		sum := 0.0
		for i := len(all) - 1; i >= 0; i-- {
			sum += all[i].units
			if allowed := w.Amount*(s.now-all[i].at).Seconds() + w.Burst; sum > allowed+1e-6 {
				return fmt.Sprintf("to %d came %g in %v, %g are allowed", key, sum, s.now-all[i].at, allowed)
			}
		}
	}
	return ""
}

type delayedResponse struct {
	to          int
	incarnation int
	response    Response
}

// inUseQuota is the place of the quota of the kind InUse.
const inUseQuota = 2

// orphan is what a failed holder had in use, until it ends at the latest.
type orphan struct {
	units int
	ends  time.Duration
}

// inUse is how many units are in use at all holders, failed ones too. Each unit is released when its time is up.
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

func (s *simulation) usable(name int) float64 {
	sum := 0.0
	for _, h := range s.holders {
		if h != nil {
			one := h.Holdings(s.now)[name]
			sum += one.Amount + one.Reserve
		}
	}
	return sum
}

func (s *simulation) restart(i int) {
	s.incarnations[i]++
	s.holders[i] = NewHolder(s.terms, s.quotas, fmt.Sprint("n", i), fmt.Sprint(s.incarnations[i]), s.now)
	s.holders[i].TakeSeat(s.holders[i].SeatReserves())
}

// step takes one step, drawn at random.
func (s *simulation) step() {
	t := s.t
	s.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
	i := rapid.IntRange(0, len(s.holders)-1).Draw(t, "who")
	h := s.holders[i]
	switch what := rapid.IntRange(0, 13).Draw(t, "what"); {
	case what == 0:
		s.failHolder(i)
	case what == 1 && h == nil:
		s.restart(i)
	case what == 2: // another leader is elected, which knows nothing
		s.term++
		s.leader = NewLeader(s.terms, s.quotas, s.term, s.now)
	case what >= 3 && what <= 5 && h != nil:
		s.sendRequest(h)
	case what >= 6 && what <= 8 && len(s.requests) > 0:
		s.deliverRequest()
	case what >= 9 && what <= 10 && len(s.responses) > 0:
		s.deliverResponse()
	case what == 11 && h != nil:
		s.admitInUse(h)
	case what >= 12 && h != nil:
		s.admitKey(h)
	}
}

// failHolder ends a holder; what it had in use goes on at the servers for a while.
func (s *simulation) failHolder(i int) {
	if h := s.holders[i]; h != nil {
		s.orphans = append(s.orphans, orphan{h.allocations[inUseQuota].inUse, s.now + s.quotas[inUseQuota].Hold})
	}
	s.holders[i] = nil
}

func (s *simulation) sendRequest(h *Holder) {
	for range rapid.IntRange(0, 30).Draw(s.t, "demand") {
		h.Admit(s.now, time.Time{}, 0)
	}
	s.requests = append(s.requests, h.NextRequest(s.now, time.Time{}))
}

// deliverRequest gives any request to the leader; it may come again.
func (s *simulation) deliverRequest() {
	k := rapid.IntRange(0, len(s.requests)-1).Draw(s.t, "ask")
	request := s.requests[k]
	if rapid.Bool().Draw(s.t, "once") {
		s.requests = slices.Delete(s.requests, k, k+1)
	}
	to := int(request.Holder[1] - '0')
	var incarnation int
	fmt.Sscan(request.Incarnation, &incarnation)
	s.responses = append(s.responses, delayedResponse{to, incarnation, s.leader.Lend(s.now, request)})
}

// deliverResponse gives any response to its holder; it may come again.
func (s *simulation) deliverResponse() {
	k := rapid.IntRange(0, len(s.responses)-1).Draw(s.t, "answer")
	r := s.responses[k]
	if s.holders[r.to] != nil && s.incarnations[r.to] == r.incarnation {
		s.holders[r.to].Accept(s.now, r.response)
	}
	if rapid.Bool().Draw(s.t, "once") {
		s.responses = slices.Delete(s.responses, k, k+1)
	}
}

func (s *simulation) admitInUse(h *Holder) {
	for range rapid.IntRange(0, 3).Draw(s.t, "wanted") {
		if ok, _ := h.Admit(s.now, time.Time{}, inUseQuota); ok {
			s.inUseSince[h] = append(s.inUseSince[h], s.now)
		}
	}
}

func (s *simulation) admitKey(h *Holder) {
	key := rapid.Uint64Range(1, 2).Draw(s.t, "thing")
	units := rapid.SampledFrom([]float64{1, 0.5, 0.2}).Draw(s.t, "units")
	for range rapid.IntRange(0, 20).Draw(s.t, "wanted") {
		if h.AdmitKey(s.now, perKeyQuota, key, units) {
			s.admitted[key] = append(s.admitted[key], admission{s.now, units})
		}
	}
}

// What can be used at one time never adds up to more than the quota.
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
			for i, w := range s.quotas {
				if sum := s.usable(i); sum > w.Amount*(1+1e-9) {
					t.Fatalf("at %v, %g of %g can be used of %s", s.now, sum, w.Amount, w.Name)
				}
			}
			if found := s.overAdmitted(); found != "" {
				t.Fatalf("at %v, %s", s.now, found)
			}
			if n := s.inUse(); n > int(s.quotas[inUseQuota].Amount) {
				t.Fatalf("at %v, %d are in use", s.now, n)
			}
		}
	})
}
