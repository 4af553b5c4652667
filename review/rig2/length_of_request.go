package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"
)

const (
	// order is the whole body of an order; cutBytes is the number of bytes by which a wrong length is too small.
	order    = `{"job":"a-17","printer":"p-4","copies":125}`
	cutBytes = 4
	// badClients is the number of clients that say a length.
	badClients = 10
)

// lengthOfRequest: some clients send orders with a length that is wrong: it is too small. Without the disruption they say
// the right one.
func lengthOfRequest(s *stage) ([]string, error) {
	servers, err := s.startServers(4, constantWork(47*time.Millisecond))
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
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan struct{})
	go func() {
		(&load{addr: listen, rate: 40, prefix: "call", record: s.record}).run(ctx)
		close(ended)
	}()
	time.Sleep(time.Second)
	var broken []string
	for range badClients {
		o, err := s.sendOrder(listen)
		if err != nil {
			return nil, err
		}
		if s.trouble && o.status == 200 {
			broken = append(broken, fmt.Sprintf("%s, whose length is wrong, is served with 200 and %q; %s", o.id, o.body,
				ranAs(servers, o.id)))
		}
		time.Sleep(100 * time.Millisecond)
	}
	stop()
	<-ended
	return broken, nil
}

// sendOrder sends an order at once over a new connection and returns its first answer.
func (s *stage) sendOrder(addr string) (outcome, error) {
	o := outcome{id: newID("order")}
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return o, err
	}
	defer func() { _ = conn.Close() }()
	said := len(order)
	if s.trouble {
		said -= cutBytes
	}
	if _, err := conn.Write(append(head("POST", o.id, "order-confirm", longestDeadline, said), order...)); err != nil {
		return o, err
	}
	sent := time.Now()
	s.record.line("client sends %s: %d bytes of body, said to be %d", o.id, len(order), said)
	_ = conn.SetReadDeadline(sent.Add(3 * time.Second))
	reader := bufio.NewReader(conn)
	readAnswer(reader, &o)
	o.after = time.Since(sent)
	s.record.line("client of %s: status %d, %v, after %v", o.id, o.status, o.err, o.after)
	if s.trouble && o.whole() {
		behind := outcome{id: o.id}
		readAnswer(reader, &behind)
		s.record.line("client of %s, behind that: status %d, %v", o.id, behind.status, behind.err)
	}
	return o, nil
}

// ranAs tells with how many bytes of body servers have run a request.
func ranAs(servers []*server, id string) string {
	for _, server := range servers {
		for _, r := range server.allRuns() {
			if r.id == id {
				return fmt.Sprintf("%s ran it with %d of %d bytes", server.name, r.bodySize, len(order))
			}
		}
	}
	return "no server ran it"
}
