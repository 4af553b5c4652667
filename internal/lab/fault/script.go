// Package fault defines scripts of faults, which are drawn from seeds or written by hand in TOML, and applies their
// faults to a run. A script describes a whole run: its world and its faults.
package fault

import (
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/world"
)

// Script describes a run.
type Script struct {
	Seed   uint64       `toml:"seed"`   // of all random streams of the run
	Length figure.Span  `toml:"length"` // clients send requests until then; then all faults end and open requests finish
	World  world.Config `toml:"world"`
	Faults []Fault      `toml:"fault"`
}

// Fault is a failure or an action of operators. KindTable and FleetTable list the parameters that each kind uses and
// their limits.
type Fault struct {
	Kind         string      `toml:"kind"`
	At           figure.Span `toml:"at"`
	For          figure.Span `toml:"for,omitempty"`
	Peers        []string    `toml:"peers,omitempty"`
	Replacements []string    `toml:"heirs,omitempty"` // late peers that replace Peers, in the same order
	Nodes        []string    `toml:"nodes,omitempty"`
	Clients      []string    `toml:"clients,omitempty"`
	Zone         string      `toml:"zone,omitempty"`
	Class        string      `toml:"class,omitempty"`
	Share        float64     `toml:"share,omitempty"`     // of requests, calls or connections
	Factor       float64     `toml:"factor,omitempty"`    // factor of latency, cost or rate
	Pause        figure.Span `toml:"pause,omitempty"`     // from one peer or node to the next
	TurnAway     figure.Span `toml:"turn_away,omitempty"` // from the start of a drain until new requests are rejected
	Back         figure.Span `toml:"back,omitempty"`      // from a peer's exit until it or its replacement starts
}
