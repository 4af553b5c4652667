// Package program is the process of a node, from its environment to its graceful shutdown: signals, limits, log. The
// commands that are nodes share it: the platform's, and the one that belongs to a fleet.
package program

import (
	"context"
	"fmt"
	"log/slog"
	"net/url"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"olivebridge/internal/node"
	"olivebridge/internal/protocol"
)

// Options are what a command brings to its node.
type Options struct {
	// NewFleet makes the node's membership in a fleet, before anything of the node is there; nil: it belongs to none.
	NewFleet func(c *protocol.Config, log *slog.Logger) (node.Fleet, error)
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
	_, _ = fmt.Fprintln(out, "olivebridge:", err)
	out.Close()
	os.Exit(1)
}

// run is the life of one node's process.
func run(o Options) error {
	signal.Ignore(syscall.SIGPIPE) // otherwise a log reader that goes away would end the node
	signals := newSignals()
	config, err := protocol.Load(os.Getenv, os.ReadFile)
	if err != nil {
		return err
	}
	signals.notifyShutdown() // until now there was nothing to shut down
	out := NewLogWriter(os.Stderr)
	defer out.Close()
	log := slog.New(slog.NewTextHandler(out, nil))
	if config.AdminListen != "" && handoverPath(config) == "" {
		log.Warn("no hand-over to a successor", "reason", "TMPDIR is not set")
	}
	p := &process{config: config, log: log}
	if err := p.start(o); err != nil {
		return err
	}
	return p.serve(signals)
}

// start starts the node. A signal to shut down ends the wait for an address that is in use.
func (p *process) start(o Options) error {
	starting, started := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer started()
	options := node.Options{
		Log:          p.log,
		Listen:       listenWithRetry(starting, newListenFunc(p.config)),
		HandoverPath: handoverPath(p.config),
		ApplyLimits:  applyLimits,
	}
	if o.NewFleet != nil {
		fleet, err := o.NewFleet(p.config, p.log)
		if err != nil {
			return err
		}
		p.fleet = fleet
		options.Fleet = fleet
	}
	var err error
	p.node, err = node.Start(p.config, options)
	return err
}

// handoverPath is where the two processes of one node find each other during an upgrade; "": they do not. The directory
// is the node's own, and both have the same.
func handoverPath(c *protocol.Config) string {
	dir := os.Getenv("TMPDIR") // not a directory that all users share
	if c.AdminListen == "" || dir == "" {
		return ""
	}
	return filepath.Join(dir, "olivebridge-"+url.PathEscape(c.Name)+".sock")
}
