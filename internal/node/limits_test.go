package node

import (
	"testing"

	"olivebridge/internal/admin"
	"olivebridge/internal/handover"
	"olivebridge/internal/protocol"
	"olivebridge/internal/transport"
)

// TestSharesFit: all that may be held at once fits what the process may hold, of the node's part in an upgrade, and what
// has to come through has its whole part however few there are.
func TestSharesFit(t *testing.T) {
	for sockets := 56; sockets <= 8192; sockets++ {
		for processes := 1; processes <= 3; processes++ {
			if sockets/processes < 56 {
				continue // the least that one process can do with: docs/DESIGN.md
			}
			part := handover.ResourceShare(processes)
			c := &protocol.Config{Sockets: sockets}
			s, clients, peers := share(c, part), clientBounds(c, part), (&Node{}).carrierConfig(c, part).MaxConns
			all := ownDescriptors + s.discovery + s.callers + clients.MaxOverflow + clients.MaxOpen + peers
			if all*processes > sockets || s.discovery != transport.MaxWatchRequests || clients.MaxOpen < 8 || peers < 8 || s.callers < 1 || clients.MaxOverflow < 1 {
				t.Fatalf("%d processes with %d descriptors hold %d each: %+v, %+v, %d to peers", processes, sockets, all, s, clients, peers)
			}
			if sockets >= 512*processes && (s.callers != admin.MaxConnections || clients.MaxOverflow != transport.DefaultOverflow) {
				t.Fatalf("%d descriptors: %+v", sockets, s)
			}
		}
	}
}
