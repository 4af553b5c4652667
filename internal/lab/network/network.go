// Package network carries the bytes of the lab between machines, in memory: with
// the delays of the way, cut into pieces, and with the faults that networks have.
// The world's ends hang on it by callbacks (it is a link.Fabric), the nodes by
// the blocking connections of package net, from a Host.
//
// All that happens between two ends happens on one loop.Loop. What a node does on
// its goroutines is posted there, under keys that do not hang on which of them ran
// first; within one instant, the Tap sees it in the order of these keys.
package network

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
	"olivebridge/internal/lab/world"
)

// windowSize is how many bytes of one direction may be on their way or unread. A
// sender beyond it waits, as behind a full socket buffer.
const windowSize = 256 << 10

// Net is the network.
type Net struct {
	loop   *loop.Loop
	seed   uint64
	config world.Net
	tap    link.Tap

	placements  map[string]placement
	defaultZone string            // zone of the machine placed first, and of those never placed
	dialCounts  map[string]uint64 // how many there were, by "from>host"
	conns       map[string]*conn  // those that a program holds an end of

	partitions    []*hostRule
	slowdowns     []*hostRule
	silenceFaults []*silenceFault
	vanished      map[string]bool // machines that have vanished

	mu        sync.Mutex // nodes come here from their goroutines
	listeners map[string]listener
	hosts     map[string]*Host
}

var _ link.Fabric = (*Net)(nil)

// New makes a network whose draws hang on seed. tap sees all that crosses it, and
// may be nil.
func New(l *loop.Loop, seed uint64, c world.Net, tap link.Tap) *Net {
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

// OpenCount counts the connections that a program at either end holds.
func (n *Net) OpenCount() int { return len(n.conns) }

// OpenIDs names them, sorted.
func (n *Net) OpenIDs() []string { return slices.Sorted(maps.Keys(n.conns)) }

// forEachConn calls f for every connection that is held, in the order of the names.
func (n *Net) forEachConn(f func(c *conn)) {
	for _, id := range n.OpenIDs() {
		if c := n.conns[id]; c != nil { // f may have ended it
			f(c)
		}
	}
}

// observe shows the Tap what crosses.
func (n *Net) observe(what link.EventKind, c *conn, back bool, data []byte, note string) {
	if n.tap != nil {
		n.tap.Observe(link.Event{
			At: n.loop.Now(), Kind: what, Conn: c.id, From: c.from, To: c.to,
			Back: back, Data: data, Note: note,
		})
	}
}

// hostOf is the machine of an address.
func hostOf(addr string) string {
	if i := strings.LastIndexByte(addr, ':'); i >= 0 {
		return addr[:i]
	}
	return addr
}

// kernelDialTimeout is how long a machine goes on asking for a connection.
const kernelDialTimeout = 127 * time.Second
