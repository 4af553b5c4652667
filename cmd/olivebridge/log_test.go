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

// TestBlockedLogReader checks that a process shuts down although its log is open and never read.
func TestBlockedLogReader(t *testing.T) {
	s := newRuleChecker()
	// On a busy machine a connection may take longer than 75 ms to open.
	patientConfig := strings.Replace(config, `"connect_timeout":75000000`, `"connect_timeout":1000000000`, 1)
	n := startWithConfig(t, patientConfig, unchangedList, s.recordingHandler("s-0", respondOK))
	releaseLog := n.blockLog()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range 800 { // each connection logs a line; 800 lines exceed the capacity of a pipe
		status := 0
		// Only each tenth is a request: after many fast ones, the node would treat a server that the machine does not
		// schedule for a while as silent.
		if i%10 == 0 {
			status, _ = s.call(t, n.addr, "status", nil)
		} else if resp, err := client.Get("http://" + n.addr + "/health/ready"); err != nil {
			t.Fatal(err)
		} else {
			status = resp.StatusCode
			resp.Body.Close()
		}
		if status != 200 {
			t.Fatalf("got status %d, want 200", status)
		}
	}
	n.cmd.Process.Signal(syscall.SIGTERM)
	exited := make(chan error, 1)
	go func() { exited <- n.cmd.Wait() }()
	select {
	case err := <-exited:
		if err != nil {
			t.Errorf("process did not exit with code 0: %v", err)
		}
	case <-time.After(15 * time.Second): // a shutdown takes at most 11 s: the longest deadline and 2 s
		t.Error("the process did not exit within 15 s while its log was not read")
		n.cmd.Process.Kill()
		<-exited
	}
	close(releaseLog)
	s.check(t)
}

// TestLogFileFull checks that a process serves and shuts down gracefully when its log file cannot grow.
func TestLogFileFull(t *testing.T) {
	s := newRuleChecker()
	n := prepare(t, config, unchangedList, s.recordingHandler("s-0", respondOK))
	n.limits = "ulimit -f 1; exec 2>>" + filepath.Join(t.TempDir(), "log")
	n.addr = freeAddr(t)
	n.env[1] = "ROUTER_LISTEN=" + n.addr
	n.launchWithoutWaiting(t)
	for status := 0; status != 200; { // wait until the process listens
		if c, err := net.Dial("tcp", n.addr); err == nil {
			c.Close()
			status, _ = s.call(t, n.addr, "status", nil)
		}
	}
	for range 50 {
		if status, _ := s.call(t, n.addr, "status", nil); status != 200 {
			t.Fatalf("got status %d, want 200", status)
		}
	}
	n.cmd.Process.Signal(syscall.SIGTERM)
	if err := n.cmd.Wait(); err != nil {
		t.Errorf("process did not exit with code 0: %v", err)
	}
	s.check(t)
}

// TestClosedLogReader checks that a node keeps running after the reader of its log closed the pipe.
func TestClosedLogReader(t *testing.T) {
	n := start(t, unchangedList, func(http.ResponseWriter, *http.Request) {})
	n.log.Close()
	n.cmd.Process.Signal(syscall.SIGUSR1)
	if status, _ := n.call(t, "GET", "/api", "status", ""); status != 200 {
		t.Errorf("got status %d, want 200", status)
	}
	n.cmd.Process.Signal(syscall.SIGTERM)
	if err := n.cmd.Wait(); err != nil {
		t.Errorf("process did not exit with code 0: %v", err)
	}
}
