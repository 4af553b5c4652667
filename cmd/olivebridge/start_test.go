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

// TestInvalidStart: a start that fails is one clear line and a non-zero exit code.
func TestInvalidStart(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	good := environment(t, "127.0.0.1:0", "127.0.0.1:1", fmt.Sprintf(config, ""))
	for want, env := range map[string][]string{
		"variable ROUTER_NAME is missing": append(good[1:], "ROUTER_NAME="),
		"no such file":                    append(good[:3:3], "ROUTER_CONFIG=missing.json"),
		"configuration: ":                 environment(t, "127.0.0.1:0", "127.0.0.1:1", "{"),
		"variable ROUTER_LISTEN: ":        environment(t, "nowhere", "127.0.0.1:1", fmt.Sprintf(config, "")),
		"listening: listen tcp " + taken.Addr().String(): environment(t, taken.Addr().String(), "127.0.0.1:1",
			fmt.Sprintf(config, "")),
	} {
		out, err := executable(t, env...).CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 1 || strings.Count(string(out), "\n") != 1 ||
			!strings.Contains(string(out), want) {
			t.Errorf("want %q: %v, %q", want, err, out)
		}
	}
}

// TestMalformedConfigurations: one line names what is wrong and in which file, at a start; in a running node the same
// files change nothing, however many come in a row.
func TestMalformedConfigurations(t *testing.T) {
	s := newRuleChecker()
	n := start(t, unchanged, s.server("s-0", respondOK))
	whole, err := os.ReadFile(n.config)
	if err != nil {
		t.Fatal(err)
	}
	change := func(old, new string) string { return strings.Replace(string(whole), old, new, 1) }
	for name, c := range map[string]struct{ text, want string }{
		"empty":              {"", "unexpected end of JSON"},
		"half written":       {string(whole[:len(whole)/2]), "unexpected end of JSON"},
		"of a wrong type":    {change(`"sockets":256`, `"sockets":"many"`), "sockets"},
		"no settings":        {change(`"settings"`, `"other"`), "settings"},
		"a negative time":    {change(`"fall":3000000000`, `"fall":-1`), "contract.fall"},
		"a class twice":      {change(`"name":"book"`, `"name":"status"`), "stands twice"},
		"an unknown effect":  {change(`"side_effect"`, `"sometimes"`), "idempotency"},
		"no memory at all":   {change(`"memory_mb":192`, `"memory_mb":0`), "memory_mb"},
		"a seed of no digit": {change(`"seed":"8c1f30d27a5be964"`, `"seed":"xyz"`), "seed"},
	} {
		if err := os.WriteFile(n.config, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		out, err := executable(t, n.env...).CombinedOutput()
		if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), c.want) ||
			!strings.Contains(string(out), n.config) {
			t.Errorf("%s at a start: %v, %q", name, err, out)
		}
		for range 3 {
			n.cmd.Process.Signal(syscall.SIGHUP)
		}
		for line := ""; !strings.Contains(line, c.want); { // those of the file before may still come
			if line = n.waitForLog(t, "reload refused"); !strings.Contains(line, n.config) {
				t.Errorf("%s at a reload: %s", name, line)
			}
		}
		if status, _ := s.call(t, n.addr, "book", strings.NewReader("paid")); status != 200 {
			t.Errorf("%s: status %d", name, status)
		}
	}
	n.shutdown(t)
	s.check(t)
}

// TestSignalsDuringStart: signals that come while the configuration is read are handled once the node serves. It guards
// a start against a reload, which would kill a process that does not handle the signal yet.
func TestSignalsDuringStart(t *testing.T) {
	s := newRuleChecker()
	n := start(t, unchanged, s.server("s-0", respondOK))
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
	f, err := os.OpenFile(fifo, os.O_WRONLY, 0) // which waits until the program reads
	if err != nil {
		t.Fatal(err)
	}
	n.cmd.Process.Signal(syscall.SIGHUP)
	n.cmd.Process.Signal(syscall.SIGUSR1)
	time.Sleep(50 * time.Millisecond) // a process that these kill is gone by then
	f.Write(text)
	os.Rename(n.config, fifo) // the reload reads a plain file
	f.Close()
	n.readAddr(t, n.waitForLog(t, "msg=started"))
	if status, _ := s.call(t, n.addr, "status", nil); status != 200 {
		t.Errorf("status %d", status)
	}
	n.shutdown(t)
	s.check(t)
}

// TestAddressOfEndingProcess: a process that starts while the one before it shuts down, and still accepts, listens once
// that one has left the address.
func TestAddressOfEndingProcess(t *testing.T) {
	n := start(t, unchanged, func(http.ResponseWriter, *http.Request) {})
	n.cmd.Process.Signal(syscall.SIGTERM)
	n.waitForLog(t, "msg=draining")
	next := n.sibling("ROUTER_LISTEN=" + n.addr)
	next.launch(t)
	if status, _ := next.call(t, "GET", "/api", "status", ""); status != 200 || next.addr != n.addr {
		t.Errorf("status %d at %s, want 200 at %s", status, next.addr, n.addr)
	}
}
