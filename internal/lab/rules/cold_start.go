package rules

import (
	"slices"
	"time"
)

// coldStart records the load of a peer since it started cold.
type coldStart struct {
	at       time.Duration // of the start
	attempts []attemptWork // received within the last Contract.OverloadWindow, oldest first
	reported bool          // a violation was reported
}

// attemptWork is the work of one attempt that a peer received.
type attemptWork struct {
	at             time.Duration
	work           float64 // seconds of a core of speed 1
	capacity       float64 // of the peer at that time, in seconds of such a core per second
	senderNotified bool    // the sending node had been notified of the cold start
}

// minNotifiedShare is the minimum share of the work that nodes notified of the
// start must have sent for an overload to be a violation.
const minNotifiedShare = 2.0 / 3

// checkColdLoad records an attempt that a peer received and checks that a peer
// which started cold is not overloaded.
func (j *Judge) checkColdLoad(peer, call string, work, capacity float64) {
	received := j.removeSentAttempt(peer, call)
	start := j.coldStarts[peer]
	contract := &j.config.Contract
	if start == nil || start.reported || j.now > start.at+contract.Cold.D() || contract.Overload <= 0 {
		return
	}
	known := received != nil && received.notifiedStart > 0 && received.notifiedStart >= start.at-simultaneityTolerance
	start.attempts = append(start.attempts, attemptWork{
		at:             j.now,
		work:           work,
		capacity:       capacity,
		senderNotified: known,
	})
	window := contract.OverloadWindow.D()
	start.expire(j.now - window)
	total, notified := start.totalWork()
	budget := contract.Overload*start.meanCapacity(j.now-window)*window.Seconds() + j.maxWork
	if total > budget && notified >= minNotifiedShare*total {
		start.reported = true
		const text = "peer %s, %v after its start: %.3f s of work in %v, %.3f s allowed, %.0f%% knowingly"
		j.report(Cold, j.now, text, peer, j.now-start.at, total, window, budget, 100*notified/total)
	}
}

// expire removes the attempts up to an instant. At least one attempt must be
// later.
func (s *coldStart) expire(until time.Duration) {
	for s.attempts[0].at <= until {
		s.attempts = s.attempts[1:]
	}
}

// totalWork returns the work of all attempts, and of those whose node had been
// notified of the start.
func (s *coldStart) totalWork() (total, notified float64) {
	for _, a := range s.attempts {
		total += a.work
		if a.senderNotified {
			notified += a.work
		}
	}
	return total, notified
}

// meanCapacity returns the mean capacity of the peer from an instant until the
// last attempt. Before the first attempt, the capacity at that attempt counts.
func (s *coldStart) meanCapacity(from time.Duration) float64 {
	now := from
	sum := 0.0
	last := s.attempts[0].capacity
	for _, a := range s.attempts {
		sum += (last + a.capacity) / 2 * (a.at - now).Seconds()
		now = a.at
		last = a.capacity
	}
	if now == from {
		return last
	}
	return sum / (now - from).Seconds()
}

// removeSentAttempt removes and returns the oldest sent attempt of a call that the peer
// has not received yet. It returns nil if there is none.
func (j *Judge) removeSentAttempt(peer, call string) *attempt {
	sent := j.sentAttempts[call]
	for i, a := range sent {
		if a.conn.name != peer {
			continue
		}
		rest := slices.Concat(sent[:i], sent[i+1:])
		if len(rest) == 0 {
			delete(j.sentAttempts, call)
		} else {
			j.sentAttempts[call] = rest
		}
		return a
	}
	return nil
}
