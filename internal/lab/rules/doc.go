// Package rules checks the invariants of a run of nodes: what every client,
// peer and operator may rely on. A Judge sees what crosses the network and
// observes the events of the modelled services; it never looks into a node.
package rules
