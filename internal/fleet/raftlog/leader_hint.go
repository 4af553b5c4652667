package raftlog

import "sync"

// LeaderHint is a client's estimate of the leader of a log: the last voter that responded as the leader. While there is
// no estimate, NextVoter rotates over all voters. Its methods may be called from any goroutine. The zero value has no
// estimate.
type LeaderHint struct {
	mu       sync.Mutex
	leader   string // "" if unknown
	rotation int    // number of calls of NextVoter
}

// Leader returns the last voter that responded as the leader, or "" if it is unknown.
func (h *LeaderHint) Leader() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leader
}

// NextVoter returns the voter to which the next request is sent while the leader is unknown. voters must not be empty.
func (h *LeaderHint) NextVoter(voters []string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	voter := voters[h.rotation%len(voters)]
	h.rotation++
	return voter
}

// SetLeader records that a voter responded as the leader.
func (h *LeaderHint) SetLeader(voter string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leader = voter
}

// Forget clears the estimate.
func (h *LeaderHint) Forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leader = ""
}

// ForgetVoter clears the estimate if it is the given voter.
func (h *LeaderHint) ForgetVoter(voter string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leader == voter {
		h.leader = ""
	}
}
