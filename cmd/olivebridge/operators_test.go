package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// freeAddr is an address that nobody listens on. Clients over loopback have their ends at 127.0.0.1, on ports of the
// same range: there one of theirs could take the port before a listener does.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.3.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// command sends an operator's command and returns the answer; "" if nobody listens.
func command(t *testing.T, adminAddr, line string) string {
	t.Helper()
	c, err := net.Dial("tcp", adminAddr)
	if err != nil {
		return ""
	}
	defer c.Close()
	fmt.Fprintln(c, line)
	got, _ := io.ReadAll(c)
	return string(got)
}

func mustCommand(t *testing.T, adminAddr, line string) {
	t.Helper()
	if got := command(t, adminAddr, line); !strings.HasPrefix(got, "SUCCESS") {
		t.Errorf("%s: %q", line, got)
	}
}

// adminAddr is where operators connect to this process.
func (n *process) adminAddr() string { return os.Getenv("ROUTER_ADMIN") }

// TestMaintenance: from the answer on a suspended server gets nothing, also when discovery goes on listing it as ready,
// and once restored it is used again.
func TestMaintenance(t *testing.T) {
	adminAddr := freeAddr(t)
	t.Setenv("ROUTER_ADMIN", adminAddr)
	var attempts [2]atomic.Int64
	storm := make(chan bool)
	var n *process
	quick := strings.Replace(config, `"fall":3000000000`, `"fall":100000000`, 1) // or chance has few turns in 5 s
	n = startWithConfig(t, quick, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-storm: // whole lists that say nothing of maintenance, one after the other
			time.Sleep(time.Millisecond)
			fmt.Fprintf(w, `{"version":2,"full":true,"servers":[`)
			for i, addr := range n.serverAddrs {
				fmt.Fprintf(w, `%s{"id":"s-%d","addr":%q,"zone":"a","kind":"m1","state":"Ready","started_ms":0}`,
					[]string{"", ","}[i], i, addr)
			}
			io.WriteString(w, "]}")
		case <-r.Context().Done():
		}
	}, func(http.ResponseWriter, *http.Request) { attempts[0].Add(1) },
		func(http.ResponseWriter, *http.Request) { attempts[1].Add(1) })
	if got := command(t, adminAddr, "SUSPEND s-9"); !strings.HasPrefix(got, "FAILURE") {
		t.Errorf("a server that was never listed: %q", got)
	}
	load := func(calls int) {
		for i := range calls {
			n.call(t, "GET", fmt.Sprint("/api?user=k", i), "status", "")
		}
	}
	close(storm)
	load(50)
	mustCommand(t, adminAddr, "SUSPEND s-0")
	before := attempts[0].Load()
	load(200)
	if got := attempts[0].Load(); got != before || before == 0 {
		t.Errorf("%d attempts before the answer, %d after", before, got-before)
	}
	mustCommand(t, adminAddr, "SUSPEND s-1")
	if status, _ := n.call(t, "GET", "/api", "status", ""); status != 503 {
		t.Errorf("with all suspended: %d", status)
	}
	mustCommand(t, adminAddr, "RESTORE s-0")
	for until := time.Now().Add(5 * time.Second); attempts[0].Load() == before && time.Now().Before(until); {
		load(1)
	}
	if attempts[0].Load() == before {
		t.Error("not in use 5 s after it was restored")
	}
}

// TestPause: a paused node is not ready, serves what still comes, holds no client connection idle, and is back at once.
func TestPause(t *testing.T) {
	adminAddr := freeAddr(t)
	t.Setenv("ROUTER_ADMIN", adminAddr)
	n := start(t, unchanged, func(http.ResponseWriter, *http.Request) {})
	ready := func() int { status, _ := n.call(t, "GET", "/health/ready", "", ""); return status }
	idle, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	fmt.Fprint(idle, "GET /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: 1\r\nX-Call-Class: status\r\nX-Caller: acme\r\n"+
		"X-Budget: 5\r\n\r\n")
	for range 2 {
		mustCommand(t, adminAddr, "PAUSE")
		if got := ready(); got != 503 {
			t.Errorf("ready while paused: %d", got)
		}
	}
	if status, _ := n.call(t, "GET", "/api", "status", ""); status != 200 {
		t.Errorf("a call while paused: %d", status)
	}
	begun := time.Now()
	answer, _ := io.ReadAll(idle) // to the end of the connection
	if d := time.Since(begun); !strings.Contains(string(answer), "200 OK") || d > 1500*time.Millisecond {
		t.Errorf("%q, held for %v", answer, d)
	}
	if got := command(t, adminAddr, "STATUS"); !strings.HasPrefix(got, "SUCCESS paused") {
		t.Errorf("status: %q", got)
	}
	mustCommand(t, adminAddr, "RESUME")
	if got := ready(); got != 200 {
		t.Errorf("ready after the pause: %d", got)
	}
	n.call(t, "GET", "/api", "status", "")
	mustCommand(t, adminAddr, "PAUSE")
	mustCommand(t, adminAddr, "RESUME") // before the connections were closed
	time.Sleep(700 * time.Millisecond)
	if got := ready(); got != 200 {
		t.Errorf("ready after a pause cut short: %d", got)
	}
}
