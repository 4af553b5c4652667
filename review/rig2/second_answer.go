package main

import (
	"context"
	"math/rand/v2"
	"net"
	"time"
)

const (
	// secondAfter is the time after an answer at which a server sends it a second time.
	secondAfter = 9 * time.Millisecond
	// secondShare is the share of answers that come twice.
	secondShare = 0.05
	// minWay and maxWay are the time one way between the sites.
	minWay = 2800 * time.Microsecond
	maxWay = 5200 * time.Microsecond
)

// secondAnswer: servers at the other site send some answers a second time, some milliseconds after the first, if
// nothing else waits on the connection.
func secondAnswer(s *stage) ([]string, error) {
	servers, err := s.startServers(4, constantWork(3*time.Millisecond))
	if err != nil {
		return nil, err
	}
	for _, server := range servers {
		server.zone = "derby" // the node is in tamworth
		if s.trouble {
			server.second = func(c *serverConn, answer []byte) { s.answerAgain(server, c, answer) }
		}
		if server.addr, err = startWay(server.addr); err != nil {
			return nil, err
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
	ctx, stop := context.WithTimeout(context.Background(), 90*time.Second)
	defer stop()
	return s.foreignAnswers(ctx, &load{addr: listen, rate: 280, prefix: "call", record: s.record}), nil
}

// answerAgain writes an answer a second time, some milliseconds after the first, unless a further request has begun.
func (s *stage) answerAgain(server *server, c *serverConn, answer []byte) {
	if rand.Float64() >= secondShare {
		return
	}
	received := c.received.Load()
	time.AfterFunc(secondAfter, func() {
		c.write.Lock()
		defer c.write.Unlock()
		if c.received.Load() != received {
			return
		}
		s.record.line("%s answers a second time: %q", server.name, answer[len(answer)-len(answerTo("call-000000")):])
		_, _ = c.Write(answer)
	})
}

// startWay starts a proxy that delays all bytes by the time of the way between the sites, in each direction.
func startWay(to string) (addr string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				_ = near.Close()
				continue
			}
			go carry(near, far)
			go carry(far, near)
		}
	}()
	return listener.Addr().String(), nil
}

// parcel is a piece of a message on its way.
type parcel struct {
	bytes []byte
	due   time.Time
}

// carry passes on what it reads, each piece after a time of its own and in order, and then the end.
func carry(from, to net.Conn) {
	parcels := make(chan parcel, 1024)
	go func() {
		for p := range parcels {
			time.Sleep(time.Until(p.due))
			if _, err := to.Write(p.bytes); err != nil {
				_ = from.Close()
			}
		}
		_ = to.Close()
	}()
	defer close(parcels)
	for {
		buf := make([]byte, 4096)
		n, err := from.Read(buf)
		if n > 0 {
			parcels <- parcel{buf[:n], time.Now().Add(minWay + rand.N(maxWay-minWay))}
		}
		if err != nil {
			return
		}
	}
}
