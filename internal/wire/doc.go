// Package wire encodes and decodes the simulator's binary protocol: Frame and Event decode batches of events, and Reply
// encodes the actions that answer a batch. The package makes no decisions. It translates the simulator's terms into
// those of package balancer, so that no other package needs them.
package wire
