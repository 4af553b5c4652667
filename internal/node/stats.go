package node

import "context"

// Resources are what a node holds at one moment.
type Resources struct {
	// OpenCalls counts the calls in the table: not answered yet, or with attempts in flight.
	OpenCalls int
	// CallIDs counts the ids of these.
	CallIDs int
	// Attempts counts those in flight.
	Attempts int
	// Servers counts those that are known.
	Servers int
	// Timers counts those of the balancer.
	Timers int
	// Watching reports whether a watch of the endpoint list runs.
	Watching bool
	// ClientConns counts client connections.
	ClientConns int
	// ServerConns counts connections to servers, idle ones and those being opened included.
	ServerConns int
}

// Resources asks the router's goroutine what it holds, between two events. It fails when ctx ends first, or when the
// router has ended.
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

// Counters returns the attributes of the log's line of counters.
func (n *Node) Counters() []any {
	attributes := []any{
		"malformed", n.frontend.Malformed(),
		"shed", n.frontend.Shed(),
		"clients", n.frontend.ClientStats(),
		"calls", n.router.Counters().String(),
	}
	if n.options.Fleet != nil {
		attributes = append(attributes, "fleet", n.options.Fleet.Counters())
	}
	return attributes
}
