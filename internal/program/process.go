package program

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"olivebridge/internal/cost"
	"olivebridge/internal/node"
	"olivebridge/internal/protocol"
)

// signals are the channels of the signals that the process handles.
type signals struct {
	// control receives SIGUSR1, which logs the counters, and SIGTERM and SIGINT, which shut the node down.
	control chan os.Signal
	// reload receives SIGHUP, which reloads the configuration. Its buffer holds one signal: several that arrive during a
	// reload cause one further reload, which reads the latest file.
	reload chan os.Signal
}

func newSignals() signals {
	s := signals{
		control: make(chan os.Signal, 4),
		reload:  make(chan os.Signal, 1),
	}
	signal.Notify(s.control, syscall.SIGUSR1)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// notifyShutdown starts the delivery of SIGTERM and SIGINT to control. Until it is called, they end the process.
func (s signals) notifyShutdown() {
	signal.Notify(s.control, syscall.SIGTERM, syscall.SIGINT)
}

// process is a running node and the state that signal handling needs. It is not safe for concurrent use.
type process struct {
	node   *node.Node
	config *protocol.Config
	fleet  node.Fleet // nil: the node belongs to no fleet
	log    *slog.Logger

	drained chan struct{} // closed once the node has shut down; nil: the shutdown has not begun
	failure error         // the error that made the node shut down; nil: there was none
}

// serve handles signals until the node has shut down. It returns the error that caused the shutdown; nil: a signal
// caused it.
func (p *process) serve(s signals) error {
	for {
		select {
		case received := <-s.control:
			p.handleControl(received)
		case <-s.reload:
			p.reload()
		case <-p.drained:
			p.logCounters(p.shutdownReason())
			return p.failure
		case p.failure = <-p.node.Failed():
			p.log.Error("failed", "reason", p.failure.Error())
			p.drain() // requests in flight must still be answered
		}
	}
}

func (p *process) handleControl(received os.Signal) {
	if received == syscall.SIGUSR1 {
		p.logCounters("asked")
		return
	}
	if p.drained == nil {
		p.log.Info("draining", "signal", received.String())
		p.drain()
	}
}

// drain begins the graceful shutdown, unless it has begun.
func (p *process) drain() {
	if p.drained != nil {
		return
	}
	drained := make(chan struct{})
	p.drained = drained
	go func() {
		p.node.Drain()
		close(drained)
	}()
}

func (p *process) shutdownReason() string {
	if p.failure != nil {
		return "failure"
	}
	return "exit"
}

// logCounters logs all counters. when is the reason for the line: "asked", "exit" or "failure".
func (p *process) logCounters(when string) {
	if err := writeAllocationProfile(); err != nil {
		p.log.Error("allocations not written", "reason", err.Error())
	}
	attributes := []any{"when", when, "process", cost.Read().String()}
	p.log.Info("counters", append(attributes, p.node.Counters()...)...)
}

// reload reads the configuration again and applies it. An invalid configuration is logged and changes nothing.
func (p *process) reload() {
	next, err := p.config.Reload(os.Getenv, os.ReadFile)
	if err == nil && p.fleet != nil {
		err = p.fleet.Reload(next)
	}
	if err != nil {
		p.log.Error("reload refused", "reason", err.Error())
		return
	}
	p.node.Reload(next)
	p.config = next
}
