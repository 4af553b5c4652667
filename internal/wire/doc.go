// Package wire is the codec of the simulator's wire: frames of events in (Frame, Event), frames of actions out (Reply).
// It makes no decisions. The simulator's own terms end here: the package speaks in the terms of the balancer.
package wire
