package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestInvalidStart checks that a failed start prints one line with the reason and exits with code 1.
func TestInvalidStart(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	validEnv := environment(t, "127.0.0.1:0", "127.0.0.1:1", fmt.Sprintf(config, ""))
	for want, env := range map[string][]string{
		"variable ROUTER_NAME is missing": append(validEnv[1:], "ROUTER_NAME="),
		"no such file":                    append(validEnv[:3:3], "ROUTER_CONFIG=missing.json"),
		"configuration: ":                 environment(t, "127.0.0.1:0", "127.0.0.1:1", "{"),
		"variable ROUTER_LISTEN: ":        environment(t, "nowhere", "127.0.0.1:1", fmt.Sprintf(config, "")),
		"listening: listen tcp " + occupied.Addr().String(): environment(t, occupied.Addr().String(), "127.0.0.1:1",
			fmt.Sprintf(config, "")),
	} {
		out, err := executable(t, env...).CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 1 || strings.Count(string(out), "\n") != 1 ||
			!strings.Contains(string(out), want) {
			t.Errorf("want one line with %q and exit code 1, got %v and %q", want, err, out)
		}
	}
}

// TestMalformedConfigurations checks that a start with a malformed configuration prints one line that names the fault
// and the file. On reloads, the same files change nothing in a running node, even several times in a row.
func TestMalformedConfigurations(t *testing.T) {
	s := newRuleChecker()
	n := start(t, unchangedList, s.recordingHandler("s-0", respondOK))
	validText, err := os.ReadFile(n.config)
	if err != nil {
		t.Fatal(err)
	}
	replaced := func(old, new string) string { return strings.Replace(string(validText), old, new, 1) }
	for name, c := range map[string]struct{ text, want string }{
		"empty":             {"", "unexpected end of JSON"},
		"half a file":       {string(validText[:len(validText)/2]), "unexpected end of JSON"},
		"wrong type":        {replaced(`"sockets":256`, `"sockets":"many"`), "sockets"},
		"settings missing":  {replaced(`"settings"`, `"other"`), "settings"},
		"negative duration": {replaced(`"fall":3000000000`, `"fall":-1`), "contract.fall"},
		"duplicate class":   {replaced(`"name":"book"`, `"name":"status"`), "stands twice"},
		"unknown effect":    {replaced(`"side_effect"`, `"sometimes"`), "idempotency"},
		"memory of 0 MB":    {replaced(`"memory_mb":192`, `"memory_mb":0`), "memory_mb"},
		"seed is not hex":   {replaced(`"seed":"8c1f30d27a5be964"`, `"seed":"xyz"`), "seed"},
	} {
		if err := os.WriteFile(n.config, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		out, err := executable(t, n.env...).CombinedOutput()
		if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), c.want) ||
			!strings.Contains(string(out), n.config) {
			t.Errorf("start with fault %q: got %v and %q, want one line with the fault and the file", name, err, out)
		}
		for range 3 {
			n.cmd.Process.Signal(syscall.SIGHUP)
		}
		for line := ""; !strings.Contains(line, c.want); { // lines about the previous file may precede it
			if line = n.waitForLog(t, "reload refused"); !strings.Contains(line, n.config) {
				t.Errorf("reload with fault %q: log line does not name the file: %s", name, line)
			}
		}
		if status, _ := s.call(t, n.addr, "book", strings.NewReader("paid")); status != 200 {
			t.Errorf("request after a reload with fault %q: got status %d, want 200", name, status)
		}
	}
	n.shutdown(t)
	s.check(t)
}

// TestSignalsDuringStart checks that signals which arrive while the configuration is read are handled once the node
// serves. Without that, a reload during a start would kill the process, as it does not handle SIGHUP yet.
func TestSignalsDuringStart(t *testing.T) {
	s := newRuleChecker()
	n := start(t, unchangedList, s.recordingHandler("s-0", respondOK))
	n.shutdown(t)
	text, err := os.ReadFile(n.config)
	if err != nil {
		t.Fatal(err)
	}
	fifo := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(fifo, 0o600); err != nil {
		t.Skip(err)
	}
	n.env = append(n.env, "ROUTER_CONFIG="+fifo)
	n.launchWithoutWaiting(t)
	f, err := os.OpenFile(fifo, os.O_WRONLY, 0) // blocks until the program opens the file
	if err != nil {
		t.Fatal(err)
	}
	n.cmd.Process.Signal(syscall.SIGHUP)
	n.cmd.Process.Signal(syscall.SIGUSR1)
	time.Sleep(50 * time.Millisecond) // time for the signals to kill a process that does not handle them
	f.Write(text)
	os.Rename(n.config, fifo) // so that the reload reads a regular file
	f.Close()
	n.readAddr(t, n.waitForLog(t, "msg=started"))
	if status, _ := s.call(t, n.addr, "status", nil); status != 200 {
		t.Errorf("got status %d, want 200", status)
	}
	n.shutdown(t)
	s.check(t)
}

// TestStartWhilePredecessorDrains starts a process while its predecessor shuts down and still accepts connections. The
// new process must listen on the same address once the predecessor has closed its listener.
func TestStartWhilePredecessorDrains(t *testing.T) {
	n := start(t, unchangedList, func(http.ResponseWriter, *http.Request) {})
	n.cmd.Process.Signal(syscall.SIGTERM)
	n.waitForLog(t, "msg=draining")
	next := n.newProcess("ROUTER_LISTEN=" + n.addr)
	next.launch(t)
	if status, _ := next.call(t, "GET", "/api", "status", ""); status != 200 || next.addr != n.addr {
		t.Errorf("got status %d at %s, want 200 at %s", status, next.addr, n.addr)
	}
}
