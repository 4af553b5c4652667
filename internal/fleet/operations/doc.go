// Package operations executes operators' calls for the whole fleet. An operator can suspend a server at all nodes, or
// begin a maintenance round, in which servers are drained, held out of use and restored one after the other. The effect
// of a call survives the loss of any node.
//
// The ledger is a deterministic state machine, and CanAdvance is a pure function that decides when a round advances:
// neither has I/O, clock or goroutines. The voters replicate the ledger through a raft log (see package raftlog). Each
// process runs a Service, which periodically reports to the leader and applies the suspensions in the response
// (reporter, suspensions, client). While its process is the leader, the Service also handles the requests of other
// nodes (server) and advances the running round (leader). Operators may make their calls at any node (operator).
package operations
