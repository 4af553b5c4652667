package node

import (
	"testing"

	"olivebridge/internal/admin"
	"olivebridge/internal/handover"
	"olivebridge/internal/protocol"
	"olivebridge/internal/transport"
)

// TestDescriptorBudgetFits: all that may be held at once fits what the process may hold, of the node's share in an
// upgrade, and what has to come through has its whole part however few descriptors there are.
func TestDescriptorBudgetFits(t *testing.T) {
	const least = 56 // that one process can do with: docs/DESIGN.md
	for sockets := least; sockets <= 8192; sockets++ {
		for processes := 1; processes <= 3; processes++ {
			if sockets/processes < least {
				continue
			}
			share := handover.ResourceShare(processes)
			c := &protocol.Config{Sockets: sockets}
			budget := divideDescriptors(c, share)
			clients := clientLimits(c, share)
			servers := (&Node{}).upstreamConfig(c, share).MaxConns
			all := reservedDescriptors + budget.discovery + budget.operators + clients.MaxOverflow + clients.MaxOpen + servers
			if all*processes > sockets || budget.discovery != transport.MaxWatchRequests || clients.MaxOpen < 8 ||
				servers < 8 || budget.operators < 1 || clients.MaxOverflow < 1 {
				t.Fatalf("%d processes with %d descriptors hold %d each: %+v, %+v, %d to servers",
					processes, sockets, all, budget, clients, servers)
			}
			if sockets >= 512*processes &&
				(budget.operators != admin.MaxConnections || clients.MaxOverflow != transport.DefaultOverflow) {
				t.Fatalf("%d descriptors: %+v", sockets, budget)
			}
		}
	}
}
