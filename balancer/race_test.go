//go:build race

package balancer

const raceEnabled = true // its shadow memory makes looks dear
