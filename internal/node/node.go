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

// Options are the dependencies of a Node. The zero value selects TCP, no log, no hand-over and no fleet.
type Options struct {
	// Listen listens for clients and for operators; nil: on TCP.
	Listen func(addr string) (net.Listener, error)
	// Dial connects to servers and to discovery; nil: by TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// WrapTransport wraps the transport to servers; nil: the transport is used directly.
	WrapTransport func(routing.Transport) routing.Transport
	// WrapWatcher wraps each watcher of the endpoint list; nil: the watcher is used directly.
	WrapWatcher func(routing.Watcher) routing.Watcher
	// Log is the logger, whose handler must not block; nil: nothing is logged.
	Log *slog.Logger
	// HandoverPath is the path of the Unix socket on which the processes of this node connect to each other; "": there
	// is no hand-over.
	HandoverPath string
	// ApplyLimits applies the limits of processors and memory to this process, which may use the given share of the
	// node's limits (above 0, at most 1); nil: there are no limits.
	ApplyLimits func(c *protocol.Config, share float64)
	// Fleet is the node's membership in a fleet; nil: the node belongs to no fleet.
	Fleet Fleet
}

// Node is a running instance of the load balancer.
type Node struct {
	options   Options
	log       *slog.Logger
	memory    *transport.MemoryBudget // of frontend and transport
	transport *transport.UpstreamTransport
	router    *routing.Router
	frontend  *transport.Frontend
	servers   *maintenance.Registry // nil: there is no admin listener
	admin     *admin.Server         // nil: there is no admin listener
	listener  net.Listener          // for clients
	processes processGroup
	stop      context.CancelFunc // ends the router and its goroutines
	running   sync.WaitGroup     // goroutines of frontend and router
	failed    chan error

	mu     sync.Mutex
	config *protocol.Config
	// longestDeadline is the longest deadline of any configuration so far. Requests that arrived before a reload keep
	// their deadline, so Drain waits this long for them.
	longestDeadline time.Duration
}

// Start opens the listeners and starts to serve requests. The connections of options.Listen must implement
// transport.Conn or be TCP connections.
func Start(c *protocol.Config, options Options) (*Node, error) {
	n := newNode(c, options)
	executor := &startingExecutor{}
	if err := n.openAdmin(executor); err != nil {
		return nil, err
	}
	paused, err := n.openListener()
	if err != nil {
		n.closeAdmin()
		return nil, fmt.Errorf("listening: %w", err)
	}
	n.buildComponents(paused)
	n.startComponents()
	if err := n.joinFleet(); err != nil {
		n.Abort()
		return nil, err
	}
	executor.node.Store(n)
	n.log.Info("started", "name", c.Name, "listen", n.listener.Addr().String(),
		"peers", len(c.KnownEndpoints.Endpoints), "version", c.KnownEndpointsVersion,
		"cores", c.Cores, "memory_mb", c.MemoryMB, "sockets", c.Sockets, "admin", c.AdminListen)
	return n, nil
}

func newNode(c *protocol.Config, options Options) *Node {
	if options.Listen == nil {
		options.Listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	return &Node{
		options:         options,
		log:             options.Log,
		config:          c,
		longestDeadline: c.LongestDeadline,
		failed:          make(chan error, 2), // one error each of frontend and router
	}
}

// openAdmin opens the admin listener if the configuration has an address for it.
func (n *Node) openAdmin(executor admin.Executor) error {
	if n.config.AdminListen == "" {
		return nil
	}
	n.servers = maintenance.New()
	listener, err := n.options.Listen(n.config.AdminListen)
	if err != nil {
		return fmt.Errorf("listening for operators: %w", err)
	}
	n.admin = admin.Serve(listener, executor, n.log)
	return nil
}

func (n *Node) closeAdmin() {
	if n.admin != nil {
		n.admin.Close()
	}
}

// openListener takes over the listener for clients from the process in service, or opens one if there is no such
// process. paused reports whether operators have paused the node.
func (n *Node) openListener() (paused bool, err error) {
	n.listener, paused = n.takeOver()
	if n.listener != nil {
		return paused, nil
	}
	n.listener, err = n.options.Listen(n.config.Listen)
	return false, err
}

// buildComponents creates the transport, the router and the frontend without starting them. From then on it handles the
// messages of the predecessor. paused is the state in which the frontend starts.
func (n *Node) buildComponents(paused bool) {
	c := n.config
	share := handover.ResourceShare(n.processes.count())
	if n.options.ApplyLimits != nil {
		n.options.ApplyLimits(c, share)
	}
	n.limitAdmin(c, share)
	c.KnownEndpoints.Version = c.KnownEndpointsVersion
	n.memory = transport.NewMemoryBudget(messageMemory(c, share))
	n.transport = transport.NewUpstreamTransport(n.upstreamConfig(c, share))
	upstream := routing.Transport(n.transport)
	if n.options.WrapTransport != nil {
		upstream = n.options.WrapTransport(upstream)
	}
	router := routing.Config{
		Settings:         c.Settings,
		Seed:             c.Seed,
		InitialEndpoints: c.KnownEndpoints,
		Transport:        upstream,
		Maintenance:      n.servers,
		Predecessor:      n.predecessor(),

		MaxEndedCallBytes: maxEndedCallBytes(c, share),
		Log:               n.log,
	}
	frontend := transport.FrontendConfig{
		Listener:     n.listener,
		Names:        c.NameIndex,
		ClientLimits: clientLimits(c, share),
		Memory:       n.memory,
		Log:          n.log,
	}
	if fleet := n.options.Fleet; fleet != nil {
		router.Admission = fleet.AdmissionControl()
		router.Subsets = fleet.SubsetSelector()
	}
	router.Watcher = n.newWatcher(c, c.KnownEndpointsVersion)
	n.router = routing.New(router)
	frontend.Handler = n.router
	if fleet := n.options.Fleet; fleet != nil {
		frontend.IdempotencyStore = fleet.IdempotencyStore()
	}
	n.frontend = transport.NewFrontend(frontend)
	if paused {
		n.frontend.Pause()
	}
	n.receiveFromPredecessor()
	n.attachServerControl()
}

// startComponents starts router and frontend, and then completes the takeover from the predecessor.
func (n *Node) startComponents() {
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.runComponent(func() error { return n.router.Run(ctx) })
	n.runComponent(n.frontend.ServeAdopted)
	n.runComponent(n.frontend.Serve)
	n.completeTakeover()
}

func (n *Node) runComponent(serve func() error) {
	n.running.Go(func() {
		if err := serve(); err != nil {
			n.failed <- err
		}
	})
}

// Failed returns a channel that receives the error with which the frontend or the router ended unexpectedly. The node
// cannot serve after that; the caller should call Drain, which still answers the requests in flight.
func (n *Node) Failed() <-chan error { return n.failed }

// Drain shuts the node down gracefully. It waits for open requests for as long as the longest deadline allows, and one
// minute more for long messages, and hands client connections over if there is a successor. When it returns, the node
// has no connection, goroutine or timer left. Abort interrupts it.
func (n *Node) Drain() {
	n.mu.Lock()
	limits := transport.ShutdownLimits{MaxCallTime: n.longestDeadline, LongestDeadline: n.config.LongestDeadline}
	n.mu.Unlock()
	n.announceLeave()
	if successor := n.processes.readySuccessor(); successor != nil {
		n.log.Info("handing over")
		n.frontend.HandOver(limits, connectionSender(successor))
	} else {
		n.frontend.Drain(limits)
	}
	n.stop()
	n.running.Wait()
	n.transport.Close()
	n.processes.close()
	n.leaveFleet()
	n.closeAdmin()
}

// Abort shuts the node down immediately and leaves open requests unanswered. It does not wait for the node's
// goroutines, which end when they find their connections closed.
func (n *Node) Abort() {
	n.frontend.Abort()
	n.stop()
	n.transport.Close()
	n.processes.close()
	n.abandonFleet()
	n.closeAdmin()
}

// Reload applies a changed configuration, which Config.Reload has returned. Requests in flight are not affected. The
// watch of the endpoint list continues unless the address of discovery has changed. Calls must not overlap.
func (n *Node) Reload(c *protocol.Config) {
	n.mu.Lock()
	old := n.config
	n.config = c
	n.longestDeadline = max(n.longestDeadline, c.LongestDeadline)
	n.mu.Unlock()
	if c.Discovery != old.Discovery {
		// The other discovery service may number versions differently, so the watcher asks it for the full list.
		n.router.ReplaceWatcher(n.newWatcher(c, unknownVersion))
	}
	n.router.UpdateSettings(c.Settings)
	n.frontend.SetNames(c.NameIndex) // the request method of a class follows its idempotency, which may have changed
	n.applyLimits()
	n.log.Info("reloaded", "discovery", c.Discovery)
}

// unknownVersion is the version of an endpoint list that discovery did not number. A watcher that starts from it asks
// for the full list.
const unknownVersion = -1

func (n *Node) newWatcher(c *protocol.Config, version int64) routing.Watcher {
	watcher := transport.NewEndpointWatcher(c.Discovery, c.NameIndex, version, n.options.Dial, n.log).
		ForFleetSize(c.Settings.Nodes, c.Seed)
	if n.options.WrapWatcher == nil {
		return watcher
	}
	return n.options.WrapWatcher(watcher)
}
