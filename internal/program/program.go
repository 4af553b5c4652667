// Package program is the life of a node's process, from its environment to the planned end: signals, limits, log.
// The commands that are nodes share it: the platform's, and the one with a fleet around it.
package program

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/url"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"olivebridge/internal/cost"
	"olivebridge/internal/node"
	"olivebridge/internal/protocol"
)

// Options are what a command brings to its node.
type Options struct {
	// Fleet makes the node's place among other nodes, before anything of the node is there; nil: the node knows of none.
	Fleet func(c *protocol.Config, log *slog.Logger) (node.Fleet, error)
}

// Main runs a node and ends the process.
func Main(o Options) {
	if err := run(o); err != nil {
		Fail(err)
	}
}

// Fail ends the process, with the one line that says why it cannot go on.
func Fail(err error) {
	out := NewLogWriter(os.Stderr) // which waits for no reader
	fmt.Fprintln(out, "olivebridge:", err)
	out.Close()
	os.Exit(1)
}

// run is one node's life, from its environment to the planned end.
func run(o Options) error {
	signal.Ignore(syscall.SIGPIPE) // or a log reader that goes away would take the node with it
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGUSR1)
	reloads := make(chan os.Signal, 1) // of several in a row the last is read, and it reads the newest file
	signal.Notify(reloads, syscall.SIGHUP)
	c, err := protocol.Load(os.Getenv, os.ReadFile)
	if err != nil {
		return err
	}
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT) // until now there was nothing to end as planned
	out := NewLogWriter(os.Stderr)
	defer out.Close()
	log := slog.New(slog.NewTextHandler(out, nil))
	if c.AdminListen != "" && seat(c) == "" {
		log.Warn("no hand-over to a successor", "reason", "TMPDIR is not set")
	}
	starting, started := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer started()
	parts := node.Options{Log: log, Listen: patient(starting, listener(c)), HandoverPath: seat(c), ApplyLimits: setLimits}
	if o.Fleet != nil {
		if parts.Fleet, err = o.Fleet(c, log); err != nil {
			return err
		}
	}
	n, err := node.Start(c, parts)
	if err != nil {
		return err
	}
	started()
	counters := func(when string) {
		if err := writeProfile(); err != nil {
			log.Error("allocations not written", "reason", err.Error())
		}
		log.Info("counters", append([]any{"when", when, "process", cost.Read().String()}, n.Counters()...)...)
	}
	var drained chan struct{} // closed once nothing is open; nil before the end
	var failure error         // what has ended by itself; nil: nothing
	drain := func() {
		if drained == nil {
			drained = make(chan struct{})
			go func() {
				n.Drain()
				close(drained)
			}()
		}
	}
	for {
		select {
		case s := <-signals:
			switch {
			case s == syscall.SIGUSR1:
				counters("asked")
			case drained == nil:
				log.Info("draining", "signal", s.String())
				drain()
			}
		case <-reloads:
			c = reload(c, n, parts.Fleet, log)
		case <-drained:
			if failure != nil {
				counters("failure")
				return failure
			}
			counters("exit")
			return nil
		case failure = <-n.Failed():
			log.Error("failed", "reason", failure.Error())
			drain() // what is taken is owed its answer all the same
		}
	}
}

// reload reads the configuration again at SIGHUP and returns what holds from
// then on. A bad one changes nothing.
func reload(old *protocol.Config, n *node.Node, fleet node.Fleet, log *slog.Logger) *protocol.Config {
	c, err := old.Reload(os.Getenv, os.ReadFile)
	if err == nil && fleet != nil {
		err = fleet.Reload(c)
	}
	if err != nil {
		log.Error("reload refused", "reason", err.Error())
		return old
	}
	n.Reload(c)
	return c
}

// seat is where two processes of one node find each other during an upgrade. The
// directory is the node's own, and both have the same.
func seat(c *protocol.Config) string {
	dir := os.Getenv("TMPDIR") // not a directory that all users share
	if c.AdminListen == "" || dir == "" {
		return ""
	}
	return filepath.Join(dir, "olivebridge-"+url.PathEscape(c.Name)+".sock")
}

const (
	// addressWait is how long an address may be in use still when a process starts. One that is told to end accepts
	// for 0.8 s more, since clients come for 0.4 s, and its machine may be busy; readiness is owed within 10 s.
	addressWait = 3 * time.Second
	// addressRetry is the pause between two tries to have it.
	addressRetry = 50 * time.Millisecond
)

// patient listens as listen does, but waits a while for a process that is ending to leave the address.
func patient(ctx context.Context, listen func(string) (net.Listener, error)) func(string) (net.Listener, error) {
	return func(addr string) (net.Listener, error) {
		ctx, stop := context.WithTimeout(ctx, addressWait)
		defer stop()
		for {
			l, err := listen(addr)
			if !errors.Is(err, syscall.EADDRINUSE) {
				return l, err
			}
			select {
			case <-ctx.Done():
				return nil, err
			case <-time.After(addressRetry):
			}
		}
	}
}

// listener listens where clients connect, or operators. With a door a process
// may start beside the one in service, and the address is shared, in case that
// one does not hand its own over.
func listener(c *protocol.Config) func(string) (net.Listener, error) {
	if c.AdminListen == "" {
		return func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	shared := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var set error
		err := raw.Control(func(fd uintptr) {
			set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, reusePort, 1)
		})
		return errors.Join(err, set)
	}}
	return func(addr string) (net.Listener, error) {
		if addr == c.AdminListen { // whose process it is must be clear
			return net.Listen("tcp", addr)
		}
		return shared.Listen(context.Background(), "tcp", addr)
	}
}

// reusePort is SO_REUSEPORT, which package syscall lacks on this platform.
const reusePort = 15

// setLimits keeps the process to its part of the node's machine. Memory gets a
// margin for what the Go runtime does not count.
func setLimits(c *protocol.Config, part float64) {
	runtime.GOMAXPROCS(max(int(c.Cores), 1))
	debug.SetMemoryLimit(int64(float64(c.MemoryMB<<20) * part * 0.7))
	debug.SetGCPercent(400)
}
