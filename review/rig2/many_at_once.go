package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"
)

const (
	// commandsAtOnce is the number of requests that a client sends at once, and commandBudget the time of each.
	commandsAtOnce = 60
	commandBudget  = 600 * time.Millisecond
	// commandWork is the mean work of a quote.
	commandWork = 33 * time.Millisecond
	// lateSlack is the time after its end from which a request that has no final answer is lost.
	lateSlack = 500 * time.Millisecond
)

// manyAtOnce: a client sends many commands at once. Without the disruption it sends the same ones one by one.
func manyAtOnce(s *stage) ([]string, error) {
	servers, err := s.startServers(6, constantWork(commandWork))
	if err != nil {
		return nil, err
	}
	found, err := startDiscovery(servers)
	if err != nil {
		return nil, err
	}
	listen, err := freeAddr()
	if err != nil {
		return nil, err
	}
	node, err := s.startNode("n1", nodeConfig{name: "n1", listen: listen, discovery: found, nodes: 2})
	if err != nil {
		return nil, err
	}
	if err := s.awaitReady(node); err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	(&load{addr: listen, rate: 20, prefix: "warm", record: s.record}).run(ctx)

	outcomes, err := s.sendCommands(listen)
	if err != nil {
		return nil, err
	}
	var broken []string
	for _, o := range outcomes {
		if late := o.after - commandBudget; !o.whole() || late > lateSlack {
			broken = append(broken, fmt.Sprintf("%s: status %d, %v after its time", o.id, o.status, late))
		}
	}
	return broken, nil
}

// sendCommands sends the commands over one connection, at once or one by one, and returns their outcomes. The time of
// each counts from its last byte.
func (s *stage) sendCommands(addr string) ([]outcome, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	outcomes := make([]outcome, commandsAtOnce)
	sent := make([]time.Time, commandsAtOnce)
	var all []byte
	for i := range outcomes {
		outcomes[i].id = newID("cmd")
		all = append(all, head("GET", outcomes[i].id, "quote", commandBudget, 0)...)
	}
	if s.trouble {
		if _, err := conn.Write(all); err != nil {
			return nil, err
		}
		for i := range sent {
			sent[i] = time.Now()
		}
		s.record.line("client has sent %d commands at once, %d bytes", commandsAtOnce, len(all))
	}
	_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	for i := range outcomes {
		o := &outcomes[i]
		if !s.trouble {
			if _, err := conn.Write(head("GET", o.id, "quote", commandBudget, 0)); err != nil {
				return nil, err
			}
			sent[i] = time.Now()
		}
		readAnswer(reader, o)
		o.after = time.Since(sent[i])
		s.record.line("client of %s: status %d, %v, %v after its last byte", o.id, o.status, o.err, o.after)
	}
	return outcomes, nil
}
