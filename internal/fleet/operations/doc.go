// Package operations carries out operators' calls for the whole fleet, so that they survive the loss of any node:
// servers that all nodes suspend, and rounds of maintenance, in which one server after the other is drained, held out
// of use and restored.
//
// The ledger is the pure state machine, and CanAdvance the pure decision when a round goes on: neither has I/O, clock
// or goroutines of its own. Voters replicate the ledger by a raft log (see package raftlog). A Service is a process's
// part: its node reports to the leader at an interval and applies the suspensions that it is told of (reporter,
// suspensions, client); the leader answers (server) and advances the round (leader); an operator's call may be made at
// any node (operator).
package operations
