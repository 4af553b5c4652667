package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// lateBody is a request whose body begins before SIGTERM and ends a time after it.
type lateBody struct {
	size    int
	chunked bool
	endsAt  time.Duration // after SIGTERM
}

// lateBodyResult is the outcome of a lateBody.
type lateBodyResult struct {
	id      string
	written bool // the last byte was written
	status  int  // of the answer; 0: none
}

// send writes the request to an address, the last byte at begun plus endsAt, and waits for the answer.
func (b lateBody) send(addr, id string, begun time.Time) (result lateBodyResult) {
	result.id = id
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return result
	}
	defer conn.Close()
	var header strings.Builder
	callHeader(id, "book", "1.5").Write(&header)
	framing, first, last := fmt.Sprint("Content-Length: ", b.size), strings.Repeat("x", b.size-1), "x"
	if b.chunked {
		framing, first, last = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%sx\r\n", b.size, first), "0\r\n\r\n"
	}
	head := "POST /api HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n" + header.String() + "\r\n"
	if _, err := io.WriteString(conn, head+first); err != nil {
		return result
	}
	time.Sleep(time.Until(begun.Add(b.endsAt)))
	_, err = io.WriteString(conn, last)
	result.written = err == nil
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		result.status = resp.StatusCode
	}
	return result
}

// TestBodyEndsLateInShutdown guards against a request whose body ends after SIGTERM and which runs, but is cut by the
// SIGKILL before its answer (review/9): its time counts from its last byte.
func TestBodyEndsLateInShutdown(t *testing.T) {
	const (
		work      = 800 * time.Millisecond
		killAfter = 2200 * time.Millisecond // the longest deadline and 0.7 s
	)
	var bodies []lateBody
	for _, milliseconds := range []time.Duration{300, 650, 900, 1300, 1600, 2000, 2150, 2190} {
		for _, size := range []int{100, 20 << 10, 100 << 10, 300 << 10} {
			endsAt := milliseconds * time.Millisecond
			bodies = append(bodies, lateBody{size, false, endsAt}, lateBody{size, true, endsAt})
		}
	}
	for name, upgrade := range map[string]bool{"restart": false, "upgrade": true} {
		t.Run(name, func(t *testing.T) {
			var ran sync.Map
			serve := func(_ http.ResponseWriter, r *http.Request) {
				if _, err := io.Copy(io.Discard, r.Body); err == nil {
					ran.Store(r.Header.Get("X-Call-Id"), true)
					time.Sleep(work)
				}
			}
			servers := slices.Repeat([]http.HandlerFunc{serve}, 8)
			n := prepare(t, strings.ReplaceAll(config, "9000000000", "1500000000"), unchangedList, servers...)
			n.markServersWarm(t)
			n.env = append(n.env, "ROUTER_ADMIN="+freeAddr(t))
			n.launch(t)
			begun := time.Now().Add(300 * time.Millisecond) // the time of SIGTERM
			results := make([]lateBodyResult, len(bodies))
			var clients sync.WaitGroup
			for i, body := range bodies {
				id := fmt.Sprint("late-", lastCallID.Add(1))
				clients.Go(func() { results[i] = body.send(n.addr, id, begun) })
			}
			if upgrade {
				n.newProcess("ROUTER_ADMIN=" + freeAddr(t)).launch(t)
			}
			time.Sleep(time.Until(begun))
			n.cmd.Process.Signal(syscall.SIGTERM)
			time.AfterFunc(killAfter, func() { n.cmd.Process.Kill() })
			clients.Wait()
			for i, r := range results {
				_, hasRun := ran.Load(r.id)
				if (r.written || hasRun) && r.status == 0 || hasRun != (r.status == http.StatusOK) {
					t.Errorf("%+v: %+v, ran: %v; want an answer, and a 200 if it ran", bodies[i], r, hasRun)
				}
				if early := bodies[i].endsAt < 700*time.Millisecond; early && r.status != http.StatusOK {
					t.Errorf("%+v: %+v, want a 200: its time ends before the earliest SIGKILL", bodies[i], r)
				}
			}
		})
	}
}
