//go:build race

package stage

// racing: the detector's stack of a bubble's timers overflows after some
// thousand of them (Go 1.26.8, segmentation fault in the detector itself), so
// that long plays are for builds without it, and for worker processes.
const racing = true
