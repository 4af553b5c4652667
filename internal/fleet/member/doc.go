// Package member keeps a node's view of which nodes are in its fleet. Failure detection and gossip are done by
// hashicorp/memberlist, an implementation of SWIM. This package adds views that other packages can rely on: immutable
// and numbered, with the incarnations of a node told apart, a planned leave told from a failure, and the two processes
// of an upgrade counted as one node.
//
// Service is the entry point. The pure parts (Table, Claim, Partition, the ring and the rules of mass_failure.go) use
// no I/O, clock or goroutines. An agent adapts memberlist for one incarnation of the node, and transport carries
// memberlist's packets and the streams of all fleet packages over one UDP and TCP port.
package member
