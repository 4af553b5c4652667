package raftlog

import "sync"

// LeaderHint is a client's guess of who leads a log: the voter that answered last, else one voter after the other. Its
// methods may be called from any goroutine; the zero value knows of no leader.
type LeaderHint struct {
	mu     sync.Mutex
	leader string // "": unknown
	turn   int    // of the rotation over all voters
}

// Leader is the voter that answered last; "" if that is unknown.
func (h *LeaderHint) Leader() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leader
}

// NextVoter is the voter to ask while the leader is unknown. There is at least one.
func (h *LeaderHint) NextVoter(voters []string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	voter := voters[h.turn%len(voters)]
	h.turn++
	return voter
}

// Answered notes that a voter answered as the leader.
func (h *LeaderHint) Answered(voter string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leader = voter
}

// Forget drops the hint.
func (h *LeaderHint) Forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leader = ""
}

// ForgetVoter drops the hint if it names this voter.
func (h *LeaderHint) ForgetVoter(voter string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leader == voter {
		h.leader = ""
	}
}
