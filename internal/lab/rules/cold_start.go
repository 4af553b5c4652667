package rules

import (
	"slices"
	"time"
)

// coldStart is the time since a peer started cold.
type coldStart struct {
	at       time.Duration
	attempts []attemptWork // received within the last Contract.OverloadWindow, the oldest first
	reported bool
}

// attemptWork is the load of one attempt that a peer received.
type attemptWork struct {
	at         time.Duration
	work       float64 // seconds of a core of speed 1
	capacity   float64 // of the peer at that moment, in such seconds a second
	startKnown bool    // its node had been notified of the cold start
}

// knowingShare is the part of an overload that must come from nodes that had
// been notified of the start, for it to be a violation.
const knowingShare = 2.0 / 3

// checkColdLoad counts an attempt that a peer received against what a peer
// that started cold may be sent.
func (j *Judge) checkColdLoad(peer, call string, work, capacity float64) {
	received := j.takeSent(peer, call)
	start := j.coldStarts[peer]
	contract := &j.config.Contract
	if start == nil || start.reported || j.now > start.at+contract.Cold.D() || contract.Overload <= 0 {
		return
	}
	known := received != nil && received.knownStart > 0 && received.knownStart >= start.at-instant
	start.attempts = append(start.attempts, attemptWork{
		at:         j.now,
		work:       work,
		capacity:   capacity,
		startKnown: known,
	})
	window := contract.OverloadWindow.D()
	start.expire(j.now - window)
	total, knowing := start.load()
	budget := contract.Overload*start.meanCapacity(j.now-window)*window.Seconds() + j.maxWork
	if total > budget && knowing >= knowingShare*total {
		start.reported = true
		const text = "peer %s, %v after its start: %.3f s of work in %v, %.3f s allowed, %.0f%% knowingly"
		j.report(Cold, j.now, text, peer, j.now-start.at, total, window, budget, 100*knowing/total)
	}
}

// expire drops the attempts up to an instant. One later attempt must be there.
func (s *coldStart) expire(until time.Duration) {
	for s.attempts[0].at <= until {
		s.attempts = s.attempts[1:]
	}
}

// load is the work of all attempts, and of those whose node knew of the start.
func (s *coldStart) load() (total, knowing float64) {
	for _, a := range s.attempts {
		total += a.work
		if a.startKnown {
			knowing += a.work
		}
	}
	return total, knowing
}

// meanCapacity is the mean over the window that began at an instant. Before
// the first attempt in it, capacity counts as it was then.
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

// takeSent finds the attempt that a peer received, by its call, and removes it
// from those that are under way. It is nil if no such attempt was seen.
func (j *Judge) takeSent(peer, call string) *attempt {
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
