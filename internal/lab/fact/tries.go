package fact

// Tries hears, on the loop, what becomes of attempts at the peers' own ends:
// enough to hold nodes to what no peer may meet, where no byte of the network
// is read for it.
type Tries interface {
	// Came: an attempt of a call came whole to a peer; safe: repeats are harmless.
	Came(peer, call string, safe bool)
	// Spared: the peer answers that one which came will not run.
	Spared(peer, call string)
	// Answered: the peer answers one with a 200 and this body, not to be kept.
	Answered(peer, call string, body []byte)
}
