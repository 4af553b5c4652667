// Package member maintains a node's view of the members of its fleet. Failure detection and gossip are done by
// hashicorp/memberlist, an implementation of SWIM. This package adds immutable, numbered views on which other packages
// can rely. The views distinguish the incarnations of a node, distinguish a planned leave from a failure, and count the
// two processes of an upgrade as one node.
//
// Service is the entry point. The pure parts (Table, Claim, Partition, the ring and the rules of mass_failure.go) use
// no I/O, clock or goroutines. An agent adapts memberlist for one incarnation of the node, and transport carries
// memberlist's packets and the streams of all fleet packages over one UDP and TCP port.
package member
