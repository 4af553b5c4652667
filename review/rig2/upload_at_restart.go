package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// uploadSize is the size of a long body; uploadRate is the rate at which its client writes it, in bytes a second.
	uploadSize = 128 << 10
	uploadRate = 64 << 10
	// uploadWork is the time for which a server works on a long request.
	uploadWork = 800 * time.Millisecond
	// restartAfter is the time from the heads of the long requests to SIGTERM.
	restartAfter = 400 * time.Millisecond
)

// uploadAtRestart: clients write long bodies, and a planned restart of the node begins meanwhile. The last bytes come
// more than 0.7 s after SIGTERM and well before the earliest SIGKILL.
func uploadAtRestart(s *stage) ([]string, error) {
	servers, err := s.startServers(4, constantWork(uploadWork))
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
	const warmUp = 2 * time.Second // the node learns that its servers answer
	ctx, stop := context.WithTimeout(context.Background(), warmUp)
	defer stop()
	(&load{addr: listen, rate: 10, prefix: "warm", record: s.record}).run(ctx)

	const uploads = 4
	outcomes := make([]outcome, uploads)
	var running sync.WaitGroup
	for i := range uploads {
		running.Go(func() { outcomes[i] = s.upload(listen) })
	}
	if s.trouble {
		time.Sleep(restartAfter)
		s.signal(node, syscall.SIGTERM)
		time.AfterFunc(killAfter+20*time.Millisecond, func() { s.signal(node, syscall.SIGKILL) })
	}
	running.Wait()
	var broken []string
	for _, o := range outcomes {
		if o.after < 0 {
			continue // its last byte was not written: the node has not taken it
		}
		if !o.whole() {
			broken = append(broken, fmt.Sprintf("%s was taken, %v: no final answer, but %v after %v",
				o.id, "its last byte was written before SIGKILL", o.err, o.after.Round(time.Millisecond)))
		}
	}
	return broken, nil
}

// upload sends an order-confirm with a long body and returns its outcome. The time counts from its last byte, and is
// negative if that could not be written.
func (s *stage) upload(addr string) outcome {
	o := outcome{id: newID("long"), after: -1}
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = conn.Close() }()
	if _, o.err = conn.Write(head("POST", o.id, "order-confirm", longestDeadline, uploadSize)); o.err != nil {
		return o
	}
	s.record.line("client writes the head of %s", o.id)
	const piece = 4 << 10
	began := time.Now()
	for written := 0; written < uploadSize; written += piece {
		if _, o.err = conn.Write(bytes.Repeat([]byte("m"), piece)); o.err != nil {
			s.record.line("client cannot write %s: %v", o.id, o.err)
			return o
		}
		due := time.Duration(written+piece) * time.Second / uploadRate
		time.Sleep(time.Until(began.Add(due)))
	}
	last := time.Now()
	s.record.line("client has written the last byte of %s", o.id)
	_ = conn.SetReadDeadline(last.Add(longestDeadline + 500*time.Millisecond))
	readAnswer(bufio.NewReader(conn), &o)
	o.after = time.Since(last)
	s.record.line("client of %s: status %d, %v, %v after its last byte", o.id, o.status, o.err, o.after)
	return o
}
