//go:build race

package brain

const raceEnabled = true // its shadow memory makes looks dear
