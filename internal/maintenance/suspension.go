package maintenance

import "sync/atomic"

// Suspension holds whether a server is suspended. It must be checked before the first byte of a new request is sent,
// because the Balancer may not have received the suspension yet. It is safe for concurrent use. A nil Suspension is
// never active.
type Suspension struct{ active atomic.Bool }

// Active reports whether the server is suspended, so that no new request may be sent to it.
func (s *Suspension) Active() bool { return s != nil && s.active.Load() }
