//go:build race

package main

const raceEnabled = true // its shadow memory is not the node's
