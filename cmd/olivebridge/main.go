// Command olivebridge is one load-balancing node on real sockets.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
	"olivebridge/internal/transport"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "olivebridge:", err)
		os.Exit(1)
	}
}

// run is one node's life, from its environment to the planned end.
func run() error {
	c, err := protocol.Load(os.Getenv, os.ReadFile)
	if err != nil {
		return err
	}
	setLimits(c)
	signal.Ignore(syscall.SIGPIPE) // or a log reader that goes away would take the node with it
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	reloads := make(chan os.Signal, 1) // of several in a row the last is read, and it reads the newest file
	signal.Notify(reloads, syscall.SIGHUP)
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	out := newLogWriter(os.Stderr)
	defer out.Close()
	log := slog.New(slog.NewTextHandler(out, nil))

	carrier := transport.NewCarrier(carrierConfig(c, log))
	router := routing.New(routing.Config{
		Settings: c.Settings, Seed: c.Seed, Known: c.Known, Carrier: carrier,
		Watcher: transport.NewWatch(c.Discovery, c.Names, c.KnownVersion, log).Among(c.Settings.Nodes), Log: log,
	})
	front := transport.NewFront(listener, c.Names, router, clientBounds(c), log)

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 2)
	go func() { ended <- router.Run(ctx) }()
	go func() { ended <- front.Serve() }()
	counters := func(when string) {
		log.Info("counters", "when", when, "malformed", front.Malformed(), "shed", front.Shed(), "clients", front.Clients(),
			"calls", router.Counters().String())
	}
	log.Info("started", "name", c.Name, "listen", listener.Addr().String(), "peers", len(c.Known.Entries),
		"version", c.KnownVersion)
	var drained chan struct{} // closed once nothing is open; nil before SIGTERM
	for {
		select {
		case s := <-signals:
			switch {
			case s == syscall.SIGUSR1:
				counters("asked")
			case drained == nil:
				log.Info("draining", "signal", s.String())
				drained = make(chan struct{})
				go func(longest time.Duration) {
					front.Drain(longest)
					close(drained)
				}(c.LongestDeadline)
			}
		case <-reloads:
			c = reload(c, carrier, router, front, log)
		case <-drained:
			carrier.Close()
			counters("exit")
			return nil
		case err := <-ended:
			if err == nil && drained != nil {
				continue // the front stopped accepting, as it should
			}
			counters("failure")
			return err
		}
	}
}

// reload reads the configuration again at SIGHUP and returns what holds from
// then on. A bad one changes nothing: calls, and the watch, go on as before.
func reload(old *protocol.Config, carrier *transport.Carrier, router *routing.Router, front *transport.Front,
	log *slog.Logger) *protocol.Config {
	c, err := old.Reload(os.Getenv, os.ReadFile)
	if err != nil {
		log.Error("reload refused", "reason", err.Error())
		return old
	}
	if c.Discovery != old.Discovery {
		// versions of another discovery need not compare with those held: it is asked for the whole list
		router.Follow(transport.NewWatch(c.Discovery, c.Names, -1, log).Among(c.Settings.Nodes))
	}
	router.Set(c.Settings)
	carrier.Configure(carrierConfig(c, log))
	front.Bound(clientBounds(c))
	setLimits(c)
	log.Info("reloaded", "discovery", c.Discovery)
	return c
}

// spareDescriptors are kept for discovery, the log and the runtime.
const spareDescriptors = 64

// descriptors is how many each side may hold, clients and peers.
func descriptors(c *protocol.Config) int { return max((c.Sockets-spareDescriptors)/2, 8) }

// clientBounds keeps idle client connections well under the third of the
// descriptors that clients may hold.
func clientBounds(c *protocol.Config) transport.ClientBounds {
	return transport.ClientBounds{Open: descriptors(c), Idle: c.Sockets / 4}
}

// answerPart is the part of the memory that one answer may take. Peers have been
// seen to send several times the 64 KiB of the protocol; to fail such answers
// sends their calls to one peer after the other.
const answerPart = 64

func carrierConfig(c *protocol.Config, log *slog.Logger) transport.CarrierConfig {
	return transport.CarrierConfig{ConnectTimeout: c.ConnectTimeout, IdleClose: c.IdleClose,
		DrainGrace: c.Settings.DrainGrace, MaxConns: descriptors(c), MaxAnswer: c.MemoryMB << 20 / answerPart, Log: log}
}

// setLimits keeps the node within its machine. Memory gets a margin for what
// the Go runtime does not count.
func setLimits(c *protocol.Config) {
	runtime.GOMAXPROCS(max(int(c.Cores), 1))
	debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 7 / 10)
	debug.SetGCPercent(400)
}
