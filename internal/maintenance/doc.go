// Package maintenance keeps which servers operators have suspended. It stands between the lists of endpoints and the
// Balancer: a suspended server is shown to the Balancer as draining, whatever the lists say, and a restored one as a
// server that has just started. It does no I/O and reads no clock.
package maintenance
