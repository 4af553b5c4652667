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

// Service runs the quota protocol in one process: the holder and, on a voter, the ledger and the leader. Its methods
// are safe for concurrent use.
type Service struct {
	config   Config
	voter    *raftlog.Participant // this process's participation in the raft log
	start    time.Time            // origin of the times that now returns
	counters counters

	mu     sync.Mutex
	holder *Holder           // nil: this process does not have the node's membership and may admit nothing
	leader *Leader           // of the last raft term in which this process led; nil: none since the raft log was opened
	ledger *replicatedLedger // nil: this process is no voter, or its raft log is not open
	home   string            // see member.Incarnation
	seat   int               // seat of the reserve; 0: none
	// orphans is the number of units still in use that an earlier holder of this process admitted, by index of the
	// quota. Release ends their use too.
	orphans []int

	stop  chan struct{} // closed to end requestLoop; nil: it does not run
	tasks sync.WaitGroup
}

// New returns a service. It admits nothing until Start.
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

// ledgerOpened sets the ledger to a raft log that this process has opened.
func (s *Service) ledgerOpened(log *raftlog.Log, state raft.FSM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = nil
	s.ledger = &replicatedLedger{log, state.(*ledger)}
}

// ledgerClosed removes the ledger, after this process has closed its raft log.
func (s *Service) ledgerClosed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = nil
	s.ledger = nil
}

// SetVoters changes the set of voters, which replicate the ledger.
func (s *Service) SetVoters(r raftlog.VoterSet) { s.voter.SetVoters(r) }

// ServeVoters serves a stream of VotersChannel from another voter.
func (s *Service) ServeVoters(conn net.Conn, from string) { s.voter.ServeStream(conn, from) }

// now returns the time since the creation of the service.
func (s *Service) now() time.Duration { return time.Since(s.start) }

// Start creates the holder and starts to request grants. The process must have the node's membership; home and
// incarnation are those of member.Incarnation.
func (s *Service) Start(home string, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.home = home
	name := fmt.Sprintf("%s/%d", home, incarnation)
	s.holder = NewHolder(s.config.Terms, s.config.Quotas, s.config.Name, name, s.now())
	stored := s.readSeat(home)
	s.seat = stored.Seat
	s.holder.SetReserves(stored.Reserved)
	stop := make(chan struct{})
	s.stop = stop
	s.voter.Start()
	s.tasks.Go(func() { s.requestLoop(stop) })
}

// Stop returns all grants and stops the requests, for a process that gives up the node's membership. Nothing is
// admitted after it.
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
		s.holder = nil // nothing is admitted from here on
	}
	s.recordHoldings()
	close(s.stop)
	s.stop = nil
	s.mu.Unlock()
	s.tasks.Wait() // returns the grants before the raft log is closed, because this process may be the leader
	s.voter.Stop()
}

// SetQuotas changes the amounts of the quotas. Their list and order must be the same as before.
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

// Admit admits one unit of the quota at an index in the list of quotas. If none is available, it returns the time to
// wait before a retry.
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
		wait = nextRequest // a new grant may have been received by then
	}
	return false, wait
}

// AdmitKey admits the given units for one key, or none of them. The quota must be one that applies to each key
// separately.
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

// Release ends the use of one admitted unit of a quota of the kind InUse.
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

// termsText returns the text of the quotas and terms, which must be the same on the leader and the holder.
func (s *Service) termsText() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return termsText(s.config.Quotas, s.config.Terms)
}

// quotas returns the present quotas.
func (s *Service) quotas() []Quota {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.Quotas
}

// leaderName returns the name of the leader; "": unknown, or this process is no voter.
func (s *Service) leaderName() string {
	s.mu.Lock()
	ledger := s.ledger
	s.mu.Unlock()
	if ledger == nil {
		return ""
	}
	return ledger.Leader()
}
