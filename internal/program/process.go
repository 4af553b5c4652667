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

// signals are those that the process handles.
type signals struct {
	// control brings a request for the counters, or to shut down.
	control chan os.Signal
	// reload brings a request to read the configuration again. Of several in a row the last is read, and it reads the
	// newest file.
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

// notifyShutdown has control bring requests to shut down, which end the process before.
func (s signals) notifyShutdown() {
	signal.Notify(s.control, syscall.SIGTERM, syscall.SIGINT)
}

// process is a running node and what its signals act on. It belongs to one goroutine.
type process struct {
	node   *node.Node
	config *protocol.Config
	fleet  node.Fleet // nil: the node belongs to none
	log    *slog.Logger

	drained chan struct{} // closed once the node has shut down; nil: it serves
	failure error         // what made the node shut down by itself; nil: nothing did
}

// serve handles signals until the node has shut down.
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
			p.drain() // requests in flight are owed their answers all the same
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

// drain begins the graceful shutdown, once.
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

// logCounters logs all counters, and when that was.
func (p *process) logCounters(when string) {
	if err := writeAllocationProfile(); err != nil {
		p.log.Error("allocations not written", "reason", err.Error())
	}
	attributes := []any{"when", when, "process", cost.Read().String()}
	p.log.Info("counters", append(attributes, p.node.Counters()...)...)
}

// reload reads the configuration again. A faulty one changes nothing.
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
