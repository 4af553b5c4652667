package budget

import (
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"olivebridge/internal/fleet/mutant"
	"olivebridge/internal/fleet/raftlog"
)

// Service is a process's part in the fleet's quotas: what it holds, and, in a voter's process, the ledger and the
// leader. Its methods are safe for concurrent use.
type Service struct {
	config   Config
	voter    *raftlog.Participant // this process's part in the log
	start    time.Time            // origin of times
	counters counters

	mu     sync.Mutex
	holder *Holder           // nil: this process does not have the node's membership, and holds nothing
	leader *Leader           // of this term; nil: another process leads, or none
	ledger *replicatedLedger // nil: this process is no voter, or not yet
	home   string            // see member.Incarnation
	seat   int               // of the reserve; 0: none
	// orphans are units in use that an earlier holder of this process admitted, by quota: they are released here, too.
	orphans []int

	stop  chan struct{} // ends the requests; nil: there are none
	tasks sync.WaitGroup
}

// New makes a service, which holds nothing until Start.
func New(c Config) *Service {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	s := &Service{config: c, start: time.Now(), orphans: make([]int, len(c.Quotas))}
	s.voter = raftlog.NewParticipant(raftlog.ParticipantConfig{
		Name:       c.Name,
		Voters:     c.Voters,
		Directory:  filepath.Join(c.Directory, "book"),
		LogMessage: "fleet budget",
		Log:        c.Log,
		OnOpen:     s.ledgerOpened,
		OnClose:    s.ledgerClosed,
		NewState:   func() raft.FSM { return newLedger() },
		Dial: func(name string, timeout time.Duration) (net.Conn, error) {
			return c.Dial(name, VotersChannel, timeout)
		},
	})
	return s
}

// ledgerOpened takes the log that this process keeps from now on.
func (s *Service) ledgerOpened(log *raftlog.Log, state raft.FSM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = nil
	s.ledger = &replicatedLedger{log, state.(*ledger)}
}

// ledgerClosed says that this process keeps no log.
func (s *Service) ledgerClosed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = nil
	s.ledger = nil
}

// SetVoters changes who keeps the ledger.
func (s *Service) SetVoters(r raftlog.VoterSet) { s.voter.SetVoters(r) }

// ServeVoters serves a stream of VotersChannel.
func (s *Service) ServeVoters(conn net.Conn, from string) { s.voter.ServeStream(conn, from) }

func (s *Service) now() time.Duration { return time.Since(s.start) }

// Start begins to hold, for a process that has got the node's membership, in an incarnation of its home.
func (s *Service) Start(home string, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.home = home
	name := fmt.Sprintf("%s/%d", home, incarnation)
	s.holder = NewHolder(s.config.Terms, s.config.Quotas, s.config.Name, name, s.now())
	stored := s.readSeat(home)
	s.seat = stored.Seat
	s.holder.TakeSeat(stored.Reserved)
	stop := make(chan struct{})
	s.stop = stop
	s.voter.Start()
	s.tasks.Go(func() { s.requestLoop(stop) })
}

// Stop ends what Start began, for a process that gives the membership up: nothing is held any more.
func (s *Service) Stop() {
	s.mu.Lock()
	if s.holder == nil || s.stop == nil {
		s.mu.Unlock()
		return
	}
	for i, a := range s.holder.allocations {
		s.orphans[i] += a.inUse
	}
	if !mutant.Active("held-twice") {
		s.holder = nil // from here on nothing is admitted
	}
	s.recordHoldings()
	close(s.stop)
	s.stop = nil
	s.mu.Unlock()
	s.tasks.Wait() // what is held is returned first: this process may be the leader
	s.voter.Stop()
}

// SetQuotas changes the amounts of the quotas, which are the same in the same order.
func (s *Service) SetQuotas(quotas []Quota) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.config.Quotas, quotas) {
		return
	}
	s.config.Quotas = quotas
	if s.leader != nil {
		s.leader.SetQuotas(s.now(), quotas)
	}
	if s.holder != nil {
		s.holder.SetQuotas(s.now(), quotas)
	}
	s.recordHoldings()
	s.config.Log.Info("fleet budget", "reason", "changed")
}

// Admit admits one unit of a quota, by its index in the list of quotas. If there is none, it returns when to come back.
func (s *Service) Admit(quotaIndex int) (ok bool, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	nextRequest := s.config.Terms.Lease / requestsPerLease
	if s.holder == nil {
		s.counters.rejected.Add(1)
		return false, nextRequest
	}
	ok, wait = s.holder.Admit(s.now(), mutant.WallClock(), quotaIndex)
	if ok {
		s.counters.admitted.Add(1)
		return true, 0
	}
	s.counters.rejected.Add(1)
	if wait == 0 || wait > nextRequest && s.config.Quotas[quotaIndex].Kind != Count {
		wait = nextRequest // by then it may hold another grant
	}
	return false, wait
}

// AdmitKey admits some units for one key, or none of them, of a quota that holds for each of many keys.
func (s *Service) AdmitKey(quotaIndex int, key uint64, units float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder != nil && s.holder.AdmitKey(s.now(), quotaIndex, key, units) {
		s.counters.admitted.Add(1)
		return true
	}
	s.counters.rejected.Add(1)
	return false
}

// Release returns a unit that was admitted, of a quota of the kind InUse.
func (s *Service) Release(quotaIndex int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.orphans[quotaIndex] > 0:
		s.orphans[quotaIndex]--
	case s.holder != nil:
		s.holder.Release(quotaIndex)
	}
}

// termsText is what has to be the same at leader and holder.
func (s *Service) termsText() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return termsText(s.config.Quotas, s.config.Terms)
}

func (s *Service) quotas() []Quota {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.Quotas
}

// leaderName is the name of the leader, as far as this voter knows; "": unknown.
func (s *Service) leaderName() string {
	s.mu.Lock()
	ledger := s.ledger
	s.mu.Unlock()
	if ledger == nil {
		return ""
	}
	return ledger.Leader()
}
