package member

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"olivebridge/internal/fleet/mutant"
)

const (
	// joinRetryInterval is the time between two attempts to acquire a membership that the node's other process holds.
	joinRetryInterval = 20 * time.Millisecond
	// predecessorGracePeriod is the time for which a process that has released the membership may still report the
	// outcomes of its requests. It exceeds the deadlines of requests. The successor advertises its predecessor for the
	// same time.
	predecessorGracePeriod = 10 * time.Second
	// conflictBackoff is the time for which a process that lost a name conflict waits before it claims the name again.
	// Other members have to have dropped its earlier claim by then.
	conflictBackoff = 15 * time.Second
)

// Join acquires the node's membership in a new incarnation. With wait, it returns nil after an error and retries in the
// background, because the node's other process may still hold the membership. See node.Fleet.
func (s *Service) Join(wait bool) error {
	s.transitionMu.Lock()
	defer s.transitionMu.Unlock()
	s.mu.Lock()
	s.hasPredecessor = wait
	busy := s.closed || s.agent != nil || s.cancelRetry != nil
	s.mu.Unlock()
	if busy {
		return nil
	}
	if mutant.Active("upgrade-twice") && wait {
		s.config.Name += ".2"
		s.config.Listen = netip.AddrPortFrom(s.config.Listen.Addr(), s.config.Listen.Port()+1)
		s.config.Advertise = s.config.Listen
	}
	err := s.beginMembership()
	if err == nil || !wait {
		return err
	}
	s.config.Log.Warn("fleet place", "reason", "waiting", "why", err.Error())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.absentReason = err.Error()
	s.startRetries(joinRetryInterval)
	return nil
}

// startRetries tries to acquire the membership in the background, with a pause before each attempt, until an attempt
// succeeds or cancelRetry is called. The caller holds mu.
func (s *Service) startRetries(pause time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancelRetry = cancel
	s.retries.Go(func() {
		defer cancel()
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
			if s.retryOnce(ctx) {
				return
			}
		}
	})
}

// retryOnce tries once to acquire the membership, and reports whether no further attempt is needed: it succeeded or was
// canceled.
func (s *Service) retryOnce(ctx context.Context) bool {
	s.transitionMu.Lock()
	defer s.transitionMu.Unlock()
	if ctx.Err() != nil {
		return true
	}
	err := s.beginMembership()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.absentReason = err.Error()
		return false
	}
	s.cancelRetry = nil
	return true
}

// beginMembership acquires the membership in a new incarnation, whichever process held it before. The caller holds
// transitionMu.
func (s *Service) beginMembership() error {
	t, err := openTransport(s.config, &s.traffic)
	if errors.Is(err, syscall.EADDRINUSE) {
		return fmt.Errorf("%s is in use: %w", s.config.Listen, err)
	}
	if err != nil {
		return err
	}
	incarnation, err := beginIncarnation(s.config.Directory, s.config.Name)
	if err != nil {
		_ = t.Shutdown()
		return err
	}
	s.config.Record.Write("took", incarnation)
	s.config.Record.Write("wall", mutant.WallClock().UnixNano())
	a, err := s.startAgent(t, incarnation)
	if err != nil {
		_ = t.Shutdown()
		return err
	}
	s.mu.Lock()
	s.agent = a
	s.absentReason = ""
	s.mu.Unlock()
	s.config.Log.Info("fleet place", "reason", "taken", "life", incarnation.String(),
		"listen", s.config.Listen.String())
	if s.config.OnJoin != nil {
		s.config.OnJoin(incarnation)
	}
	return nil
}

// startAgent adds this member to the table and starts its agent.
func (s *Service) startAgent(t *transport, incarnation Incarnation) (*agent, error) {
	s.mu.Lock()
	predecessor := s.hasPredecessor
	s.mu.Unlock()
	m := s.self(incarnation)
	s.apply(Event{
		Kind:        EventAlive,
		Name:        m.Name,
		Zone:        m.Zone,
		Addr:        m.Addr,
		Incarnation: incarnation,
		Predecessor: predecessor,
	})
	return newAgent(s, t, incarnation, predecessor)
}

// Release frees the membership for the node's other process, and notifies no other node.
func (s *Service) Release() {
	if mutant.Active("upgrade-twice") {
		return
	}
	s.mu.Lock()
	s.releasedAt = time.Now()
	s.mu.Unlock()
	s.endMembership("yielded", "the node's other process has it")
}

// AnnounceLeave notifies other members that a planned shutdown of this node has begun.
func (s *Service) AnnounceLeave() {
	if a := s.currentAgent(); a != nil {
		a.announceLeaving()
		s.config.Record.Write("leaving", nil)
	}
}

// Leave notifies other members that this node has left, and closes the service.
func (s *Service) Leave() {
	if a := s.currentAgent(); a != nil {
		a.announceLeft()
		s.config.Record.Write("left", nil)
	}
	s.Close()
}

// Close gives up the membership without notifying other members.
func (s *Service) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.endMembership("closed", "closed")
	s.retries.Wait()
}

// endMembership gives up the membership, or stops the attempts to acquire it. The code is written to log and record,
// and the reason is shown to operators.
func (s *Service) endMembership(code, reason string) {
	s.transitionMu.Lock()
	defer s.transitionMu.Unlock()
	s.mu.Lock()
	a := s.agent
	if s.cancelRetry != nil {
		s.cancelRetry()
		s.cancelRetry = nil
	}
	s.mu.Unlock()
	if a == nil {
		return
	}
	defer s.clearAgent(a, reason)
	if s.config.OnLeave != nil {
		s.config.OnLeave()
	}
	a.close()
	s.config.Log.Info("fleet place", "reason", code)
	s.config.Record.Write(code, nil)
}

// clearAgent records that this process no longer holds the membership, unless another agent has replaced a.
func (s *Service) clearAgent(a *agent, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.agent == a {
		s.agent = nil
		s.absentReason = reason
	}
}

// concedeName gives up the name to another process, whose claim prevails. memberlist calls it through NotifyConflict.
func (s *Service) concedeName(a *agent, other Claim, addr string) {
	s.mu.Lock()
	if s.agent != a {
		s.mu.Unlock()
		return
	}
	s.agent = nil
	s.absentReason = fmt.Sprintf("%s is used by another process, at %s, with the better claim", s.config.Name, addr)
	s.counters.conflictsLost.Add(1)
	if other.Home != a.incarnation.Home && !s.closed {
		s.startRetries(conflictBackoff)
	} // otherwise a later incarnation of this node holds the name permanently
	s.mu.Unlock()
	s.config.Log.Error("fleet place", "reason", "stepped-back", "why", s.absentReason)
	s.config.Record.Write("stepped-back", addr)
	go func() { // memberlist waits for its callback to return, so a shutdown within it would deadlock
		if s.config.OnLeave != nil {
			s.config.OnLeave()
		}
		a.close()
	}()
}
