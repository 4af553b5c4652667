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

// Options are what an instance stands on. The zero value is a node on TCP that logs nothing.
type Options struct {
	// Listen listens for clients and for operators; nil: on TCP.
	Listen func(addr string) (net.Listener, error)
	// Dial connects to servers and to discovery; nil: over TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// WrapTransport wraps the transport to servers; nil: it stays as it is.
	WrapTransport func(routing.Transport) routing.Transport
	// WrapWatcher wraps each watcher of the endpoint list; nil: it stays as it is.
	WrapWatcher func(routing.Watcher) routing.Watcher
	// Log must not block; nil: nothing is logged.
	Log *slog.Logger
	// HandoverPath is the socket at which the processes of this node find each other; "": they do not.
	HandoverPath string
	// ApplyLimits keeps the process to its share of the node's machine; nil: there are no limits.
	ApplyLimits func(c *protocol.Config, share float64)
	// Fleet is the node's membership in a fleet; nil: it belongs to none.
	Fleet Fleet
}

// Node is a running instance.
type Node struct {
	options   Options
	log       *slog.Logger
	transport *transport.UpstreamTransport
	router    *routing.Router
	frontend  *transport.Frontend
	servers   *maintenance.Registry // nil without an admin listener
	admin     *admin.Server         // nil: there is no admin listener
	listener  net.Listener          // of clients
	processes processGroup
	stop      context.CancelFunc // ends the router and all that it started
	running   sync.WaitGroup     // frontend and router
	failed    chan error

	mu     sync.Mutex
	config *protocol.Config
	// longestDeadline is that of all settings so far: a reload leaves requests in flight their time.
	longestDeadline time.Duration
}

// Start listens and begins to serve. The connections of options.Listen must be transport.Conns, or TCP's.
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
	n.buildComponents()
	n.startComponents(paused)
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
		failed:          make(chan error, 2), // of frontend and router
	}
}

// openAdmin listens where operators connect, if the configuration has an address for them.
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

// openListener takes the clients' listener over from the process in service, or listens itself. paused reports that
// operators have paused the node.
func (n *Node) openListener() (paused bool, err error) {
	n.listener, paused = n.takeOver()
	if n.listener != nil {
		return paused, nil
	}
	n.listener, err = n.options.Listen(n.config.Listen)
	return false, err
}

// buildComponents makes the parts, none of which runs yet.
func (n *Node) buildComponents() {
	c := n.config
	share := handover.ResourceShare(n.processes.count())
	if n.options.ApplyLimits != nil {
		n.options.ApplyLimits(c, share)
	}
	n.limitAdmin(c, share)
	c.KnownEndpoints.Version = c.KnownEndpointsVersion
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
		Log:              n.log,
	}
	frontend := transport.FrontendConfig{
		Listener:     n.listener,
		Names:        c.NameIndex,
		ClientLimits: clientLimits(c, share),
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
	n.attachServerControl()
}

// startComponents runs the parts, and then lets the node's other processes know.
func (n *Node) startComponents(paused bool) {
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.runComponent(func() error { return n.router.Run(ctx) })
	if paused {
		n.frontend.Pause()
	}
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

// Failed delivers why frontend or router ended by themselves. The node is of no further use then, but Drain still
// answers requests in flight.
func (n *Node) Failed() <-chan error { return n.failed }

// Drain is the graceful shutdown: the node serves on until nothing is open, for as long as any request may take, and a
// minute more for long messages. It returns once nothing of the node is left: no connection, goroutine or timer. Abort
// cuts it short.
func (n *Node) Drain() {
	n.mu.Lock()
	longest := n.longestDeadline
	n.mu.Unlock()
	n.announceLeave()
	if successor := n.processes.readySuccessor(); successor != nil {
		n.log.Info("handing over")
		n.frontend.HandOver(longest, connectionSender(successor))
	} else {
		n.frontend.Drain(longest)
	}
	n.stop()
	n.running.Wait()
	n.transport.Close()
	n.processes.close()
	n.leaveFleet()
	n.closeAdmin()
}

// Abort ends everything at once, and no open request gets an answer. It waits for nothing: goroutines of the node end
// as they find its connections closed.
func (n *Node) Abort() {
	n.frontend.Abort()
	n.stop()
	n.transport.Close()
	n.processes.close()
	n.abandonFleet()
	n.closeAdmin()
}

// Reload takes changed configuration, which has passed Config.Reload. Requests in flight go on as before, and so does
// the watch unless discovery has moved. One Reload runs at a time.
func (n *Node) Reload(c *protocol.Config) {
	n.mu.Lock()
	old := n.config
	n.config = c
	n.longestDeadline = max(n.longestDeadline, c.LongestDeadline)
	n.mu.Unlock()
	if c.Discovery != old.Discovery {
		// Versions of another discovery need not compare with those held: it is asked for the whole list.
		n.router.ReplaceWatcher(n.newWatcher(c, unknownVersion))
	}
	n.router.UpdateSettings(c.Settings)
	n.frontend.SetNames(c.NameIndex) // a class whose idempotency has changed has another method
	n.applyLimits()
	n.log.Info("reloaded", "discovery", c.Discovery)
}

// unknownVersion is that of an endpoint list whose version means nothing to discovery.
const unknownVersion = -1

func (n *Node) newWatcher(c *protocol.Config, version int64) routing.Watcher {
	watcher := transport.NewEndpointWatcher(c.Discovery, c.NameIndex, version, n.options.Dial, n.log).
		ForFleetSize(c.Settings.Nodes, c.Seed)
	if n.options.WrapWatcher == nil {
		return watcher
	}
	return n.options.WrapWatcher(watcher)
}
