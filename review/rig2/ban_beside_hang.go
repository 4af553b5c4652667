package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// drainGrace is the grace of the rule on drains, with its slack on sockets.
const drainGrace = 2500*time.Millisecond + 50*time.Millisecond

// banBesideHang: an operator bans a server at a node, whose process hangs for 3 s just when a new version starts.
func banBesideHang(s *stage) ([]string, error) {
	servers, found, old, err := s.startUpgradable()
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	clients := &load{addr: old.listen, rate: 40, prefix: "call", record: s.record}
	ended := make(chan struct{})
	go func() {
		clients.run(ctx)
		close(ended)
	}()
	defer func() {
		stop()
		<-ended
	}()
	time.Sleep(2 * time.Second)
	if err := s.mustTell(old, "SUSPEND s-2"); err != nil {
		return nil, err
	}
	banned := time.Now()
	time.Sleep(time.Second)

	const hang = 3 * time.Second
	if s.trouble {
		s.signal(old, syscall.SIGSTOP)
		time.AfterFunc(hang, func() { s.signal(old, syscall.SIGCONT) })
	}
	admin, err := freeAddr()
	if err != nil {
		return nil, err
	}
	successor, err := s.startNode("n1-new", nodeConfig{name: "n1", listen: old.listen, admin: admin, discovery: found, nodes: 2})
	if err != nil {
		return nil, err
	}
	if err := s.awaitYes(successor, 6*time.Second); err != nil {
		return nil, err
	}
	s.signal(old, syscall.SIGTERM)
	time.Sleep(8 * time.Second)
	return workAtBanned(servers[1], banned.Add(drainGrace)), nil
}

// startUpgradable starts four servers, discovery and a node with an admin listener.
func (s *stage) startUpgradable() ([]*server, *discovery, *nodeProcess, error) {
	servers, err := s.startServers(4, constantWork(30*time.Millisecond))
	if err != nil {
		return nil, nil, nil, err
	}
	found, err := startDiscovery(servers)
	if err != nil {
		return nil, nil, nil, err
	}
	listen, err := freeAddr()
	if err != nil {
		return nil, nil, nil, err
	}
	admin, err := freeAddr()
	if err != nil {
		return nil, nil, nil, err
	}
	node, err := s.startNode("n1", nodeConfig{name: "n1", listen: listen, admin: admin, discovery: found, nodes: 2})
	if err != nil {
		return nil, nil, nil, err
	}
	return servers, found, node, s.awaitReady(node)
}

// workAtBanned returns a line for each request that a banned server has received after a time.
func workAtBanned(banned *server, after time.Time) []string {
	var broken []string
	for _, r := range banned.runsAfter(after) {
		broken = append(broken, fmt.Sprintf("%s got %s, %v after the grace of its ban, which is not called back",
			banned.name, r.id, r.at.Sub(after).Round(time.Millisecond)))
	}
	return broken
}
