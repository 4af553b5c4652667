package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// The plays of this file are no cases of their own (three at most): REPORT.md has their results.
func init() {
	cases["slow-head-in-a-crowd"] = slowHeadInACrowd
	cases["crowd-at-once"] = crowdAtOnce
}

const (
	// crowdSize: DAYS, "crowds of thousands that connect and idle or stop half way". In slowHeadInACrowd they come within
	// slowCrowdTime, in crowdAtOnce within fastCrowdTime.
	crowdSize     = 2000
	slowCrowdTime = 8 * time.Second
	fastCrowdTime = 200 * time.Millisecond
	// slowHeadPause is the time between the two pieces of a slow client's head; DAYS: "some written in 2 s".
	slowHeadPause = 1500 * time.Millisecond
)

// slowHeadInACrowd: a crowd of clients connects to a node and stops half way in the head. Meanwhile other clients write
// their heads in two pieces within 2 s. Each request of these whose head the node has begun to read is owed its answer.
func slowHeadInACrowd(c *caseRun) (broken bool, err error) {
	p, err := c.startPlatform(5, 1, halvedLimits)
	if err != nil {
		return false, err
	}
	n := p.nodes[0]
	var all sync.WaitGroup
	if c.trouble {
		all.Go(func() { crowd(&all, n, slowCrowdTime) })
		time.Sleep(time.Second)
	}
	var mu sync.Mutex
	results := map[string]int{}
	for i := range 20 {
		all.Go(func() {
			result := headInTwoPieces(c, n, fmt.Sprintf("user%02d", i))
			mu.Lock()
			defer mu.Unlock()
			results[result]++
		})
		time.Sleep(100 * time.Millisecond)
	}
	all.Wait()
	c.logf("20 clients: %v", results)
	return results["lost"] > 0, nil
}

// crowdAtOnce: a crowd of clients connects to a node within 0.2 s and stops half way in the head. Other clients send
// job-status requests on new connections, each in one piece. Each of these whose connection was accepted and is not shut
// is owed its answer at most half a second after its time.
func crowdAtOnce(c *caseRun) (broken bool, err error) {
	p, err := c.startPlatform(5, 1, halvedLimits)
	if err != nil {
		return false, err
	}
	n := p.nodes[0]
	var all sync.WaitGroup
	if c.trouble {
		all.Go(func() { crowd(&all, n, fastCrowdTime) })
	}
	var mu sync.Mutex
	results := map[string]int{}
	for i := range 200 {
		all.Go(func() {
			result := oneRequest(c, n, fmt.Sprintf("user%02d", i%100))
			mu.Lock()
			defer mu.Unlock()
			results[result]++
		})
		time.Sleep(20 * time.Millisecond)
	}
	all.Wait()
	c.logf("200 requests: %v", results)
	return results["lost"] > 0, nil
}

// oneRequest sends a request on a new connection and returns what became of it.
func oneRequest(c *caseRun, n *node, user string) string {
	const budget = 300 * time.Millisecond
	r := newRequest("job-status", user, budget, nil)
	cl, err := dial(n)
	if err != nil {
		return "not connected"
	}
	defer func() { _ = cl.Close() }()
	if _, err := cl.Write(r.bytes()); err != nil {
		return "shut unread"
	}
	written := time.Now()
	a, err := cl.read(written.Add(5 * time.Second))
	switch {
	case closedByNode(err):
		return "shut unread"
	case err != nil || a.at.After(written.Add(budget+answerSlack)):
		c.logf("request %s: last byte written at %s, answer %d %.3f s later, error %v: LOST", r.id, clock(written), a.status,
			time.Since(written).Seconds(), err)
		return "lost"
	}
	return fmt.Sprintf("answered %d", a.status)
}

// crowd connects crowdSize clients, evenly over a time. Each stops half way.
func crowd(all *sync.WaitGroup, n *node, within time.Duration) {
	began := time.Now()
	for i := range crowdSize {
		time.Sleep(time.Until(began.Add(within * time.Duration(i) / crowdSize)))
		all.Go(func() { stopHalfWay(n) })
	}
}

// stopHalfWay connects, sends half of a head and stays until the node ends the connection.
func stopHalfWay(n *node) {
	conn, err := net.DialTimeout("tcp", n.addr, 3*time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write([]byte("GET /api?user=crowd HTTP/1.1\r\nHost: api.inter"))
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, _ = conn.Read(make([]byte, 512))
}

// headInTwoPieces sends a request on a new connection, its head in two pieces, and returns what became of it.
func headInTwoPieces(c *caseRun, n *node, user string) string {
	r := newRequest("order-confirm", user, confirmBudget, []byte("body"))
	message := r.bytes()
	cl, err := dial(n)
	if err != nil {
		return "not connected"
	}
	defer func() { _ = cl.Close() }()
	began := time.Now()
	if _, err := cl.Write(message[:60]); err != nil {
		return "shut unread"
	}
	_ = cl.SetReadDeadline(began.Add(slowHeadPause))
	_, ended := cl.in.Peek(1)
	if closedByNode(ended) {
		c.logf("request %s for %s: the node ended the connection %.3f s after the first 60 bytes of the request: %v", r.id,
			user, time.Since(began).Seconds(), ended)
	}
	time.Sleep(time.Until(began.Add(slowHeadPause)))
	_, writeErr := cl.Write(message[60:])
	written := time.Now()
	a, err := cl.read(written.Add(confirmBudget + answerSlack))
	switch {
	case err == nil:
		c.logf("request %s for %s: head begun at %s, last byte written %.3f s later, answer %d after %.3f s", r.id, user,
			clock(began), written.Sub(began).Seconds(), a.status, a.at.Sub(written).Seconds())
		return fmt.Sprintf("answered %d", a.status)
	case closedByNode(ended) && ended.Error() != "EOF": // a reset: bytes were unread
		return "shut unread"
	}
	c.logf("request %s for %s: head begun at %s, last byte written %.3f s later (%v), no answer: %v: LOST", r.id, user,
		clock(began), written.Sub(began).Seconds(), writeErr, err)
	return "lost"
}
