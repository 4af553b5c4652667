//go:build race

package main

const raceEnabled = true // the race detector's shadow memory counts towards the process's peak memory
