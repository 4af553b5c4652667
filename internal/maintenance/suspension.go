package maintenance

import "sync/atomic"

// Suspension tells whether a server is suspended. Whoever is about to send the first byte of something new asks it,
// since the Balancer may not have heard of the suspension yet. It is safe for concurrent use; a nil Suspension is never
// active.
type Suspension struct{ active atomic.Bool }

// Active reports whether nothing new may be sent to the server.
func (s *Suspension) Active() bool { return s != nil && s.active.Load() }
