package node

import "context"

// Resources are the resources that a node holds at one moment.
type Resources struct {
	// OpenCalls is the number of calls in the call table: those without an answer or with attempts in flight.
	OpenCalls int
	// CallIDs is the number of distinct client request ids of these calls.
	CallIDs int
	// Attempts is the number of attempts in flight.
	Attempts int
	// Servers is the number of known servers.
	Servers int
	// Timers is the number of the balancer's pending timers.
	Timers int
	// Watching reports whether a watch of the endpoint list is running.
	Watching bool
	// ClientConns is the number of client connections.
	ClientConns int
	// ServerConns is the number of connections to servers, including idle ones and those being opened.
	ServerConns int
}

// Resources returns the resources that the node holds. The router takes its part of the counts between two events. It
// returns an error if ctx ends first or the router has ended.
func (n *Node) Resources(ctx context.Context) (Resources, error) {
	snapshot, err := n.router.Snapshot(ctx)
	if err != nil {
		return Resources{}, err
	}
	return Resources{
		OpenCalls:   snapshot.Calls,
		CallIDs:     snapshot.ClientRequestIDs,
		Attempts:    snapshot.AttemptsInFlight,
		Servers:     snapshot.Upstreams,
		Timers:      snapshot.Timers,
		Watching:    snapshot.WatchRunning,
		ClientConns: n.frontend.ClientConns(),
		ServerConns: n.transport.Conns(),
	}, nil
}

// Counters returns the node's counters as attributes for the log line "counters".
func (n *Node) Counters() []any {
	attributes := []any{
		"malformed", n.frontend.Malformed(),
		"shed", n.frontend.Shed(),
		"memory", n.memory.String(),
		"pauses", n.frontend.PausedConns(),
		"clients", n.frontend.ClientStats(),
		"calls", n.router.Counters().String(),
	}
	if n.options.Fleet != nil {
		attributes = append(attributes, "fleet", n.options.Fleet.Counters())
	}
	return attributes
}
