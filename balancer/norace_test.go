//go:build !race

package balancer

const raceEnabled = false // its shadow memory makes looks dear
