// Package raftlog implements a raft log that the voters of a fleet replicate. Committed entries survive the loss of any
// minority of the voters.
//
// Each service provides its own state machine (a raft.FSM). A Participant keeps the Log open as long as its process
// holds the node's membership and the node is a voter. The set of voters is itself an entry of the log: a VoterSet
// replaces one with a lower edition, and the leader then changes the raft configuration accordingly, one Change at a
// time.
package raftlog
