package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["long-request-to-silent-server"] = longRequestToSilentServer }

const (
	// silence is the time for which a server is silent: STANDING, split+mass: "for 6 s ... a fifth of the servers fall silent".
	silence = 6 * time.Second
)

// longBodies are the lengths of the long requests' bodies; DAYS: "Answers and bodies of up to 32 MB occur". Which of them
// the kernel's buffers hold on the way to a silent server differs between machines.
var longBodies = []int{1 << 19, 1 << 20, 2 << 20, 3 << 20, 4 << 20, 5 << 20, 6 << 20, 8 << 20}

// longRequestToSilentServer: five servers, of which one falls silent for 6 s. Clients send long requests meanwhile. Each
// request whose last byte was written is owed a final answer at most half a second after its time.
func longRequestToSilentServer(c *caseRun) (broken bool, err error) {
	p, err := c.startPlatform(5, 2, usualLimits)
	if err != nil {
		return false, err
	}
	type plan struct {
		node   *node
		user   string
		length int // of the body
	}
	var plans []plan
	silent := ""
	for _, n := range p.nodes {
		users, err := c.usersOf(n, 40)
		if err != nil {
			return false, err
		}
		if silent == "" {
			for name, of := range users {
				if len(of) > len(users[silent]) {
					silent = name
				}
			}
		}
		for name, of := range users {
			if name != silent { // two requests for comparison
				plans = append(plans, plan{n, of[0], longBodies[0]}, plan{n, of[0], longBodies[len(longBodies)-1]})
				continue
			}
			for i, length := range longBodies {
				plans = append(plans, plan{n, of[i%len(of)], length})
			}
		}
	}
	if c.trouble {
		if err := c.signal(p.servers[silent], syscall.SIGSTOP); err != nil {
			return false, err
		}
		time.AfterFunc(silence, func() { _ = c.signal(p.servers[silent], syscall.SIGCONT) })
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	taken, lost := 0, 0
	for _, plan := range plans {
		all.Go(func() {
			r := newRequest("order-confirm", plan.user, confirmBudget, make([]byte, plan.length))
			written, a, err := sendLong(plan.node, r)
			mu.Lock()
			defer mu.Unlock()
			name := fmt.Sprintf("request %s for %s, %d bytes", r.id, r.user, plan.length)
			if written.IsZero() {
				c.logf("%s: its last byte was not written: %v", name, err)
				return
			}
			taken++
			limit := written.Add(confirmBudget + answerSlack)
			switch {
			case err != nil:
				lost++
				c.logf("%s: last byte written at %s, NO ANSWER 34 s later: %v", name, clock(written), err)
			case a.at.After(limit):
				lost++
				c.logf("%s: last byte written at %s, answer %d at %s, %.1f s after its last byte: LOST", name, clock(written),
					a.status, clock(a.at), a.at.Sub(written).Seconds())
			default:
				c.logf("%s: last byte written at %s, answer %d after %.3f s", name, clock(written), a.status,
					a.at.Sub(written).Seconds())
			}
			if err == nil && a.status == http.StatusOK && a.reply.Call != r.id {
				c.logf("%s: answered with the answer of %s", name, a.reply.Call)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	all.Wait()
	c.logf("%d requests were taken (last byte written), %d of them lost", taken, lost)
	if taken == 0 {
		return false, errors.New("no long request was written completely")
	}
	return lost > 0, nil
}

// sendLong sends a request and waits for its answer for 34 s. written is the time of its last byte; zero: it was not
// written.
func sendLong(n *node, r request) (written time.Time, a answer, err error) {
	cl, err := dial(n)
	if err != nil {
		return written, a, err
	}
	defer func() { _ = cl.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		a, err = cl.read(time.Now().Add(36 * time.Second))
	}()
	_ = cl.SetWriteDeadline(time.Now().Add(2 * time.Second))
	if _, writeErr := cl.Write(r.bytes()); writeErr != nil {
		return written, a, writeErr
	}
	written = time.Now()
	<-done
	return written, a, err
}
