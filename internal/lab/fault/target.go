package fault

import "time"

// Target is the run on which faults act. Its methods and those of the types that it returns are called on the loop. A
// heal function that a method returns undoes the effect of the method; it is called once.
type Target interface {
	Peer(name string) Peer
	Node(name string) Node
	Crowd(name string) Crowd
	Discovery() Discovery
	Network() Network
	// Zone returns the zone of a host; it is empty for hosts of clients.
	Zone(host string) string
}

// Peer is the process of one server, including the network endpoint at its address.
type Peer interface {
	Start() // starts the process cold; for a late peer this is the first start
	Kill()  // the process dies and all connections of its host close
	Down() bool
	Drain(rejectAfter, exitAfter time.Duration)
	Slow(factor float64) (heal func())
	Fail(share float64) (heal func())
	Costly(class string, share, factor float64) (heal func())
	Spoil(share float64) (heal func())
	Surplus(share float64) (heal func())
	Silent(share float64) (heal func())
	RejectRequests(share float64) (heal func())
	Break(share float64) (heal func())
	Stall(d time.Duration)
}

// Node is one instance of the program under test.
type Node interface {
	Start() // with its initial configuration and the current address of discovery
	Kill()
	Down() bool
	Term()                     // SIGTERM: the node drains and exits
	Hup(discovery string)      // SIGHUP; an empty address leaves the configuration unchanged
	Operate(call, peer string) // an operator's call; the run fails if the node rejects it
}

// Crowd is one crowd of clients.
type Crowd interface {
	Surge(factor float64) (heal func())
	LeaveMore(share float64) (heal func())
}

// Discovery is the service that lists the peers.
type Discovery interface {
	Down() (heal func())
	Break(share float64) (heal func())
	Stall(share float64) (heal func())
	Refuse(share float64) (heal func())
	Delay(factor float64) (heal func())
	Garble(share float64) (heal func())
	Blind() (heal func())
	Move() (addr string)
	Vanished(peer string)
	Returned(peer string)
}

// Network is the network between machines, which are identified by their hosts.
type Network interface {
	Vanish(host string)
	Return(host string)
	Cut(a, b func(host string) bool) (heal func())
	Hush(pick func(conn string) bool)
	HushNew(share float64, to func(host string) bool) (stop func())
	Slow(factor float64, a, b func(host string) bool) (heal func())
}
