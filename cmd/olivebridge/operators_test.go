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

// freeAddr returns an address on which no process listens. It is not on 127.0.0.1, where the local ports of loopback
// clients come from the same range: a client could take the port before the listener does.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.3.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// command sends an operator's command and returns the answer; "" if the connection fails.
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

// adminAddr returns the address of the admin listener of a process that inherits the test's ROUTER_ADMIN.
func (n *process) adminAddr() string { return os.Getenv("ROUTER_ADMIN") }

// TestMaintenance checks that a suspended server receives no request after the answer to SUSPEND, even while discovery
// lists it as ready, and that it is used again after RESTORE.
func TestMaintenance(t *testing.T) {
	adminAddr := freeAddr(t)
	t.Setenv("ROUTER_ADMIN", adminAddr)
	var attempts [2]atomic.Int64
	listsChange := make(chan bool)
	var n *process
	// A restored server is in slow start, and its allowance has a new draw in each half window. A window of 3 s would
	// leave few draws in the 5 s for which the test waits.
	shortWindow := strings.Replace(config, `"fall":3000000000`, `"fall":100000000`, 1)
	n = startWithConfig(t, shortWindow, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-listsChange: // complete lists in quick succession, in which all servers are ready
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
		t.Errorf("SUSPEND of a server that was never listed: got %q, want FAILURE", got)
	}
	load := func(calls int) {
		for i := range calls {
			n.call(t, "GET", fmt.Sprint("/api?user=k", i), "status", "")
		}
	}
	close(listsChange)
	load(50)
	mustCommand(t, adminAddr, "SUSPEND s-0")
	before := attempts[0].Load()
	load(200)
	if got := attempts[0].Load(); got != before || before == 0 {
		t.Errorf("got %d attempts before the answer to SUSPEND and %d after it, want at least 1 and 0", before, got-before)
	}
	mustCommand(t, adminAddr, "SUSPEND s-1")
	if status, _ := n.call(t, "GET", "/api", "status", ""); status != 503 {
		t.Errorf("request with all servers suspended: got status %d, want 503", status)
	}
	mustCommand(t, adminAddr, "RESTORE s-0")
	for until := time.Now().Add(5 * time.Second); attempts[0].Load() == before && time.Now().Before(until); {
		load(1)
	}
	if attempts[0].Load() == before {
		t.Error("server s-0 received no attempt within 5 s of RESTORE")
	}
}

// TestPause checks that a paused node reports not ready, serves requests that still arrive, closes idle client
// connections, and is ready immediately after RESUME.
func TestPause(t *testing.T) {
	adminAddr := freeAddr(t)
	t.Setenv("ROUTER_ADMIN", adminAddr)
	n := start(t, unchangedList, func(http.ResponseWriter, *http.Request) {})
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
			t.Errorf("readiness check while paused: got status %d, want 503", got)
		}
	}
	if status, _ := n.call(t, "GET", "/api", "status", ""); status != 200 {
		t.Errorf("request while paused: got status %d, want 200", status)
	}
	begun := time.Now()
	answer, _ := io.ReadAll(idle) // returns when the node closes the connection
	if d := time.Since(begun); !strings.Contains(string(answer), "200 OK") || d > 1500*time.Millisecond {
		t.Errorf("idle connection: got %q and a close after %v, want 200 OK and a close within 1.5 s", answer, d)
	}
	if got := command(t, adminAddr, "STATUS"); !strings.HasPrefix(got, "SUCCESS paused") {
		t.Errorf("STATUS while paused: got %q, want SUCCESS paused", got)
	}
	mustCommand(t, adminAddr, "RESUME")
	if got := ready(); got != 200 {
		t.Errorf("readiness check after RESUME: got status %d, want 200", got)
	}
	n.call(t, "GET", "/api", "status", "")
	mustCommand(t, adminAddr, "PAUSE")
	mustCommand(t, adminAddr, "RESUME") // before the node closes the connections
	time.Sleep(700 * time.Millisecond)
	if got := ready(); got != 200 {
		t.Errorf("readiness check after RESUME right after PAUSE: got status %d, want 200", got)
	}
}
