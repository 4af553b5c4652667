package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// heavyWork is the work of an order that costs 30 times the usual.
	heavyWork = 1400 * time.Millisecond
	// copiedOrders is the number of orders that are open when the old process gets SIGTERM.
	copiedOrders = 4
)

// copyAfterKill: orders are open in the old process of an upgrade, which has got SIGTERM. The new process is killed and
// started again. Then a bad client sends each open order once more, under the same id.
func copyAfterKill(s *stage) ([]string, error) {
	servers, err := s.startServers(4, func(r *http.Request) time.Duration {
		if strings.HasPrefix(r.Header.Get("X-Call-Id"), "order") {
			return heavyWork
		}
		return 30 * time.Millisecond
	})
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
	admin, err := freeAddr()
	if err != nil {
		return nil, err
	}
	old, err := s.startNode("n1", nodeConfig{name: "n1", listen: listen, admin: admin, discovery: found, nodes: 2})
	if err != nil {
		return nil, err
	}
	if err := s.awaitReady(old); err != nil {
		return nil, err
	}
	conns, err := s.keptConns(listen)
	if err != nil {
		return nil, err
	}
	next := old.nodeConfig
	if next.admin, err = freeAddr(); err != nil {
		return nil, err
	}
	successor, err := s.startNode("n1-new", next)
	if err != nil {
		return nil, err
	}
	if err := s.awaitYes(successor, 6*time.Second); err != nil {
		return nil, err
	}

	originals := make([]outcome, copiedOrders)
	var running sync.WaitGroup
	for i, conn := range conns {
		originals[i].id = newID("order")
		running.Go(func() { s.exchange(conn, &originals[i]) })
	}
	time.Sleep(50 * time.Millisecond)
	s.signal(old, syscall.SIGTERM)
	time.Sleep(50 * time.Millisecond)
	if s.trouble {
		s.signal(successor, syscall.SIGKILL)
		<-successor.ended
		again, err := s.startNode("n1-again", next)
		if err != nil {
			return nil, err
		}
		if err := s.awaitReady(again); err != nil {
			return nil, err
		}
	}
	copies := make([]outcome, copiedOrders)
	for i := range copies {
		copies[i].id = originals[i].id
		conn, err := net.Dial("tcp", listen)
		if err != nil {
			return nil, err
		}
		running.Go(func() { s.exchange(conn, &copies[i]) })
	}
	running.Wait()
	time.Sleep(500 * time.Millisecond)
	var broken []string
	for i, original := range originals {
		runs := 0
		for _, server := range servers {
			for _, r := range server.allRuns() {
				if r.id == original.id {
					runs++
				}
			}
		}
		if runs > 1 {
			broken = append(broken, fmt.Sprintf("%s ran %d times; its client got %d, the copy %d", original.id, runs,
				original.status, copies[i].status))
		}
	}
	return broken, nil
}

// keptConns opens connections and sends one request over each, so that the process that serves now has them.
func (s *stage) keptConns(addr string) ([]net.Conn, error) {
	var conns []net.Conn
	for range copiedOrders {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return nil, err
		}
		o := outcome{id: newID("first")}
		if _, err := conn.Write(head("GET", o.id, "quote", 600*time.Millisecond, 0)); err != nil {
			return nil, err
		}
		if readAnswer(bufio.NewReader(conn), &o); o.err != nil {
			return nil, o.err
		}
		conns = append(conns, conn)
	}
	return conns, nil
}

// exchange sends an order over a connection and reads its answer.
func (s *stage) exchange(conn net.Conn, o *outcome) {
	defer func() { _ = conn.Close() }()
	s.record.line("client sends %s from %v", o.id, conn.LocalAddr())
	sent := time.Now()
	if _, o.err = conn.Write(head("POST", o.id, "order-confirm", longestDeadline, 0)); o.err == nil {
		_ = conn.SetReadDeadline(sent.Add(longestDeadline + 500*time.Millisecond))
		readAnswer(bufio.NewReader(conn), o)
	}
	o.after = time.Since(sent)
	s.record.line("client of %s at %v: status %d, %v, after %v", o.id, conn.LocalAddr(), o.status, o.err, o.after)
}
