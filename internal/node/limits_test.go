package node

import (
	"testing"

	"olivebridge/internal/admin"
	"olivebridge/internal/handover"
	"olivebridge/internal/protocol"
	"olivebridge/internal/transport"
)

// TestDescriptorBudgetFits: the descriptors of all purposes together fit into the limit of the process, which is its
// share of the node's limit during an upgrade. Discovery has its full number however low the limit is, and every other
// purpose has its minimum.
func TestDescriptorBudgetFits(t *testing.T) {
	const minDescriptors = 56 // the smallest number that a process can run with; see docs/DESIGN.md
	for sockets := minDescriptors; sockets <= 8192; sockets++ {
		for processes := 1; processes <= 3; processes++ {
			if sockets/processes < minDescriptors {
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
				t.Fatalf("%d processes with a limit of %d descriptors hold %d each: budget %+v, clients %+v, %d to servers",
					processes, sockets, all, budget, clients, servers)
			}
			if sockets >= 512*processes &&
				(budget.operators != admin.MaxConnections || clients.MaxOverflow != transport.DefaultOverflow) {
				t.Fatalf("%d descriptors: got budget %+v, want full pools for operators and excess clients", sockets, budget)
			}
		}
	}
}
