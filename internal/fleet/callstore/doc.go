// Package callstore replicates the state of calls with an idempotency key: the owner of each call, whether the call may
// have run, and its outcome. The state survives the loss of the node that ran the call. docs/TAKEOVER-DESIGN.md
// explains why no call runs twice.
//
// The ledger is a deterministic state machine without I/O, clock or goroutines. The voters replicate it through a raft
// log (see package raftlog). Each process runs a Service, which sends requests to the leader over one stream per voter
// (client, stream). While its process is the leader, the Service also handles the requests of other processes and
// releases the calls of processes that have failed (server, leader).
package callstore
