package node

import "context"

// Rest is what a node holds at one moment.
type Rest struct {
	Calls       int  // in the table
	Names       int  // of the open calls
	Tries       int  // whose outcome is not in
	Peers       int  // known
	Timers      int  // of the decisions
	Watch       bool // one runs
	ClientConns int
	PeerConns   int // idle ones, and those being opened, included
}

// Rest asks the decision goroutine what it holds, between two events. It fails
// when ctx ends first, or the decisions have ended.
func (n *Node) Rest(ctx context.Context) (Rest, error) {
	r, err := n.router.Rest(ctx)
	if err != nil {
		return Rest{}, err
	}
	return Rest{
		Calls: r.Calls, Names: r.Names, Tries: r.Tries, Peers: r.Peers, Timers: r.Timers, Watch: r.Watch,
		ClientConns: n.front.ClientConns(), PeerConns: n.carrier.Conns(),
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
