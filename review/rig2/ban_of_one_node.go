package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// banOfOneNode: an operator bans a server at one node. The fleet bans the same server meanwhile, and the node is
// upgraded. Then the fleet's ban is called back, and the node's own is not.
func banOfOneNode(s *stage) ([]string, error) {
	servers, err := s.startServers(4, constantWork(30*time.Millisecond))
	if err != nil {
		return nil, err
	}
	found, err := startDiscovery(servers)
	if err != nil {
		return nil, err
	}
	nodes, err := s.startFleet(found, 3)
	if err != nil {
		return nil, err
	}
	first, second := nodes[0], nodes[1]
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { // only n1 has clients: what a server runs was sent by n1
		(&load{addr: first.listen, rate: 40, prefix: "call", record: s.record}).run(ctx)
		close(ended)
	}()
	defer func() {
		stop()
		<-ended
	}()
	if err := s.awaitFleet(second); err != nil {
		return nil, err
	}
	if err := s.mustTell(first, "SUSPEND s-2"); err != nil {
		return nil, err
	}
	banned := time.Now()
	if err := s.mustTell(second, "FLEET SUSPEND s-2"); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second) // each node asks four times a second
	s.record.line("n1 says: %s", s.tell(first, "FLEET STATUS"))
	if s.trouble {
		if first, err = s.upgrade(first); err != nil {
			return nil, err
		}
	}
	time.Sleep(5 * time.Second)
	s.record.line("n1 says: %s", s.tell(first, "FLEET STATUS"))
	if err := s.mustTell(second, "FLEET RESTORE s-2"); err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second)
	s.record.line("n1 says: %s", s.tell(first, "STATUS"))
	return workAtBanned(servers[1], banned.Add(drainGrace)), nil
}

// startFleet starts nodes n1 and so on as a fleet, whose operators' log they all keep.
func (s *stage) startFleet(found *discovery, count int) ([]*nodeProcess, error) {
	var names, join []string
	for i := range count {
		addr, err := freeAddr()
		if err != nil {
			return nil, err
		}
		names = append(names, fmt.Sprintf("%q", fmt.Sprintf("n%d", i+1)))
		join = append(join, fmt.Sprintf("%q", addr))
	}
	var nodes []*nodeProcess
	for i := range count {
		name := fmt.Sprintf("n%d", i+1)
		directory := filepath.Join(s.dir, "fleet-"+name)
		if err := os.MkdirAll(directory, 0o700); err != nil {
			return nil, err
		}
		file := filepath.Join(s.dir, name+".toml")
		text := fmt.Sprintf("[member]\nfleet = \"review\"\nlisten = %s\njoin = [%s]\nzone = \"tamworth\"\n"+
			"directory = %q\n\n[operators]\nkeepers = [%s]\nedition = 1\n",
			join[i], strings.Join(join, ", "), directory, strings.Join(names, ", "))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return nil, err
		}
		listen, err := freeAddr()
		if err != nil {
			return nil, err
		}
		admin, err := freeAddr()
		if err != nil {
			return nil, err
		}
		node, err := s.startNode(name, nodeConfig{
			name: name, listen: listen, admin: admin, discovery: found, nodes: count, fleet: file,
		})
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, node)
	}
	for _, node := range nodes {
		if err := s.awaitReady(node); err != nil {
			return nil, err
		}
	}
	return nodes, nil
}

// awaitFleet waits until the fleet has a leader for its operators' calls: a call back of a server that is in use.
func (s *stage) awaitFleet(n *nodeProcess) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if isYes(s.tell(n, "FLEET RESTORE s-4")) {
			return nil
		}
	}
	return errors.New("the fleet has no leader")
}

// upgrade starts a new process of a node, ends the old one once the new one says yes, and returns the new one.
func (s *stage) upgrade(old *nodeProcess) (*nodeProcess, error) {
	next := old.nodeConfig
	var err error
	if next.admin, err = freeAddr(); err != nil {
		return nil, err
	}
	successor, err := s.startNode(old.label+"-new", next)
	if err != nil {
		return nil, err
	}
	if err := s.awaitYes(successor, 6*time.Second); err != nil {
		return nil, err
	}
	s.signal(old, syscall.SIGTERM)
	return successor, nil
}
