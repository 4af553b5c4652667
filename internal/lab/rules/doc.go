// Package rules checks the invariants of a run of nodes: the guarantees to
// clients, peers and operators. A Judge observes the bytes on the network and
// the events of the modelled services; it does not access the state of a node.
package rules
