//go:build race

package experiment

// raceEnabled reports whether the race detector is on (see package stage). In long runs the detector's stack for the
// timers of a synctest bubble overflows, which shows as a segmentation fault in the runtime's timers.
const raceEnabled = true
