package node

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"time"

	"olivebridge/internal/handover"
)

// snapshotTimeout bounds the wait for what the router has learnt, when a successor asks.
const snapshotTimeout = 300 * time.Millisecond

// awaitSuccessor listens for a successor.
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

// acceptSuccessors serves one successor after the other until the listener is closed.
func (n *Node) acceptSuccessors(listener *handover.Listener) {
	for {
		link, err := listener.Accept()
		if err != nil {
			return
		}
		if err := n.sendState(link); err != nil {
			n.log.Warn("hand-over failed", "reason", err.Error())
			link.Close()
			continue
		}
		n.receive(link)
	}
}

// sendState sends a successor all that this process knows, and its listener. Commands that come meanwhile follow on the
// link.
func (n *Node) sendState(link *handover.Link) error {
	n.processes.commands.Lock()
	defer n.processes.commands.Unlock()
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
	n.log.Info("successor", "servers", len(state.Servers))
	n.applyLimits()
	return nil
}

func (n *Node) state() handover.NodeState {
	var state handover.NodeState
	state.Servers, state.ListVersion = n.servers.Export()
	state.Paused = n.frontend.Paused()
	ctx, stop := context.WithTimeout(context.Background(), snapshotTimeout)
	defer stop()
	if snapshot, err := n.router.Snapshot(ctx); err == nil { // otherwise the successor learns it anew
		state.WarmThroughput = snapshot.WarmThroughput
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	state.DiscoveryAddr = n.config.Discovery
	return state
}

// connectionSender returns what hands client connections to the successor, until the link fails: each that waits for a
// successor that hangs would wait in vain, and the others behind it. A connection that has ended meanwhile says nothing
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
