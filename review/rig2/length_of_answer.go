package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// spoiltShare is the share of answers whose length is wrong.
	spoiltShare = 0.05
	// missingBytes is the number of bytes by which a wrong length is too small.
	missingBytes = 6
)

// lengthOfAnswer: some answers of the servers say a length that does not fit them: it is too small.
func lengthOfAnswer(s *stage) ([]string, error) {
	servers, err := s.startServers(4, constantWork(30*time.Millisecond))
	if err != nil {
		return nil, err
	}
	for _, server := range servers {
		if s.trouble {
			server.saidLength = func(body string) int {
				if rand.Float64() >= spoiltShare {
					return len(body)
				}
				s.record.line("%s spoils the length of %q", server.name, body)
				return len(body) - missingBytes
			}
		}
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
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	return s.foreignAnswers(ctx, &load{addr: listen, rate: 100, prefix: "call", record: s.record}), nil
}

// foreignAnswers runs a load and returns a line for each request that was served with anything but the answer made for it.
func (s *stage) foreignAnswers(ctx context.Context, clients *load) []string {
	var mu sync.Mutex
	var broken []string
	clients.judge = func(o outcome) {
		if o.status == 200 && o.err == nil && o.body != answerTo(o.id) {
			s.record.line("client of %s is served with %q", o.id, o.body)
			mu.Lock()
			defer mu.Unlock()
			broken = append(broken, fmt.Sprintf("the client of %s is served with %q", o.id, o.body))
		}
	}
	clients.run(ctx)
	return broken
}
