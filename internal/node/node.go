// Package node builds one instance of the load balancer from its parts: a
// front, the decisions, a carrier and a watch, over whatever network it is
// given. It knows no environment, no signal and no limit of its machine; those
// are the program's.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"olivebridge/internal/admin"
	"olivebridge/internal/handover"
	"olivebridge/internal/maintenance"
	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
	"olivebridge/internal/transport"
)

// Parts are what an instance stands on. The zero value is a node on TCP that
// logs nothing.
type Options struct {
	Listen       func(addr string) (net.Listener, error)                  // nil: TCP
	Dial         func(ctx context.Context, addr string) (net.Conn, error) // nil: TCP
	WrapCarrier  func(routing.Transport) routing.Transport                // around the node's own; nil: nothing
	WrapWatcher  func(routing.Watcher) routing.Watcher                    // around each watch; nil: nothing
	Log          *slog.Logger                                             // must not block; nil: none
	HandoverPath string                                                   // path at which processes of this node find each other; "": they do not
	ApplyLimits  func(c *protocol.Config, part float64)                   // keeps the process to its part; nil: nothing to keep
	Fleet        Fleet                                                    // the node's place among others; nil: it has none
}

// Node is a running instance.
type Node struct {
	parts    Options
	log      *slog.Logger
	carrier  *transport.UpstreamTransport
	router   *routing.Router
	front    *transport.Frontend
	servers  *maintenance.Registry // nil without a door
	door     *admin.Server         // nil: none
	listener net.Listener          // of clients
	company  company
	stop     context.CancelFunc // ends the decisions and all that they started
	running  sync.WaitGroup     // front and decisions
	failed   chan error

	mu      sync.Mutex
	config  *protocol.Config
	longest time.Duration // that a call may take by any settings so far: reloads leave those in hand their time
}

// Start listens and begins to serve. Connections that it is given must be
// transport.Conns, or TCP's.
func Start(c *protocol.Config, p Options) (*Node, error) {
	listen := p.Listen
	if listen == nil {
		listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	n := &Node{parts: p, log: p.Log, config: c, longest: c.LongestDeadline, failed: make(chan error, 2)}
	if n.log == nil {
		n.log = slog.New(slog.DiscardHandler)
	}
	operators := &desk{}
	if c.AdminListen != "" {
		n.servers = maintenance.New()
		if err := n.openDoor(c.AdminListen, listen, operators); err != nil {
			return nil, err
		}
	}
	listener, paused := n.inherit()
	if listener == nil {
		var err error
		if listener, err = listen(c.Listen); err != nil {
			n.closeDoor()
			return nil, fmt.Errorf("listening: %w", err)
		}
	}
	n.listener = listener
	part := handover.ResourceShare(n.company.processes())
	if p.ApplyLimits != nil {
		p.ApplyLimits(c, part)
	}
	n.boundDoor(c, part)
	c.KnownEndpoints.Version = c.KnownEndpointsVersion
	n.carrier = transport.NewUpstreamTransport(n.carrierConfig(c, part))
	carrier := routing.Transport(n.carrier)
	if p.WrapCarrier != nil {
		carrier = p.WrapCarrier(carrier)
	}
	var gate routing.AdmissionControl
	var chooser routing.SubsetSelector
	if p.Fleet != nil {
		gate, chooser = p.Fleet.Gate(), p.Fleet.Chooser()
	}
	n.router = routing.New(routing.Config{
		Admission: gate, Subsets: chooser, Settings: c.Settings, Seed: c.Seed, InitialEndpoints: c.KnownEndpoints, Transport: carrier,
		Watcher: n.newWatch(c, c.KnownEndpointsVersion), Maintenance: n.servers,
		Log: n.log,
	})
	frontend := transport.FrontendConfig{
		Listener:     listener,
		Names:        c.NameIndex,
		Handler:      n.router,
		ClientLimits: clientBounds(c, part),
		Log:          n.log,
	}
	if p.Fleet != nil {
		frontend.IdempotencyStore = p.Fleet.Keeper()
	}
	n.front = transport.NewFrontend(frontend)
	n.operate()
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.run(func() error { return n.router.Run(ctx) })
	if paused {
		n.front.Pause()
	}
	n.run(n.front.ServeAdopted)
	n.run(n.front.Serve)
	n.settle()
	if err := n.join(); err != nil {
		n.Abort()
		return nil, err
	}
	operators.node.Store(n)
	n.log.Info("started", "name", c.Name, "listen", listener.Addr().String(), "peers", len(c.KnownEndpoints.Endpoints),
		"version", c.KnownEndpointsVersion,
		"cores", c.Cores, "memory_mb", c.MemoryMB, "sockets", c.Sockets, "admin", c.AdminListen)
	return n, nil
}

func (n *Node) run(f func() error) {
	n.running.Go(func() {
		if err := f(); err != nil {
			n.failed <- err
		}
	})
}

// Failed tells why front or decisions ended by themselves. The node is of no
// further use then.
func (n *Node) Failed() <-chan error { return n.failed }

// Drain is the planned end: the node serves on until nothing is open, for as
// long as any call may take, and a minute more for long messages. It returns once nothing of the node is left: no
// connection, goroutine or timer. Abort cuts it short.
func (n *Node) Drain() {
	n.mu.Lock()
	longest := n.longest
	n.mu.Unlock()
	n.leaving()
	if l := n.company.tookOver(); l != nil {
		n.log.Info("handing over")
		n.front.HandOver(longest, give(l))
	} else {
		n.front.Drain(longest)
	}
	n.stop()
	n.running.Wait()
	n.carrier.Close()
	n.company.end()
	n.left()
	n.closeDoor()
}

func (n *Node) closeDoor() {
	if n.door != nil {
		n.door.Close()
	}
}

// Abort ends everything at once, and no open call gets an answer. It waits for
// nothing: goroutines of the node end as they find its connections closed.
func (n *Node) Abort() {
	n.front.Abort()
	n.stop()
	n.carrier.Close()
	n.company.end()
	n.lost()
	n.closeDoor()
}

// Reload takes changed configuration, which has passed Config.Reload. Calls in
// hand go on as before, and so does the watch unless discovery has moved. One
// Reload runs at a time.
func (n *Node) Reload(c *protocol.Config) {
	n.mu.Lock()
	old := n.config
	n.config, n.longest = c, max(n.longest, c.LongestDeadline)
	n.mu.Unlock()
	if c.Discovery != old.Discovery {
		// versions of another discovery need not compare with those held: it is asked for the whole list
		n.router.ReplaceWatcher(n.newWatch(c, -1))
	}
	n.router.UpdateSettings(c.Settings)
	n.front.SetNames(c.NameIndex) // a class whose effect has changed goes by another method
	n.bound()
	n.log.Info("reloaded", "discovery", c.Discovery)
}

func (n *Node) newWatch(c *protocol.Config, version int64) routing.Watcher {
	w := transport.NewEndpointWatcher(c.Discovery, c.NameIndex, version, n.parts.Dial, n.log).ForFleetSize(c.Settings.Nodes, c.Seed)
	if n.parts.WrapWatcher == nil {
		return w
	}
	return n.parts.WrapWatcher(w)
}
