package node

import (
	"fmt"
	"net"

	"olivebridge/balancer"
	"olivebridge/internal/handover"
	"olivebridge/internal/routing"
)

// takeOver takes over from the process in service, if there is one, and returns the clients' listener; nil: the node
// starts as if it were alone. Whatever fails is logged.
func (n *Node) takeOver() (listener net.Listener, paused bool) {
	if !n.canHandOver() {
		return nil, false
	}
	takeover, err := n.connectToPredecessor()
	if err != nil {
		n.log.Warn("hand-over failed", "reason", err.Error())
		return nil, false
	}
	if takeover == nil {
		return nil, false
	}
	n.processes.predecessor = takeover.Link // nothing else runs yet
	n.adoptState(takeover.State)
	n.log.Info("taking over", "servers", len(takeover.State.Servers), "version", n.config.KnownEndpointsVersion,
		"paused", takeover.State.Paused)
	return takeover.Listener, takeover.State.Paused
}

// canHandOver reports whether the processes of this node find each other. Without operators nobody upgrades it.
func (n *Node) canHandOver() bool {
	return n.options.HandoverPath != "" && n.servers != nil
}

// connectToPredecessor returns nil without an error where there is none.
func (n *Node) connectToPredecessor() (*handover.Takeover, error) {
	takeover, err := handover.Connect(n.options.HandoverPath)
	if err != nil || takeover == nil {
		return nil, err
	}
	if !listensOn(takeover.Listener, n.config.Listen) {
		err := fmt.Errorf("the process in service listens on %s, and this one is told %s",
			takeover.Listener.Addr(), n.config.Listen)
		_ = takeover.Listener.Close()
		takeover.Link.Close()
		return nil, err
	}
	return takeover, nil
}

// listensOn reports whether a listener is on an address, of which port 0 is any.
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

// adoptState has the node start from what its predecessor knows.
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

// completeTakeover tells the predecessor that clients are served here, and waits for a successor in its place.
func (n *Node) completeTakeover() {
	if !n.canHandOver() {
		return
	}
	if predecessor := n.processes.predecessor; predecessor != nil { // nothing changes it before receive runs
		n.processes.running.Go(func() { n.receive(predecessor) })
		if err := predecessor.Request(handover.Message{Kind: handover.KindReady}); err != nil {
			n.log.Warn("hand-over failed", "reason", err.Error())
		}
	}
	n.awaitSuccessor()
}
