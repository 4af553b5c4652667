// Package network is the in-memory network of the lab. It carries bytes between machines with the delays of their
// route, splits writes into pieces, and applies network faults. The modelled services use it through callbacks (it
// implements link.Fabric); the nodes use the blocking connections of package net, which a Host opens.
//
// Everything between the two ends of a connection runs on one loop.Loop. Operations that a node performs on its own
// goroutines are posted there, under keys that do not depend on the scheduling of these goroutines. The Tap observes
// the operations of one instant in the order of the keys.
package network

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
	"olivebridge/internal/lab/world"
)

// windowSize is the Window of networks that leave it at zero, in bytes. A sender that has reached the window blocks, as
// with a full socket buffer.
const windowSize = 256 << 10

// sendBufferPart is the size of the parts in which the kernel of a client takes a write, in bytes.
const sendBufferPart = 16 << 10

// Net is a simulated network. Its methods belong to the goroutine of the Loop, except Host, which is safe for
// concurrent use.
type Net struct {
	loop   *loop.Loop
	seed   uint64
	config world.Net
	tap    link.Tap

	placements  map[string]placement
	defaultZone string            // zone of the machine placed first; used for machines without a placement
	dialCounts  map[string]uint64 // number of dials, by "from>host"
	conns       map[string]*conn  // connections of which a program holds an end, by ID

	partitions    []*hostRule
	slowdowns     []*hostRule
	silenceFaults []*silenceFault
	vanished      map[string]bool // machines that are off the network

	mu        sync.Mutex // guards the fields below, which nodes use on their goroutines
	listeners map[string]listener
	hosts     map[string]*Host
}

var _ link.Fabric = (*Net)(nil)

// New returns a network that draws its random numbers from seed. tap observes all events and may be nil.
func New(l *loop.Loop, seed uint64, c world.Net, tap link.Tap) *Net {
	c.Window = cmp.Or(c.Window, windowSize)
	return &Net{
		loop: l, seed: seed, config: c, tap: tap,
		placements: map[string]placement{},
		dialCounts: map[string]uint64{},
		conns:      map[string]*conn{},
		vanished:   map[string]bool{},
		listeners:  map[string]listener{},
		hosts:      map[string]*Host{},
	}
}

// OpenCount returns the number of connections of which a program holds at least one end.
func (n *Net) OpenCount() int { return len(n.conns) }

// OpenIDs returns the sorted IDs of the connections that OpenCount counts.
func (n *Net) OpenIDs() []string { return slices.Sorted(maps.Keys(n.conns)) }

// forEachConn calls f for every held connection, in the order of their IDs.
func (n *Net) forEachConn(f func(c *conn)) {
	for _, id := range n.OpenIDs() {
		if c := n.conns[id]; c != nil { // an earlier call of f may have ended the connection
			f(c)
		}
	}
}

// observe reports an event to the Tap, if there is one.
func (n *Net) observe(kind link.EventKind, c *conn, back bool, data []byte, note string) {
	if n.tap != nil {
		n.tap.Observe(link.Event{
			At: n.loop.Now(), Kind: kind, Conn: c.id, From: c.from, To: c.to,
			Back: back, Data: data, Note: note,
		})
	}
}

// hostOf returns the host part of an address.
func hostOf(addr string) string {
	if i := strings.LastIndexByte(addr, ':'); i >= 0 {
		return addr[:i]
	}
	return addr
}

// kernelDialTimeout is the dial timeout where the caller sets none: the time for which a kernel retries a SYN.
const kernelDialTimeout = 127 * time.Second
