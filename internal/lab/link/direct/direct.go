// Package direct implements a link.Fabric without faults, randomness or limits: every byte has the same delay. Tests
// of the modelled services use it, so that their results depend on the services alone.
package direct

import (
	"fmt"
	"net"
	"time"

	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
)

// Fabric delivers everything after the same delay.
type Fabric struct {
	// OpenEnds is the number of connection ends that were neither closed nor reset.
	OpenEnds int
	// ResetsLeaveUnread makes every Reset report ErrUnread to the other side.
	ResetsLeaveUnread bool

	loop      *loop.Loop
	delay     time.Duration // one way
	listeners map[string]*listener
	dialed    map[string]int // number of connections dialed, by "from>host"
}

// New returns a Fabric with a one-way delay.
func New(l *loop.Loop, delay time.Duration) *Fabric {
	return &Fabric{
		loop:      l,
		delay:     delay,
		listeners: map[string]*listener{},
		dialed:    map[string]int{},
	}
}

type listener struct {
	fabric *Fabric
	addr   string
	accept func(link.Conn) link.Handler
}

// Listen implements link.Fabric.
func (f *Fabric) Listen(addr string, accept func(link.Conn) link.Handler) (link.Listener, error) {
	if f.listeners[addr] != nil {
		return nil, fmt.Errorf("listen %s: taken", addr)
	}
	l := &listener{fabric: f, addr: addr, accept: accept}
	f.listeners[addr] = l
	return l, nil
}

// Close implements link.Listener.
func (l *listener) Close() {
	if l.fabric.listeners[l.addr] == l {
		delete(l.fabric.listeners, l.addr)
	}
}

// Dial implements link.Fabric. It ignores the timeout: the connection is up or refused after one round trip.
func (f *Fabric) Dial(from, to string, _ time.Duration, h link.Handler) link.Conn {
	host, _, _ := net.SplitHostPort(to)
	route := from + ">" + host
	f.dialed[route]++
	id := fmt.Sprintf("%s#%d", route, f.dialed[route])
	client := &end{fabric: f, id: id, handler: h}
	server := &end{fabric: f, id: id, up: true}
	client.other = server
	server.other = client
	f.OpenEnds++
	f.loop.After(f.delay, func() {
		if client.closed {
			return
		}
		l := f.listeners[to]
		if l != nil {
			f.OpenEnds++
			server.handler = l.accept(server)
		}
		f.loop.After(f.delay, func() { client.dialDone(l != nil) })
	})
	return client
}
