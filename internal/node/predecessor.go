package node

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"olivebridge/internal/handover"
)

const (
	// snapshotTimeout bounds the wait for the router's snapshot, which is part of the state sent to a successor.
	snapshotTimeout = 300 * time.Millisecond
	// acceptRetryInterval is the delay after a failure to accept a successor.
	acceptRetryInterval = 20 * time.Millisecond
)

// awaitSuccessor starts to listen for a successor. If that fails, the node runs without hand-over.
func (n *Node) awaitSuccessor() {
	listener, err := handover.Listen(n.options.HandoverPath)
	if err != nil {
		n.log.Warn("no hand-over to a successor", "reason", err.Error())
		return
	}
	if !n.processes.accept(listener, func() { n.acceptSuccessors(listener) }) {
		listener.Close()
	}
}

// acceptSuccessors accepts successors, one at a time, until the listener is closed. A successor is served until its
// link ends. While the process has too few descriptors, the successor waits in the listener's queue.
func (n *Node) acceptSuccessors(listener *handover.Listener) {
	for {
		link, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryInterval)
			continue
		}
		if err := n.sendState(link); err != nil {
			n.log.Warn("hand-over failed", "reason", err.Error())
			link.Close()
			continue
		}
		n.receive(link)
	}
}

// sendState sends a successor this process's state and its listener. It holds the lock on commands: operators' commands
// that arrive meanwhile are executed afterwards and forwarded on the link. The successor needs memory as soon as it has
// the state, so this process gives back its part before.
func (n *Node) sendState(link *handover.Link) error {
	n.processes.commands.Lock()
	defer n.processes.commands.Unlock()
	n.applyLimitsOf(n.processes.count() + 1)
	defer n.applyLimits()
	state := n.state()
	for _, message := range state.Messages() {
		var descriptor syscall.Conn
		if message.Kind == handover.KindListener {
			descriptor, _ = n.listener.(syscall.Conn)
		}
		if err := link.Send(message, descriptor); err != nil {
			return err
		}
	}
	n.processes.setSuccessor(link)
	n.router.AttachSuccessor(linkedProcess{link})
	n.log.Info("successor", "servers", len(state.Servers))
	return nil
}

// state returns the state that a successor takes over.
func (n *Node) state() handover.NodeState {
	state := handover.NodeState{AnswersClaims: true}
	state.Servers, state.ListVersion = n.servers.Export()
	state.Paused = n.frontend.Paused()
	ctx, stop := context.WithTimeout(context.Background(), snapshotTimeout)
	defer stop()
	if snapshot, err := n.router.Snapshot(ctx); err == nil { // without it the successor measures the throughput again
		state.WarmThroughput = snapshot.WarmThroughput
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	state.DiscoveryAddr = n.config.Discovery
	return state
}

// connectionSender returns a function that sends a client connection to the successor. After the link has failed, the
// function returns the same error at once: with a successor that hangs, each further connection would wait for a
// timeout and delay those after it. The error of a connection that ended before it was sent does not count as a failure
// of the link.
func connectionSender(link *handover.Link) func(syscall.Conn) error {
	var failed atomic.Pointer[error]
	return func(conn syscall.Conn) error {
		if err := failed.Load(); err != nil {
			return *err
		}
		err := link.Send(handover.Message{Kind: handover.KindConnection}, conn)
		if err != nil && !errors.Is(err, handover.ErrConnectionEnded) {
			failed.Store(&err)
		}
		return err
	}
}
