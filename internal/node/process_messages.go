package node

import (
	"fmt"
	"net"
	"os"
	"runtime/debug"

	"olivebridge/internal/admin"
	"olivebridge/internal/handover"
)

// receive handles the messages of another process until its link ends.
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

// handleMessage handles one message. It recovers from a panic, which would otherwise end the node.
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
	case handover.KindListener:
		n.handleLateState(link, message)
	case handover.KindClaim, handover.KindClaimResult, handover.KindOpened, handover.KindClosed:
		n.handleCalls(link, message)
	}
}

func (n *Node) handleReady(link *handover.Link, message handover.Message) {
	n.processes.setReady(link)
	n.log.Info("successor takes clients")
	n.releaseFleet()
	n.sendResult(link, message, nil)
}

func (n *Node) handleCommand(link *handover.Link, message handover.Message) {
	if message.ServerID != "" { // the other process knows the server from an endpoint list that this one may not have
		n.router.AddUnlistedServer(message.ServerID)
	}
	command := admin.Command{Name: message.Command, ServerID: message.ServerID}
	_, err := n.executeAndForward(command, link)
	n.sendResult(link, message, err)
}

// sendResult sends the result of a request; a nil err means success. An error of Send is ignored, since the next
// Receive fails as well.
func (n *Node) sendResult(link *handover.Link, request handover.Message, err error) {
	result := handover.Message{Kind: handover.KindResult, RequestNumber: request.RequestNumber}
	if err != nil {
		result.Error = err.Error()
	}
	_ = link.Send(result, nil)
}

// handleConnection passes a client connection to the frontend; nil: none came with the message. It does not wait until
// the frontend accepts the connection, which takes until there is room for it: the answers to claims and to operators'
// commands come behind it. A link that ends meanwhile does not lose the connection.
func (n *Node) handleConnection(file *os.File) {
	if file == nil {
		return
	}
	if conn, err := net.FileConn(file); err == nil {
		n.processes.running.Go(func() { n.frontend.Adopt(conn) })
	}
}

// handleEnded handles the end of another process of the node: it removes the link and adapts the resource limits. If a
// successor has ended, this process waits for another one and acquires the fleet membership again.
func (n *Node) handleEnded(link *handover.Link) {
	link.Close()
	removal := n.processes.remove(link)
	n.router.EndPeer(linkedProcess{link})
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
