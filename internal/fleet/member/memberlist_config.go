package member

import (
	"io"
	"log"
	"time"

	"github.com/hashicorp/memberlist"
)

// Timing of memberlist. Each member is probed by another member about once in every probeInterval. A member becomes
// suspect if it does not answer within probeInterval, neither directly nor through other members or TCP. A suspect
// member is declared dead if it has not refuted the suspicion after suspicionMultiplier x probeInterval x max(1, log10
// of the number of members), or after up to suspicionMaxMultiplier times as long if no other member confirms the
// suspicion. This takes 1.5 to 3 s with 5 members and 2.5 to 5 s with 50. docs/FLEET-DESIGN.md discusses the choice of
// these values.
const (
	probeInterval       = 400 * time.Millisecond
	probeTimeout        = 200 * time.Millisecond
	suspicionMultiplier = 3
	// suspicionMaxMultiplier is the factor by which a suspicion lasts longer if no other member confirms it.
	suspicionMaxMultiplier = 2
	// indirectProbes is the number of members that are asked to probe a member that does not answer; memberlist's default
	// is 3.
	indirectProbes = 8
	// maxAwareness is the maximum factor by which memberlist extends its waits if this process itself seems to be slow.
	maxAwareness     = 4
	gossipInterval   = 200 * time.Millisecond
	pushPullInterval = 5 * time.Second
	streamTimeout    = 2 * time.Second
	// reclaimTime is the delay from the death of a node until another address may claim the node's name. It is short
	// because a node may come back at another address; the name of a live node is not given to another address.
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
	c.EnableCompression = false // messages are small, and observe reads them uncompressed
	c.RequireNodeNames = false
	c.Delegate = a
	c.Events = a
	c.Conflict = a
	c.Alive = a
	c.LogOutput = nil
	c.Logger = log.New(io.Discard, "", 0) // views and counters show the relevant events
	return c
}
