package node

import (
	"errors"
	"fmt"
	"net"

	"olivebridge/balancer"
	"olivebridge/internal/handover"
	"olivebridge/internal/routing"
)

// takeOver takes over the state of the process in service and returns its listener for clients. A nil listener means
// that there is no such process or that the takeover failed, which is logged: the node then starts as the only process.
// paused reports whether operators have paused the node.
func (n *Node) takeOver() (listener net.Listener, paused bool) {
	if !n.canHandOver() {
		return nil, false
	}
	takeover, err := n.connectToPredecessor()
	if unresponsive, ok := errors.AsType[*handover.UnresponsiveError](err); ok {
		n.processes.predecessor = unresponsive.Link // needs no lock: no other goroutine is running yet
	}
	if err != nil {
		n.log.Warn("hand-over failed", "reason", err.Error())
		return nil, false
	}
	if takeover == nil {
		return nil, false
	}
	n.processes.predecessor = takeover.Link // needs no lock: no other goroutine is running yet
	n.processes.tookOver = true
	n.processes.predecessorAnswersClaims = takeover.State.AnswersClaims
	if !takeover.State.AnswersClaims {
		n.log.Warn("predecessor does not answer", "calls", "those that must not run twice fail until it ends",
			"reason", "an earlier build")
	}
	n.adoptState(takeover.State)
	n.log.Info("taking over", "servers", len(takeover.State.Servers), "version", n.config.KnownEndpointsVersion,
		"paused", takeover.State.Paused)
	return takeover.Listener, takeover.State.Paused
}

// canHandOver reports whether the processes of this node can connect to each other. A node without an admin listener
// has no hand-over, since only operators upgrade a node.
func (n *Node) canHandOver() bool {
	return n.options.HandoverPath != "" && n.servers != nil
}

// connectToPredecessor connects to the process in service and receives its state. It returns nil without an error if
// there is no such process.
func (n *Node) connectToPredecessor() (*handover.Takeover, error) {
	takeover, err := handover.Connect(n.options.HandoverPath)
	if err != nil || takeover == nil {
		return nil, err
	}
	if !listensOn(takeover.Listener, n.config.Listen) {
		err := fmt.Errorf("the process in service listens on %s, but this process is configured for %s",
			takeover.Listener.Addr(), n.config.Listen)
		_ = takeover.Listener.Close()
		takeover.Link.Close()
		return nil, err
	}
	return takeover, nil
}

// listensOn reports whether a listener has the address addr. Port 0 in addr matches any address.
func listensOn(listener net.Listener, addr string) bool {
	want, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return false
	}
	have, ok := listener.Addr().(*net.TCPAddr)
	if !ok {
		return false
	}
	return want.Port == 0 || want.Port == have.Port && want.IP.Equal(have.IP)
}

// adoptState replaces parts of the configuration by the predecessor's state: servers, endpoint list and throughput.
func (n *Node) adoptState(state handover.NodeState) {
	n.servers.Import(state.Servers)
	var known routing.EndpointList
	for _, record := range state.Servers {
		known.Endpoints = append(known.Endpoints, routing.Endpoint{
			Server: balancer.Server(record.Listed),
			Name:   record.Name,
			Addr:   record.Addr,
		})
	}
	if len(known.Endpoints) > 0 {
		n.config.KnownEndpoints = known
		n.config.KnownEndpointsVersion = unknownVersion
		if state.DiscoveryAddr == n.config.Discovery {
			n.config.KnownEndpointsVersion = state.ListVersion
		}
	}
	n.config.Settings.WarmThroughput = state.WarmThroughput
}

// completeTakeover notifies the predecessor that this process accepts clients, and then listens for a successor in the
// predecessor's place.
func (n *Node) completeTakeover() {
	if !n.canHandOver() {
		return
	}
	if predecessor := n.processes.predecessorLink(); predecessor != nil && n.processes.tookOver {
		n.reportReady(predecessor)
	}
	n.awaitSuccessor()
}

// receiveFromPredecessor starts to handle the messages of the predecessor. That must precede the first command which
// this process forwards: the predecessor's answers are among the messages.
func (n *Node) receiveFromPredecessor() {
	if predecessor := n.processes.predecessor; predecessor != nil { // needs no lock: only receive, started here, clears it
		n.processes.running.Go(func() { n.receive(predecessor) })
	}
}

// reportReady notifies the predecessor that this process accepts clients.
func (n *Node) reportReady(predecessor *handover.Link) {
	if err := predecessor.Request(handover.Message{Kind: handover.KindReady}); err != nil {
		n.log.Warn("hand-over failed", "reason", err.Error())
	}
}

// handleLateState handles the last message of the state of a predecessor that did not answer in time. This process
// already has a listener and an endpoint list of its own, but the two are one node from now on.
func (n *Node) handleLateState(link *handover.Link, message handover.Message) {
	n.log.Info("predecessor answers after all", "claims", message.AnswersClaims)
	if message.AnswersClaims {
		n.router.PredecessorAnswers(linkedProcess{link})
	}
	n.processes.running.Go(func() { n.reportReady(link) })
}
