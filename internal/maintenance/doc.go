// Package maintenance records which servers operators have suspended. The Router passes each endpoint list through a
// Registry before the Balancer receives it: a suspended server is reported to the Balancer as draining, regardless of
// the lists, and a restored server as one that has just started. The package does no I/O and reads no clock.
package maintenance
