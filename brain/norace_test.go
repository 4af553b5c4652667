//go:build !race

package brain

const raceEnabled = false // its shadow memory makes looks dear
