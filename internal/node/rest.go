package node

import "context"

// Rest is what a node holds at one moment.
type Resources struct {
	OpenCalls   int  // in the table
	CallIDs     int  // of the open calls
	Attempts    int  // whose outcome is not in
	Servers     int  // known
	Timers      int  // of the decisions
	Watching    bool // one runs
	ClientConns int
	ServerConns int // idle ones, and those being opened, included
}

// Rest asks the decision goroutine what it holds, between two events. It fails
// when ctx ends first, or the decisions have ended.
func (n *Node) Resources(ctx context.Context) (Resources, error) {
	r, err := n.router.Snapshot(ctx)
	if err != nil {
		return Resources{}, err
	}
	return Resources{
		OpenCalls: r.Calls, CallIDs: r.ClientRequestIDs, Attempts: r.AttemptsInFlight, Servers: r.Upstreams, Timers: r.Timers, Watching: r.WatchRunning,
		ClientConns: n.front.ClientConns(), ServerConns: n.carrier.Conns(),
	}, nil
}

// Counters are the arguments of the log's line of counters.
func (n *Node) Counters() []any {
	all := []any{"malformed", n.front.Malformed(), "shed", n.front.Shed(), "clients", n.front.ClientStats(),
		"calls", n.router.Counters().String()}
	if n.parts.Fleet != nil {
		all = append(all, "fleet", n.parts.Fleet.Counters())
	}
	return all
}
