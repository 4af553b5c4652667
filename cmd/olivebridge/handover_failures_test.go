package main

import (
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"olivebridge/internal/handover"
)

// TestFailuresDuringHandover hands over to a new process under each failure that can occur, while clients send
// requests. The four rules must hold across both processes, and no client's connection may be refused, reset or closed
// before its request is read.
func TestFailuresDuringHandover(t *testing.T) {
	fails := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	const twoResponses = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi HTTP/1.1 200 OK\r\n\r\n"
	slow := func(http.ResponseWriter, *http.Request) { time.Sleep(700 * time.Millisecond) }
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	respondAfterDelay := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(20 * time.Millisecond) // limits the rate at which the node polls
			io.WriteString(w, text)
		}
	}
	// listEmptied is closed when discovery begins to list no servers. A process that starts after that is not ready,
	// and its predecessor continues to serve.
	listEmptied := make(chan bool)
	emptyList := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-listEmptied:
			respondAfterDelay(`{"version":2,"full":true,"servers":[]}`)(w, r)
		case <-r.Context().Done():
		}
	}
	runCommand := func(line string) func(*testing.T, *ruleChecker, *process, *process, string) {
		return func(t *testing.T, _ *ruleChecker, _, _ *process, adminAddr string) { mustCommand(t, adminAddr, line) }
	}
	for name, c := range map[string]struct {
		discovery       http.HandlerFunc
		serve           http.HandlerFunc // handler of the first of three servers; nil: respondOK
		limits          string           // shell commands that limit each process; see process.limits
		cold            bool             // the second and third server have just started
		serverClosed    bool             // no process listens at the first server's address
		discoveryClosed bool             // no process listens at discovery's address
		kill            bool             // the predecessor is killed instead of shut down gracefully
		want            int              // the status of the successor's responses that the test waits for

		meanwhile func(t *testing.T, s *ruleChecker, n, next *process, adminAddr string) // runs while both processes serve
	}{
		"a server is silent":          {serve: silent, want: 200},
		"a server answers 500":        {serve: fails, want: 200},
		"a server rejects":            {serve: reject, want: 200},
		"a server breaks connections": {serve: dropConnection, want: 200},
		"a server is slow":            {serve: slow, want: 200},
		"responses are malformed":     {serve: rawResponse("HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n"), want: 200},
		"bytes after responses":       {serve: rawResponse(twoResponses), want: 200},
		"a server does not listen":    {serverClosed: true, want: 200},
		"discovery does not listen":   {discoveryClosed: true, want: 200},
		"discovery drops connections": {discovery: dropConnection, want: 200},
		"servers are in slow start":   {cold: true, want: 200},
		"discovery answers 500":       {discovery: fails, want: 200},
		"a list is truncated":         {discovery: respondAfterDelay(`{"version":`), want: 200},
		"list becomes empty": {discovery: emptyList, meanwhile: func(*testing.T, *ruleChecker, *process, *process, string) {
			close(listEmptied)
		}, want: 503},
		"descriptors are short": {limits: "ulimit -n 40", want: 200},
		"a server is suspended": {meanwhile: func(t *testing.T, s *ruleChecker, n, _ *process, adminAddr string) {
			mustCommand(t, adminAddr, "SUSPEND s-1")
			s.mu.Lock()
			// A suspension has no grace period; the tolerance covers attempts that were sent before the answer
			// and are read by the server after it.
			s.drainingSince["s-1"] = time.Now().Add(timingTolerance - drainGrace)
			s.mu.Unlock()
		}, want: 200},
		"the node is paused": {meanwhile: runCommand("PAUSE"), want: 200},
		"the node is paused and resumed": {meanwhile: func(t *testing.T, _ *ruleChecker, _, _ *process, adminAddr string) {
			mustCommand(t, adminAddr, "PAUSE")
			mustCommand(t, adminAddr, "RESUME")
		}, want: 200},
		"both processes reload": {meanwhile: func(t *testing.T, _ *ruleChecker, n, next *process, _ string) {
			n.reloadWith(t, `"connect_timeout":75000000`, `"connect_timeout":80000000`)
			next.cmd.Process.Signal(syscall.SIGHUP)
			next.waitForLog(t, "msg=reloaded")
		}, want: 200},
		"the predecessor is killed": {kill: true, want: 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRuleChecker()
			if c.discovery == nil {
				c.discovery = unchangedList
			}
			if c.serve == nil {
				c.serve = respondOK
			}
			n := prepare(t, config, c.discovery,
				s.recordingHandler("s-0", c.serve), s.recordingHandler("s-1", respondOK), s.recordingHandler("s-2", respondOK))
			n.env = append(n.env, "ROUTER_ADMIN="+freeAddr(t))
			if !c.cold {
				n.markServersWarm(t)
			}
			n.limits = c.limits
			if c.serverClosed {
				n.replaceInConfig(t, n.serverAddrs[0], freeAddr(t))
			}
			if c.discoveryClosed {
				n.env = append(n.env, "ROUTER_DISCOVERY="+freeAddr(t))
			}
			n.launch(t)
			stop := s.startLoad(t, n.addr, 4)
			for s.responseCount(200) < 20 {
				time.Sleep(time.Millisecond)
			}
			next, adminAddr := n.startSuccessor(t)
			n.waitForLog(t, "successor takes clients")
			if c.meanwhile != nil {
				c.meanwhile(t, s, n, next, adminAddr)
			}
			if c.kill {
				s.mu.Lock()
				s.killed = true
				s.mu.Unlock()
				n.cmd.Process.Kill()
				n.cmd.Wait()
			} else {
				n.shutdown(t)
			}
			for target := s.responseCount(c.want) + 20; s.responseCount(c.want) < target; { // responses of the successor alone
				time.Sleep(time.Millisecond)
			}
			stop()
			next.shutdown(t)
			cold := []string{}
			if c.cold {
				cold = []string{"s-1", "s-2"}
			}
			s.check(t, cold...)
		})
	}
}

// TestHandoverLog checks the predecessor's log lines of a hand-over, and its answer to an operator's command during its
// shutdown.
func TestHandoverLog(t *testing.T) {
	t.Setenv("ROUTER_ADMIN", freeAddr(t))
	held, release := make(chan bool), make(chan bool)
	s := newRuleChecker()
	n := start(t, unchangedList, s.recordingHandler("s-0", func(http.ResponseWriter, *http.Request) {
		held <- true
		<-release
	}))
	if got := command(t, n.adminAddr(), "SUSPEND nobody"); got != "FAILURE no list has ever named server \"nobody\"\n" {
		t.Error(got)
	}
	n.waitForLog(t, `msg="operator call" call=SUSPEND server=nobody`)
	idle, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	status := make(chan int)
	go func() {
		got, _ := s.call(t, n.addr, "book", nil)
		status <- got
	}()
	<-held
	next, _ := n.startSuccessor(t)
	n.waitForLog(t, "successor takes clients")
	n.cmd.Process.Signal(syscall.SIGTERM)
	n.waitForLog(t, "reason=handed-over")
	if got := command(t, n.adminAddr(), "STATUS"); got != "FAILURE the node is ending\n" {
		t.Error(got)
	}
	close(release)
	if got := <-status; got != 200 {
		t.Errorf("open request: got status %d, want 200", got)
	}
	n.waitForLog(t, "when=exit")
	next.shutdown(t)
	s.check(t)
}

// TestUnusableHandoverPath checks that a process which cannot listen for a successor logs the reason in one line,
// removes no foreign file, and serves requests.
func TestUnusableHandoverPath(t *testing.T) {
	file := func(t *testing.T, dir string) string {
		path := filepath.Join(dir, "olivebridge-n0.sock")
		if err := os.WriteFile(path, []byte("kept"), 0o600); err != nil {
			t.Fatal(err)
		}
		return dir
	}
	for name, c := range map[string]struct {
		dir  func(t *testing.T) string
		want string
	}{
		"no TMPDIR":      {func(*testing.T) string { return "" }, `reason="TMPDIR is not set"`},
		"no such folder": {func(t *testing.T) string { return filepath.Join(t.TempDir(), "none") }, "no such file"},
		"a foreign file": {func(t *testing.T) string { return file(t, t.TempDir()) }, "is no socket"},
		"TMPDIR is a file": {func(t *testing.T) string {
			return filepath.Join(file(t, t.TempDir()), "olivebridge-n0.sock")
		}, "not a directory"},
	} {
		t.Run(name, func(t *testing.T) {
			s, dir := newRuleChecker(), c.dir(t)
			t.Setenv("ROUTER_ADMIN", freeAddr(t))
			n := prepare(t, config, unchangedList, s.recordingHandler("s-0", respondOK))
			n.env = append(n.env, "TMPDIR="+dir)
			n.launchWithoutWaiting(t)
			output := ""
			for line := range n.lines {
				if output += line + "\n"; strings.Contains(output, c.want) && strings.Contains(output, "msg=started") {
					break
				}
				if strings.Contains(line, "msg=started") {
					n.cmd.Process.Signal(syscall.SIGUSR1)
				}
				if strings.Contains(line, "when=asked") {
					break
				}
			}
			if !strings.Contains(output, `msg="no hand-over to a successor"`) || !strings.Contains(output, c.want) {
				t.Errorf("log does not contain %q: %s", c.want, output)
			}
			n.readAddr(t, output)
			if status, _ := s.call(t, n.addr, "status", nil); status != 200 {
				t.Errorf("got status %d, want 200", status)
			}
			text, err := os.ReadFile(filepath.Join(dir, "olivebridge-n0.sock"))
			if name == "a foreign file" && string(text) != "kept" {
				t.Errorf("foreign file: got content %q and error %v, want \"kept\"", text, err)
			}
			n.shutdown(t)
			s.check(t)
		})
	}
}

// TestHangingPredecessor starts a process whose predecessor hangs. The new process must log that the hand-over failed,
// start without it, and serve.
func TestHangingPredecessor(t *testing.T) {
	t.Setenv("ROUTER_ADMIN", freeAddr(t))
	s := newRuleChecker()
	n := start(t, unchangedList, s.recordingHandler("s-0", respondOK))
	n.env[1] = "ROUTER_LISTEN=" + n.addr
	n.cmd.Process.Signal(syscall.SIGSTOP)
	next := n.newProcess("ROUTER_ADMIN=" + freeAddr(t))
	next.launchWithoutWaiting(t)
	if line := next.waitForLog(t, "hand-over failed"); !strings.Contains(line, "i/o timeout") {
		t.Error(line)
	}
	next.readAddr(t, next.waitForLog(t, "msg=started"))
	n.cmd.Process.Kill() // it has no open request; while it lives, new connections assigned to it would hang
	n.cmd.Wait()
	next.waitForLog(t, "other process has ended") // until then, calls that must not run twice fail
	for range 20 {
		if status, _ := s.call(t, next.addr, "book", strings.NewReader("paid")); status != 200 {
			t.Errorf("got status %d, want 200", status)
		}
	}
	next.shutdown(t)
	s.check(t)
}

// TestSuccessorDiesBeforeItIsReady checks that a process can hand over to a second successor after the first one
// listened on its hand-over socket and died before it reported that it was ready.
func TestSuccessorDiesBeforeItIsReady(t *testing.T) {
	t.Setenv("ROUTER_ADMIN", freeAddr(t))
	s := newRuleChecker()
	n := start(t, unchangedList, s.recordingHandler("s-0", respondOK))
	n.env[1] = "ROUTER_LISTEN=" + n.addr
	path := filepath.Join(n.env[4][len("TMPDIR="):], "olivebridge-n0.sock")
	var takeover *handover.Takeover
	for takeover == nil { // nil until the process listens for a successor, shortly after its start
		var err error
		if takeover, err = handover.Connect(path); err != nil {
			t.Fatal(err)
		}
	}
	takeover.Listener.Close()
	listener, err := handover.Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	takeover.Link.Close()
	n.waitForLog(t, "other process has ended")
	next, _ := n.startSuccessor(t)
	n.waitForLog(t, "successor takes clients")
	n.shutdown(t)
	if status, _ := s.call(t, next.addr, "book", strings.NewReader("paid")); status != 200 {
		t.Errorf("got status %d, want 200", status)
	}
	next.shutdown(t)
	s.check(t)
}
