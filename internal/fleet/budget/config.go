package budget

import (
	"log/slog"
	"net"
	"time"

	"olivebridge/internal/fleet/raftlog"
	"olivebridge/internal/fleet/record"
)

// The channels of the members' streams that budgets use.
const (
	VotersChannel = 1 // raft between voters
	HolderChannel = 2 // requests from holders to the leader
)

// requestsPerLease is how often a holder sends a request in a lease: two requests may be lost before a grant ends, and
// demand that moves is followed within a quarter of the lease.
const requestsPerLease = 8

// Config configures a Service. It is not checked: package fleetfile has done so.
type Config struct {
	// Name is the node's name.
	Name string
	// Quotas are divided among the nodes. All nodes have the same in the same order.
	Quotas []Quota
	// Terms are the same at all nodes.
	Terms Terms
	// Voters keep the ledger, and elect the leader.
	Voters raftlog.VoterSet
	// Directory is where the node stores its seat and, on a voter, the log.
	Directory string
	// Dial opens a stream to another node's channel.
	Dial func(name string, channel byte, timeout time.Duration) (net.Conn, error)
	// Log may be nil.
	Log *slog.Logger
	// Record is given what the process holds and lends; nil: nothing.
	Record *record.Recorder
}
