// Package program runs the process of a node, from its environment to its graceful shutdown: signals, limits and log.
// Two commands use it: olivebridge, and olivefleet, whose nodes belong to a fleet.
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

// Options are the options of a command that runs a node.
type Options struct {
	// NewFleet creates the node's membership in a fleet, before any other component of the node is created; nil: the node
	// belongs to no fleet.
	NewFleet func(c *protocol.Config, log *slog.Logger) (node.Fleet, error)
}

// Main runs a node until it has shut down. On an error it calls Fail.
func Main(o Options) {
	if err := run(o); err != nil {
		Fail(err)
	}
}

// Fail writes err to standard error in one line, and ends the process with exit code 1.
func Fail(err error) {
	out := NewLogWriter(os.Stderr) // does not block if standard error is not read
	_, _ = fmt.Fprintln(out, "olivebridge:", err)
	out.Close()
	os.Exit(1)
}

// run loads the configuration, starts the node and serves until it has shut down.
func run(o Options) error {
	signal.Ignore(syscall.SIGPIPE) // otherwise the node would end when the reader of its log exits
	signals := newSignals()
	config, err := protocol.Load(os.Getenv, os.ReadFile)
	if err != nil {
		return err
	}
	signals.notifyShutdown() // before this point SIGTERM and SIGINT end the process, which has nothing to shut down
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

// start creates the fleet membership, if any, and starts the node. SIGTERM and SIGINT end the retries for an address
// that is in use.
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

// handoverPath returns the path of the Unix socket through which the two processes of a node connect during an upgrade;
// "": the node has no hand-over. TMPDIR must be a directory that only this node uses, the same in both processes.
func handoverPath(c *protocol.Config) string {
	dir := os.Getenv("TMPDIR") // os.TempDir would fall back to a directory that all users share
	if c.AdminListen == "" || dir == "" {
		return ""
	}
	return filepath.Join(dir, "olivebridge-"+url.PathEscape(c.Name)+".sock")
}
