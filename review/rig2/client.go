package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// outcome is what a client has seen of one request.
type outcome struct {
	id     string
	status int // 0: no answer
	body   string
	after  time.Duration // from the last byte of the request to the last byte of the answer, or to the end
	err    error
}

// whole reports whether a final answer has come.
func (o outcome) whole() bool { return o.status != 0 && o.err == nil }

var lastID atomic.Int64

// newID returns a fresh id of a request.
func newID(prefix string) string { return fmt.Sprintf("%s-%06d", prefix, lastID.Add(1)) }

// head returns the head of a request of a class, up to its empty line.
func head(method, id, class string, budget time.Duration, bodySize int) []byte {
	return fmt.Appendf(nil, "%s /api?user=%s HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\n"+
		"X-Caller: ashby-dental\r\nX-Budget: %.3f\r\nContent-Length: %d\r\n\r\n",
		method, id, id, class, budget.Seconds(), bodySize)
}

// readAnswer reads one answer with its body.
func readAnswer(reader *bufio.Reader, o *outcome) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		o.err = err
		return
	}
	body, err := io.ReadAll(resp.Body)
	o.status, o.body, o.err = resp.StatusCode, string(body), err
}

// load sends requests at a rate over kept connections, each with one request at a time, until its context ends.
type load struct {
	addr   string
	rate   float64 // requests a second
	prefix string
	record *record
	// judge receives each outcome.
	judge func(outcome)

	mu   sync.Mutex
	idle []net.Conn
	done sync.WaitGroup
}

// run blocks until ctx has ended and all requests have an outcome.
func (l *load) run(ctx context.Context) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / l.rate))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.done.Wait()
			l.mu.Lock()
			defer l.mu.Unlock()
			for _, c := range l.idle {
				_ = c.Close()
			}
			return
		case <-ticker.C:
			l.done.Go(l.sendOne)
		}
	}
}

// sendOne sends one request of class quote. A request that crosses the close of a kept connection is sent once more.
func (l *load) sendOne() {
	const budget = 600 * time.Millisecond
	id := newID(l.prefix)
	o, fresh := l.try(id, budget)
	if o.status == 0 && !fresh {
		o, _ = l.try(id, budget)
	}
	if l.judge != nil {
		l.judge(o)
	}
}

// try sends a request once. fresh reports whether the connection was new.
func (l *load) try(id string, budget time.Duration) (o outcome, fresh bool) {
	o.id = id
	l.mu.Lock()
	var conn net.Conn
	if n := len(l.idle); n > 0 {
		conn = l.idle[n-1]
		l.idle = l.idle[:n-1]
	}
	l.mu.Unlock()
	if conn == nil {
		fresh = true
		if conn, o.err = net.DialTimeout("tcp", l.addr, time.Second); o.err != nil {
			return o, fresh
		}
	}
	sent := time.Now()
	_ = conn.SetDeadline(sent.Add(budget + time.Second))
	if _, o.err = conn.Write(head("GET", id, "quote", budget, 0)); o.err == nil {
		readAnswer(bufio.NewReader(conn), &o)
	}
	o.after = time.Since(sent)
	if !o.whole() {
		_ = conn.Close()
		return o, fresh
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle = append(l.idle, conn)
	return o, fresh
}
