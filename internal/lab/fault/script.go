// Package fault holds what goes wrong in a run: scripts, drawn from seeds or
// written by hand, in TOML. A script is the whole run: its world, and its faults.
package fault

import (
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/world"
)

// Script is a run.
type Script struct {
	Seed   uint64       `toml:"seed"`   // of all random numbers of the run
	Length figure.Span  `toml:"length"` // clients ask until then; then all faults end, and the world comes to rest
	World  world.Config `toml:"world"`
	Faults []Fault      `toml:"fault"`
}

// Fault is one thing that goes wrong, or is done by operators. Which figures a
// kind uses, and their bounds, is stated with the kinds, in kinds.go.
type Fault struct {
	Kind         string      `toml:"kind"`
	At           figure.Span `toml:"at"`
	For          figure.Span `toml:"for,omitempty"`
	Peers        []string    `toml:"peers,omitempty"`
	Replacements []string    `toml:"heirs,omitempty"` // late peers, who take the places of Peers, in order
	Nodes        []string    `toml:"nodes,omitempty"`
	Clients      []string    `toml:"clients,omitempty"`
	Zone         string      `toml:"zone,omitempty"`
	Class        string      `toml:"class,omitempty"`
	Share        float64     `toml:"share,omitempty"`     // of requests, calls or connections
	Factor       float64     `toml:"factor,omitempty"`    // times slower, dearer, more
	Pause        figure.Span `toml:"pause,omitempty"`     // between one peer, or node, and the next
	TurnAway     figure.Span `toml:"turn_away,omitempty"` // from a drain until new requests are turned away
	Back         figure.Span `toml:"back,omitempty"`      // from a peer's end until it, or its heir, starts
}
