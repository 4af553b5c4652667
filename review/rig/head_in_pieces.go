package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["head-in-pieces-after-rest"] = headInPiecesAfterRest }

const (
	// rest is the time for which a client rests between two requests; LATER: "A connection with no open request may be
	// closed after 2 s".
	rest = 1700 * time.Millisecond
	// pause is the time between the first piece of a head and the others; DAYS: "A client may take 2 s for a head".
	pause = 800 * time.Millisecond
	// firstPiece is the length of the first piece; DAYS: "in pieces cut anywhere".
	firstPiece = 3
)

// headInPiecesAfterRest: clients with a kept connection rest, and then write the head of the next request in two pieces.
// Each request is owed its answer.
func headInPiecesAfterRest(c *caseRun) (broken bool, err error) {
	p, err := c.startPlatform(5, 2, usualLimits)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	lost, failed := 0, 0
	for i := range 12 {
		all.Go(func() {
			err := slowHead(c, p.nodes[i%len(p.nodes)], fmt.Sprintf("user%02d", i))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case errors.Is(err, errLost):
				lost++
			case err != nil:
				failed++
				c.logf("client %d: %v", i, err)
			}
		})
	}
	all.Wait()
	c.logf("12 clients: %d requests lost", lost)
	if failed > 0 {
		return false, fmt.Errorf("%d clients could not run", failed)
	}
	return lost > 0, nil
}

var errLost = errors.New("lost")

// slowHead sends two requests on one connection, the second one after a rest and in two pieces.
func slowHead(c *caseRun, n *node, user string) error {
	cl, err := dial(n)
	if err != nil {
		return err
	}
	defer func() { _ = cl.Close() }()
	a, err := cl.call(newRequest("order-confirm", user, confirmBudget, []byte("first")))
	if err != nil || a.status != http.StatusOK {
		return fmt.Errorf("first request: status %d, %w", a.status, errors.Join(err))
	}
	r := newRequest("order-confirm", user, confirmBudget, []byte("second"))
	message := r.bytes()
	cut := len(message)
	if c.trouble {
		cut = firstPiece
	}
	time.Sleep(rest)
	began := time.Now()
	if _, err := cl.Write(message[:cut]); err != nil {
		return fmt.Errorf("the node ended the connection within its rest: %w", err)
	}
	var ended error
	if c.trouble {
		_ = cl.SetReadDeadline(began.Add(pause))
		if _, err := cl.in.Peek(1); closedByNode(err) {
			ended = err
			c.logf("request %s for %s: the node ended the connection %.3f s after the first %d bytes of the request", r.id, user,
				time.Since(began).Seconds(), cut)
		}
		time.Sleep(time.Until(began.Add(pause)))
	}
	if cut < len(message) {
		if _, err := cl.Write(message[cut:]); err != nil {
			ended = err
		}
	}
	written := time.Now()
	a, err = cl.read(written.Add(confirmBudget + answerSlack))
	if err != nil {
		c.logf("request %s for %s: head begun at %s, last byte written %.3f s later, no answer: %v %v: LOST", r.id, user,
			clock(began), written.Sub(began).Seconds(), err, ended)
		return errLost
	}
	c.logf("request %s for %s: head begun at %s, last byte written %.3f s later, answer %d after %.3f s", r.id, user,
		clock(began), written.Sub(began).Seconds(), a.status, a.at.Sub(written).Seconds())
	return nil
}
