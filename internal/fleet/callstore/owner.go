package callstore

import (
	"context"
	"errors"
	"time"

	"olivebridge/internal/fleet/mutant"
)

const (
	// beginTimeout limits the time for Begin. When it expires the call has not run, and the client is asked to retry.
	beginTimeout = 400 * time.Millisecond
	// endTimeout limits the time for one attempt to report an outcome.
	endTimeout = 600 * time.Millisecond
	// reportBackoff is the delay before the first retry of a report; the delay doubles up to maxReportBackoff.
	reportBackoff    = 200 * time.Millisecond
	maxReportBackoff = time.Second
	// maxPendingReports is the limit on reports that are retried in the background. A report beyond the limit is dropped:
	// the call keeps this process as its owner until the process ends, and then becomes Unknown.
	maxPendingReports = 20000
	// reportPollInterval is the interval at which WaitForReports checks the number of pending reports.
	reportPollInterval = 10 * time.Millisecond
	// handoverGrace is the duration for which a process continues to report on its calls after it handed over the node's
	// membership. Package member lets such a process open streams for the same duration.
	handoverGrace = 10 * time.Second
)

// NewOwner returns a new owner for one call of this process. It returns false if this process does not hold the node's
// membership.
func (s *Service) NewOwner() (Owner, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	owner := Owner{Name: s.config.Name, Incarnation: s.incarnation, Call: s.lastCall.Add(1)}
	return owner, s.incarnation != ""
}

// Begin requests permission from the leader to send a call. If it returns an error, which wraps ErrNoLeader, the caller
// must not send the call.
func (s *Service) Begin(ctx context.Context, begin BeginRequest) (BeginResult, error) {
	if begin.MaxOwners == 0 {
		begin.MaxOwners = s.config.MaxOwners
	}
	if mutant.Active("out-before-permission") {
		go func() { _, _ = s.client.sendToLeader(context.Background(), request{Begin: &begin}, beginTimeout) }()
		return BeginResult{Granted: true}, nil
	}
	resp, err := s.client.sendToLeader(ctx, request{Begin: &begin}, beginTimeout)
	if err != nil {
		s.counters.failedBegins.Add(1)
		if failure, ok := errors.AsType[*noLeaderError](err); !ok || failure.mayBeCommitted {
			// The leader may have granted the request although no response arrived. The call is not sent, so it is free.
			s.reportInBackground(EndRequest{Key: begin.Key, Fingerprint: begin.Fingerprint, Owner: begin.Owner, State: Free})
		}
		return BeginResult{}, err
	}
	if resp.BeginResult.Granted {
		s.counters.granted.Add(1)
		s.config.Record.Write("begun", begin)
	} else {
		s.counters.notGranted.Add(1)
	}
	return resp.BeginResult, nil
}

// End reports the final state of a call to the leader, waits up to endTimeout for the response, and returns whether the
// ledger accepted the report. If no leader responds in time, End retries the report in the background: while the
// owner's process lives, no other owner may run a call without a report.
func (s *Service) End(end EndRequest) bool {
	switch end.State {
	case Answered:
		s.counters.stored.Add(1)
	case Unknown:
		s.counters.unknown.Add(1)
	}
	resp, err := s.client.sendToLeader(context.Background(), request{End: &end}, endTimeout)
	if err != nil {
		s.reportInBackground(end)
		return false
	}
	return resp.EndAccepted
}

// reportInBackground sends a report in the background, or drops it if maxPendingReports are pending.
func (s *Service) reportInBackground(end EndRequest) {
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

// retryReport retries a report until the leader responds or this process may no longer report for the owner.
func (s *Service) retryReport(end EndRequest) {
	for backoff := reportBackoff; ; backoff = min(2*backoff, maxReportBackoff) {
		time.Sleep(backoff)
		if !s.mayReport(end.Owner) {
			return // the leader releases the call once it detects that the owner's process has failed
		}
		if _, err := s.client.sendToLeader(context.Background(), request{End: &end}, endTimeout); err == nil {
			return
		}
	}
}

// WaitForReports waits until no report is pending, for the timeout at the longest. A process that ends calls it: a call
// whose report is lost keeps its owner until the leader considers the process failed, and then becomes Unknown.
func (s *Service) WaitForReports(timeout time.Duration) {
	for end := time.Now().Add(timeout); s.pendingReports.Load() > 0 && time.Now().Before(end); {
		time.Sleep(reportPollInterval)
	}
}

// mayReport reports whether this process holds the node's membership in the owner's incarnation, or did so less than
// handoverGrace ago.
func (s *Service) mayReport(owner Owner) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation == owner.Incarnation {
		return true
	}
	return s.previousIncarnation == owner.Incarnation && time.Since(s.stoppedAt) < handoverGrace
}
