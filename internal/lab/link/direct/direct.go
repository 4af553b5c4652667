// Package direct implements a link.Fabric without faults, chance or bounds:
// every byte takes the same time. Tests of the modelled services run over it, so
// that what they see is caused by the services alone.
package direct

import (
	"fmt"
	"net"
	"time"

	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
)

// Fabric carries everything after the same delay.
type Fabric struct {
	// OpenEnds counts the ends of connections that were neither closed nor reset.
	OpenEnds int
	// ResetsLeaveUnread makes every Reset look like one that left bytes unread.
	ResetsLeaveUnread bool

	loop      *loop.Loop
	delay     time.Duration // one way
	listeners map[string]*listener
	dialed    map[string]int // connections dialed, by "from>to"
}

// New returns a Fabric with a delay one way.
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

// Dial implements link.Fabric. The timeout does not matter: connections are up,
// or refused, after the delay there and back.
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
		f.loop.After(f.delay, func() { client.answered(l != nil) })
	})
	return client
}
