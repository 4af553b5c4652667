package budget

import (
	"log/slog"
	"net"
	"time"

	"olivebridge/internal/fleet/raftlog"
	"olivebridge/internal/fleet/record"
)

// Channels of the streams between members that carry the quota protocol.
const (
	VotersChannel = 1 // raft messages between voters
	HolderChannel = 2 // requests of holders to the leader
)

// requestsPerLease is the number of requests that a holder sends per lease. With 8, two requests may be lost before a
// grant expires, and grants follow a change of demand within a quarter of the lease.
const requestsPerLease = 8

// Config configures a Service. New does not validate it, because package fleetfile already has.
type Config struct {
	// Name is the node's name.
	Name string
	// Quotas are the limits that the nodes share. The list and its order are the same on all nodes.
	Quotas []Quota
	// Terms are the same on all nodes.
	Terms Terms
	// Voters replicate the ledger and elect the leader.
	Voters raftlog.VoterSet
	// Directory is the directory in which the node stores its seat and, on a voter, the raft log.
	Directory string
	// Dial opens a stream to a channel of another node.
	Dial func(name string, channel byte, timeout time.Duration) (net.Conn, error)
	// Log receives log lines; nil: none are written.
	Log *slog.Logger
	// Record receives the process's holdings, grants and count requests; nil: nothing is recorded.
	Record *record.Recorder
}
