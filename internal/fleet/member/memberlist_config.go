package member

import (
	"io"
	"log"
	"time"

	"github.com/hashicorp/memberlist"
)

// memberlist's times. A member is probed by some other about every probeInterval; after probeInterval without an
// answer, over others and over TCP too, it is suspect, and dead once it has not refuted that for suspicionMultiplier x
// probeInterval x log10 of the members (1 at least), or up to twice that where nobody else confirms it: 1.5 to 3 s
// with 5 members, 2.5 to 5 s with 50. docs/FLEET-DESIGN.md weighs them.
const (
	probeInterval       = 400 * time.Millisecond
	probeTimeout        = 200 * time.Millisecond
	suspicionMultiplier = 3
	// suspicionMaxMultiplier is how many times longer a suspicion lasts that nobody else confirms.
	suspicionMaxMultiplier = 2
	// indirectProbes is how many members are asked to probe one that does not answer; memberlist's default is 3.
	indirectProbes = 8
	// maxAwareness is how many times longer a process may wait that seems to be slow itself.
	maxAwareness     = 4
	gossipInterval   = 200 * time.Millisecond
	pushPullInterval = 5 * time.Second
	streamTimeout    = 2 * time.Second
	// reclaimTime is after how long a dead node's name may be taken by another address. It is short: a node may come
	// back at another address, and while it lives its name is not given to others.
	reclaimTime = time.Millisecond
)

// memberlistConfig returns the configuration of memberlist for an agent.
func (a *agent) memberlistConfig() *memberlist.Config {
	own := a.service.config
	c := memberlist.DefaultLANConfig()
	c.Name = own.Name
	c.Transport = a.transport
	c.BindAddr = own.Listen.Addr().String()
	c.BindPort = int(own.Listen.Port())
	c.AdvertiseAddr = own.Advertise.Addr().String()
	c.AdvertisePort = int(own.Advertise.Port())
	c.ProbeInterval = probeInterval
	c.ProbeTimeout = probeTimeout
	c.IndirectChecks = indirectProbes
	c.SuspicionMult = suspicionMultiplier
	c.SuspicionMaxTimeoutMult = suspicionMaxMultiplier
	c.GossipInterval = gossipInterval
	c.PushPullInterval = pushPullInterval
	c.TCPTimeout = streamTimeout
	c.AwarenessMaxMultiplier = maxAwareness
	c.DeadNodeReclaimTime = reclaimTime
	c.EnableCompression = false // messages are small, and are observed
	c.RequireNodeNames = false
	c.Delegate = a
	c.Events = a
	c.Conflict = a
	c.Alive = a
	c.LogOutput = nil
	c.Logger = log.New(io.Discard, "", 0) // what matters of it shows in views and counters
	return c
}
