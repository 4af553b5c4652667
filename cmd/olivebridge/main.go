// Command olivebridge is one load-balancing node on real sockets.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"olivebridge/internal/cost"
	"olivebridge/internal/node"
	"olivebridge/internal/protocol"
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
	out := newLogWriter(os.Stderr)
	defer out.Close()
	log := slog.New(slog.NewTextHandler(out, nil))
	n, err := node.Start(c, node.Parts{Log: log})
	if err != nil {
		return err
	}
	counters := func(when string) {
		if err := writeProfile(); err != nil {
			log.Error("allocations not written", "reason", err.Error())
		}
		log.Info("counters", append([]any{"when", when, "process", cost.Now().String()}, n.Counters()...)...)
	}
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
				go func() {
					n.Drain()
					close(drained)
				}()
			}
		case <-reloads:
			c = reload(c, n, log)
		case <-drained:
			counters("exit")
			return nil
		case err := <-n.Failed():
			counters("failure")
			return err
		}
	}
}

// reload reads the configuration again at SIGHUP and returns what holds from
// then on. A bad one changes nothing.
func reload(old *protocol.Config, n *node.Node, log *slog.Logger) *protocol.Config {
	c, err := old.Reload(os.Getenv, os.ReadFile)
	if err != nil {
		log.Error("reload refused", "reason", err.Error())
		return old
	}
	n.Reload(c)
	setLimits(c)
	return c
}

// setLimits keeps the node within its machine. Memory gets a margin for what
// the Go runtime does not count.
func setLimits(c *protocol.Config) {
	runtime.GOMAXPROCS(max(int(c.Cores), 1))
	debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 7 / 10)
	debug.SetGCPercent(400)
}
