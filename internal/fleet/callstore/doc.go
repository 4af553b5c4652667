// Package callstore stores the outcome of calls with an idempotency key, so that it survives the loss of the node that
// ran the call: who owns a call, whether it may have run, and what came of it. docs/TAKEOVER-DESIGN.md says why no call
// runs twice.
//
// The ledger is the pure state machine: it has no I/O, clock or goroutines of its own. Voters replicate it by a raft
// log (see package raftlog). A Service is a process's part: it asks the leader over one stream to each voter (client,
// stream), answers others if it leads (server, leader), and releases the calls of processes that have failed.
package callstore
