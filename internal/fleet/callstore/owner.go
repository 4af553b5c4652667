package callstore

import (
	"context"
	"time"

	"olivebridge/internal/fleet/mutant"
)

const (
	// beginTimeout bounds Begin. Nothing has run by its end: the client is told to come back.
	beginTimeout = 400 * time.Millisecond
	// endTimeout bounds one attempt to report an outcome.
	endTimeout = 600 * time.Millisecond
	// reportBackoff is the first pause before an outcome is reported again; it doubles up to maxReportBackoff.
	reportBackoff    = 200 * time.Millisecond
	maxReportBackoff = time.Second
	// maxPendingReports bounds the reports that are sent in the background. A call beyond it stays with this process until
	// that ends, and is unknown then.
	maxPendingReports = 20000
	// handoverGrace is for how long a process reports on calls that it owned when it gave the node's membership away: as
	// long as members let it.
	handoverGrace = 10 * time.Second
)

// NewOwner returns a new owner for one call of this process; false: it does not hold the node's membership.
func (s *Service) NewOwner() (Owner, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	owner := Owner{Name: s.config.Name, Incarnation: s.incarnation, Call: s.lastCall.Add(1)}
	return owner, s.incarnation != ""
}

// Begin asks the leader for the permission to send a call. An error, which is an ErrNoLeader, says that the call must
// not be sent.
func (s *Service) Begin(ctx context.Context, begin BeginRequest) (BeginResult, error) {
	if begin.MaxOwners == 0 {
		begin.MaxOwners = s.config.MaxOwners
	}
	if mutant.Active("out-before-permission") {
		go func() { _, _ = s.client.ask(context.Background(), request{Begin: &begin}, beginTimeout) }()
		return BeginResult{Granted: true}, nil
	}
	got, err := s.client.ask(ctx, request{Begin: &begin}, beginTimeout)
	if err != nil {
		s.counters.rejected.Add(1)
		// The request may have been granted all the same. Nothing was sent, so that the call is free.
		s.reportLater(EndRequest{Key: begin.Key, Fingerprint: begin.Fingerprint, Owner: begin.Owner, State: Free})
		return BeginResult{}, err
	}
	if got.BeginResult.Granted {
		s.counters.begun.Add(1)
		s.config.Record.Write("begun", begin)
	} else {
		s.counters.elsewhere.Add(1)
	}
	return got.BeginResult, nil
}

// End reports what became of a call, and waits up to endTimeout until the ledger has it. It returns whether the ledger
// has accepted it. What could not be reported by then is reported in the background: a call whose owner lives and says
// nothing would be nobody's to run.
func (s *Service) End(end EndRequest) bool {
	switch end.State {
	case Answered:
		s.counters.stored.Add(1)
	case Unknown:
		s.counters.unknown.Add(1)
	}
	got, err := s.client.ask(context.Background(), request{End: &end}, endTimeout)
	if err != nil {
		s.reportLater(end)
		return false
	}
	return got.EndAccepted
}

// reportLater reports in the background.
func (s *Service) reportLater(end EndRequest) {
	if s.pendingReports.Add(1) > maxPendingReports {
		s.pendingReports.Add(-1)
		s.config.Log.Error(logMessage, "reason", "not-told", "key", end.Key)
		return
	}
	go func() {
		defer s.pendingReports.Add(-1)
		s.retryReport(end)
	}()
}

// retryReport reports until a leader has answered, or this process may not speak for the owner any more.
func (s *Service) retryReport(end EndRequest) {
	for backoff := reportBackoff; ; backoff = min(2*backoff, maxReportBackoff) {
		time.Sleep(backoff)
		if !s.mayReport(end.Owner) {
			return // the leader releases the call once it finds that the process has failed
		}
		if _, err := s.client.ask(context.Background(), request{End: &end}, endTimeout); err == nil {
			return
		}
	}
}

// mayReport reports whether this process holds the node's membership in the owner's incarnation, or did until lately.
func (s *Service) mayReport(owner Owner) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation == owner.Incarnation {
		return true
	}
	return s.previousIncarnation == owner.Incarnation && time.Since(s.stoppedAt) < handoverGrace
}
