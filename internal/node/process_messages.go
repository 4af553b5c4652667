package node

import (
	"fmt"
	"net"
	"os"
	"runtime/debug"

	"olivebridge/internal/admin"
	"olivebridge/internal/handover"
)

// receive handles another process's messages until that has ended.
func (n *Node) receive(link *handover.Link) {
	for {
		message, file, err := link.Receive()
		if err != nil {
			break
		}
		n.handleMessage(link, message, file)
		if file != nil {
			_ = file.Close()
		}
	}
	n.handleEnded(link)
}

// handleMessage handles one message. It guards the node against a panic, which must not end it.
func (n *Node) handleMessage(link *handover.Link, message handover.Message, file *os.File) {
	defer func() {
		if p := recover(); p != nil {
			n.log.Error("panic", "in", "hand-over", "value", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	switch message.Kind {
	case handover.KindReady:
		n.handleReady(link, message)
	case handover.KindCommand:
		n.handleCommand(link, message)
	case handover.KindResult:
		link.Resolve(message)
	case handover.KindConnection:
		n.handleConnection(file)
	}
}

func (n *Node) handleReady(link *handover.Link, message handover.Message) {
	n.processes.setReady(link)
	n.log.Info("successor takes clients")
	n.releaseFleet()
	n.sendResult(link, message, nil)
}

func (n *Node) handleCommand(link *handover.Link, message handover.Message) {
	if message.ServerID != "" { // the other process has seen it listed, even if this one has not
		n.router.AddUnlistedServer(message.ServerID)
	}
	command := admin.Command{Name: message.Command, ServerID: message.ServerID}
	_, err := n.executeAndForward(command, link)
	n.sendResult(link, message, err)
}

// sendResult answers a request. If it fails, so does the next Receive.
func (n *Node) sendResult(link *handover.Link, request handover.Message, err error) {
	result := handover.Message{Kind: handover.KindResult, RequestNumber: request.RequestNumber}
	if err != nil {
		result.Error = err.Error()
	}
	_ = link.Send(result, nil)
}

// handleConnection adopts a client connection before the next message is received: an end that came between would lose
// it.
func (n *Node) handleConnection(file *os.File) {
	if file == nil {
		return
	}
	if conn, err := net.FileConn(file); err == nil {
		n.frontend.Adopt(conn)
	}
}

// handleEnded notes that another process of the node has ended.
func (n *Node) handleEnded(link *handover.Link) {
	link.Close()
	removal := n.processes.remove(link)
	n.log.Info("the node's other process has ended")
	n.applyLimits()
	if removal.acceptSuccessor {
		n.processes.closeListener()
		n.awaitSuccessor()
	}
	if removal.rejoinFleet {
		n.rejoinFleet()
	}
}
