package main

import (
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestBlockedLogReader: a log that is open and never read keeps no process from shutting down.
func TestBlockedLogReader(t *testing.T) {
	s := newRuleChecker()
	// A busy machine may take longer than 75 ms over a connection.
	patient := strings.Replace(config, `"connect_timeout":75000000`, `"connect_timeout":1000000000`, 1)
	n := startWithConfig(t, patient, unchanged, s.server("s-0", respondOK))
	stuck := n.blockLog()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range 800 { // each connection leaves a line, which is more than a pipe holds
		status := 0
		if i%10 == 0 { // calls are few: after many fast ones, a server that the machine lets stand still is taken for silent
			status, _ = s.call(t, n.addr, "status", nil)
		} else if resp, err := client.Get("http://" + n.addr + "/health/ready"); err != nil {
			t.Fatal(err)
		} else {
			status = resp.StatusCode
			resp.Body.Close()
		}
		if status != 200 {
			t.Fatalf("status %d", status)
		}
	}
	n.cmd.Process.Signal(syscall.SIGTERM)
	over := make(chan error, 1)
	go func() { over <- n.cmd.Wait() }()
	select {
	case err := <-over:
		if err != nil {
			t.Errorf("exit: %v", err)
		}
	case <-time.After(15 * time.Second): // the longest deadline and 2 s are 11
		t.Error("it waits for the reader of its log")
		n.cmd.Process.Kill()
		<-over
	}
	close(stuck)
	s.check(t)
}

// TestLogFileFull: a log file that may not grow ends no process, nor its graceful shutdown.
func TestLogFileFull(t *testing.T) {
	s := newRuleChecker()
	n := prepare(t, config, unchanged, s.server("s-0", respondOK))
	n.limits = "ulimit -f 1; exec 2>>" + filepath.Join(t.TempDir(), "log")
	n.addr = freeAddr(t)
	n.env[1] = "ROUTER_LISTEN=" + n.addr
	n.launchWithoutWaiting(t)
	for status := 0; status != 200; { // until it listens
		if c, err := net.Dial("tcp", n.addr); err == nil {
			c.Close()
			status, _ = s.call(t, n.addr, "status", nil)
		}
	}
	for range 50 {
		if status, _ := s.call(t, n.addr, "status", nil); status != 200 {
			t.Fatalf("status %d", status)
		}
	}
	n.cmd.Process.Signal(syscall.SIGTERM)
	if err := n.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	s.check(t)
}

// TestClosedLogReader: a log whose reader has gone away must not end the node.
func TestClosedLogReader(t *testing.T) {
	n := start(t, unchanged, func(http.ResponseWriter, *http.Request) {})
	n.log.Close()
	n.cmd.Process.Signal(syscall.SIGUSR1)
	if status, _ := n.call(t, "GET", "/api", "status", ""); status != 200 {
		t.Errorf("status %d", status)
	}
	n.cmd.Process.Signal(syscall.SIGTERM)
	if err := n.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}
