package fault

import "time"

// Target is what faults act on: a run, as the stage builds it. All is called
// on the loop. What returns a heal is undone by it; it is called once.
type Target interface {
	Peer(name string) Peer
	Node(name string) Node
	Crowd(name string) Crowd
	Discovery() Discovery
	Network() Network
	// Zone is where a machine stands; empty for those of clients.
	Zone(host string) string
}

// Peer is one server's process, and what stands at its address for it.
type Peer interface {
	Start() // cold; a late peer for the first time
	Kill()  // the process dies, and with it the connections of its host
	Down() bool
	Drain(turnAwayAfter, exitAfter time.Duration)
	Slow(factor float64) (heal func())
	Fail(share float64) (heal func())
	Costly(class string, share, factor float64) (heal func())
	Spoil(share float64) (heal func())
	Surplus(share float64) (heal func())
	Silent(share float64) (heal func())
	TurnAway(share float64) (heal func())
	Break(share float64) (heal func())
	Stall(d time.Duration)
}

// Node is one instance of the program under test.
type Node interface {
	Start() // with its first configuration, but discovery as it is now
	Kill()
	Down() bool
	Term()                     // SIGTERM: it ends by itself, in its time
	Hup(discovery string)      // SIGHUP; empty: nothing has changed
	Operate(call, peer string) // an operator's call; the run fails if it gets no yes
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

// Network is the way between machines, known by their hosts.
type Network interface {
	Vanish(host string)
	Return(host string)
	Cut(a, b func(host string) bool) (heal func())
	Hush(pick func(conn string) bool)
	HushNew(share float64, to func(host string) bool) (stop func())
	Slow(factor float64, a, b func(host string) bool) (heal func())
}
