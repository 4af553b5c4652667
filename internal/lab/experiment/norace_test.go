//go:build !race

package experiment

// raceEnabled reports whether the race detector is on.
const raceEnabled = false
