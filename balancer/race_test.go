//go:build race

package balancer

// raceEnabled is whether the race detector is on, whose shadow memory makes each memory access expensive.
const raceEnabled = true
