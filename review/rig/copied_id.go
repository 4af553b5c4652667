package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["copied-id-during-upgrade"] = copiedIDDuringUpgrade }

// copiedIDDuringUpgrade: four clients send an order-confirm each, whose work takes 0.4 s. While these are open, a bad
// client sends copies of them with the same ids to the same node. It is owed an error or a close, and no server may run an
// id a second time. With trouble, the node is upgraded to a new process meanwhile.
func copiedIDDuringUpgrade(c *caseRun) (broken bool, err error) {
	p, err := c.startPlatform(5, 1, limits{memoryMB: 192, sockets: 1024, operators: true})
	if err != nil {
		return false, err
	}
	n := p.nodes[0]
	var requests []request
	var good []*client
	for i := range 4 {
		r := newRequest("order-confirm", fmt.Sprintf("user%02d", i), confirmBudget, []byte(heavyBody+" order"))
		cl, err := dial(n)
		if err != nil {
			return false, err
		}
		defer func() { _ = cl.Close() }()
		if _, err := cl.call(newRequest("quote", r.user, 600*time.Millisecond, nil)); err != nil { // the connection is kept
			return false, err
		}
		requests = append(requests, r)
		good = append(good, cl)
	}
	if c.trouble {
		keptInUse := make(chan struct{})
		var keeping sync.WaitGroup
		for i, cl := range good {
			keeping.Go(func() { keepInUse(cl, requests[i].user, keptInUse) })
		}
		_, err := p.startSuccessor(n)
		close(keptInUse)
		keeping.Wait()
		if err != nil {
			return false, err
		}
	}
	var all sync.WaitGroup
	for i, r := range requests {
		if _, err := good[i].Write(r.bytes()); err != nil {
			return false, err
		}
		c.logf("client %d sends %s", i, r.id)
		all.Go(func() {
			a, err := good[i].read(time.Now().Add(confirmBudget + answerSlack))
			c.logf("client %d: answer %d to %s, error %v", i, a.status, r.id, err)
		})
	}
	time.Sleep(50 * time.Millisecond)
	if c.trouble {
		if err := c.signal(n.process, syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	time.Sleep(50 * time.Millisecond)
	var mu sync.Mutex
	served := 0
	for _, r := range requests {
		all.Go(func() {
			cl, err := dial(n)
			if err != nil {
				c.logf("bad client: not connected: %v", err)
				return
			}
			defer func() { _ = cl.Close() }()
			a, err := cl.call(r)
			c.logf("bad client: answer %d %+v to its copy of %s, error %v", a.status, a.reply, r.id, err)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && a.status == 200 {
				served++
			}
		})
	}
	all.Wait()
	twice := 0
	for _, r := range requests {
		if runs := c.runsOf(r.id); runs > 1 {
			twice++
			c.logf("order-confirm %s was run %d times", r.id, runs)
		}
	}
	c.logf("%d copies of open requests were sent: %d were served, %d ids were run more than once", len(requests), served, twice)
	return twice > 0 || served > 0, nil
}

// keepInUse sends a short request on a kept connection every 0.3 s until done is closed, so that the node does not close
// the connection as idle. An error shows when the connection is used again.
func keepInUse(cl *client, user string, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(300 * time.Millisecond):
		}
		if _, err := cl.call(newRequest("quote", user, 600*time.Millisecond, nil)); err != nil {
			return
		}
	}
}
