//go:build race

package stage

// racing reports whether the race detector is on. Its stack for the timers of a bubble overflows after some thousand
// timers (Go 1.26.8, segmentation fault in the detector itself). Long runs are therefore played only in builds without
// the detector, and in worker processes.
const racing = true
