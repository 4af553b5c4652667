package member

import (
	"errors"
	"net"
	"slices"
	"time"
)

// ErrNoMembership is returned by Service.Dial if this process does not hold the node's membership.
var ErrNoMembership = errors.New("this process has no place in the fleet")

// NotMemberError is returned by Service.Dial for a node that is not present in the view.
type NotMemberError struct {
	Name string // name of the node
}

// Error implements error.
func (e *NotMemberError) Error() string { return e.Name + " is not in the fleet" }

// Dial opens a stream to a channel of another member. A process that has released the membership may call it for
// predecessorGracePeriod, for the members known at the release. The error is ErrNoMembership, a *NotMemberError or an
// error of the network.
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

// DialAddr opens a stream to a channel of the node at an address. The process need not hold the membership.
func (s *Service) DialAddr(addr string, channel byte, timeout time.Duration) (net.Conn, error) {
	return dialOnlyTransport(s.config, &s.traffic).dial(addr, channel, timeout)
}

// KnownAddrs returns the addresses of other nodes that a process may contact before it holds the membership: the
// configured addresses to join and the stored addresses of members.
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
