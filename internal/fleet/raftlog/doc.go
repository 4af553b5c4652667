// Package raftlog is a raft log that the voters of a fleet replicate. What it holds survives the loss of any minority
// of them.
//
// A service brings its own state machine (a raft.FSM). A Participant opens the Log while its process holds the node's
// place and the node is a voter, and closes it when either ends. Who the voters are is itself agreed on in the log: a
// VoterSet with a higher edition replaces one with a lower, and the leader then changes the raft configuration, one
// Change at a time.
package raftlog
