package member

import (
	"errors"
	"net"
	"slices"
	"time"
)

// ErrNoMembership is returned by Service.Dial where this process does not have the node's membership.
var ErrNoMembership = errors.New("this process has no place in the fleet")

// NotMemberError is returned by Service.Dial for a node that is not present.
type NotMemberError struct {
	Name string // of the node
}

// Error implements error.
func (e *NotMemberError) Error() string { return e.Name + " is not in the fleet" }

// Dial opens a stream to a member's channel. A process that has released the membership may do so for predecessorTime,
// to the members that it knew then. The errors are ErrNoMembership, a NotMemberError, or those of the network.
func (s *Service) Dial(name string, channel byte, timeout time.Duration) (net.Conn, error) {
	s.mu.Lock()
	a := s.agent
	view := s.table.View()
	releasedAt := s.releasedAt
	s.mu.Unlock()
	inGracePeriod := !releasedAt.IsZero() && time.Since(releasedAt) <= predecessorGracePeriod
	if a == nil && !inGracePeriod {
		return nil, ErrNoMembership
	}
	m, known := view.Lookup(name)
	if !known || !m.State.Present() {
		return nil, &NotMemberError{Name: name}
	}
	if a == nil {
		return s.DialAddr(m.Addr, channel, timeout)
	}
	return a.transport.dial(m.Addr, channel, timeout)
}

// DialAddr opens a stream to a channel of the node at an address. The process need not have the membership.
func (s *Service) DialAddr(addr string, channel byte, timeout time.Duration) (net.Conn, error) {
	return dialOnlyTransport(s.config, &s.traffic).dial(addr, channel, timeout)
}

// KnownAddrs returns the addresses of other members that a process may ask before it has the membership: those to join,
// and those known last.
func (s *Service) KnownAddrs() []string {
	own := []string{s.config.Advertise.String(), s.config.Listen.String()}
	var addrs []string
	for _, addr := range slices.Concat(s.config.Join, readKnownAddrs(s.config.Directory)) {
		if !slices.Contains(own, addr) && !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}
