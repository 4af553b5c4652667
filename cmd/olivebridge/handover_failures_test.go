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

// TestFailuresDuringHandover: a new process takes over under each failure that it can meet, while clients go on. The
// four rules hold over both processes, and no client finds its connection refused, reset or unread.
func TestFailuresDuringHandover(t *testing.T) {
	fails := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	const twoResponses = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi HTTP/1.1 200 OK\r\n\r\n"
	slow := func(http.ResponseWriter, *http.Request) { time.Sleep(700 * time.Millisecond) }
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	says := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(20 * time.Millisecond) // or it would be asked without a pause
			io.WriteString(w, text)
		}
	}
	// closed: discovery lists nobody. A process that starts by then is not ready, and its predecessor goes on
	gone := make(chan bool)
	empties := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-gone:
			says(`{"version":2,"full":true,"servers":[]}`)(w, r)
		case <-r.Context().Done():
		}
	}
	call := func(line string) func(*testing.T, *ruleChecker, *process, *process, string) {
		return func(t *testing.T, _ *ruleChecker, _, _ *process, adminAddr string) { mustCommand(t, adminAddr, line) }
	}
	for name, c := range map[string]struct {
		discovery http.HandlerFunc
		serve     http.HandlerFunc // of the first of three servers
		limits    string           // of each process
		cold      bool             // the servers but the first have just started
		dead      bool             // nobody listens at the first server's address
		lost      bool             // nobody listens at discovery's address
		kill      bool             // the predecessor is killed, in place of its graceful shutdown
		want      int              // a status that clients get

		meanwhile func(t *testing.T, s *ruleChecker, n, next *process, adminAddr string) // while both processes live
	}{
		"a server is silent":          {serve: silent, want: 200},
		"a server answers 500":        {serve: fails, want: 200},
		"a server rejects":            {serve: reject, want: 200},
		"a server breaks connections": {serve: dropConnection, want: 200},
		"a server is slow":            {serve: slow, want: 200},
		"responses are malformed":     {serve: rawResponse("HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n"), want: 200},
		"bytes behind responses":      {serve: rawResponse(twoResponses), want: 200},
		"a server is dead":            {dead: true, want: 200},
		"discovery refuses":           {lost: true, want: 200},
		"discovery breaks":            {discovery: dropConnection, want: 200},
		"servers are in slow start":   {cold: true, want: 200},
		"discovery says 503":          {discovery: fails, want: 200},
		"a list cannot be read":       {discovery: says(`{"version":`), want: 200},
		"the list empties": {discovery: empties, meanwhile: func(*testing.T, *ruleChecker, *process, *process, string) {
			close(gone)
		}, want: 503},
		"descriptors are short": {limits: "ulimit -n 40", want: 200},
		"a server is suspended": {meanwhile: func(t *testing.T, s *ruleChecker, n, _ *process, adminAddr string) {
			mustCommand(t, adminAddr, "SUSPEND s-1")
			s.mu.Lock()
			// There is no grace; what left before the answer may still be read.
			s.drained["s-1"] = time.Now().Add(timingTolerance - drainGrace)
			s.mu.Unlock()
		}, want: 200},
		"the node is paused": {meanwhile: call("PAUSE"), want: 200},
		"it is paused and back": {meanwhile: func(t *testing.T, _ *ruleChecker, _, _ *process, adminAddr string) {
			mustCommand(t, adminAddr, "PAUSE")
			mustCommand(t, adminAddr, "RESUME")
		}, want: 200},
		"both reload": {meanwhile: func(t *testing.T, _ *ruleChecker, n, next *process, _ string) {
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
				c.discovery = unchanged
			}
			if c.serve == nil {
				c.serve = respondOK
			}
			n := prepare(t, config, c.discovery,
				s.server("s-0", c.serve), s.server("s-1", respondOK), s.server("s-2", respondOK))
			n.env = append(n.env, "ROUTER_ADMIN="+freeAddr(t))
			if !c.cold {
				n.markServersWarm(t)
			}
			n.limits = c.limits
			if c.dead {
				n.replaceInConfig(t, n.serverAddrs[0], freeAddr(t))
			}
			if c.lost {
				n.env = append(n.env, "ROUTER_DISCOVERY="+freeAddr(t))
			}
			n.launch(t)
			stop := s.load(t, n.addr, 4)
			for s.answers(200) < 20 {
				time.Sleep(time.Millisecond)
			}
			next, adminAddr := n.successor(t)
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
			for more := s.answers(c.want) + 20; s.answers(c.want) < more; { // by the successor alone
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

// TestHandoverLog: what a predecessor's log shows of a hand-over, and what its operators hear as it shuts down.
func TestHandoverLog(t *testing.T) {
	t.Setenv("ROUTER_ADMIN", freeAddr(t))
	held, release := make(chan bool), make(chan bool)
	s := newRuleChecker()
	n := start(t, unchanged, s.server("s-0", func(http.ResponseWriter, *http.Request) {
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
	next, _ := n.successor(t)
	n.waitForLog(t, "successor takes clients")
	n.cmd.Process.Signal(syscall.SIGTERM)
	n.waitForLog(t, "reason=handed-over")
	if got := command(t, n.adminAddr(), "STATUS"); got != "FAILURE the node is ending\n" {
		t.Error(got)
	}
	close(release)
	if got := <-status; got != 200 {
		t.Errorf("the open booking: %d", got)
	}
	n.waitForLog(t, "when=exit")
	next.shutdown(t)
	s.check(t)
}

// TestUnusableHandoverPath: what keeps a successor from finding a process is logged in one line, removes nobody's file,
// and keeps nobody from being served.
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
		"a missing one":  {func(t *testing.T) string { return filepath.Join(t.TempDir(), "none") }, "no such file"},
		"a foreign file": {func(t *testing.T) string { return file(t, t.TempDir()) }, "is no socket"},
		"a file for it": {func(t *testing.T) string {
			return filepath.Join(file(t, t.TempDir()), "olivebridge-n0.sock")
		}, "not a directory"},
	} {
		t.Run(name, func(t *testing.T) {
			s, dir := newRuleChecker(), c.dir(t)
			t.Setenv("ROUTER_ADMIN", freeAddr(t))
			n := prepare(t, config, unchanged, s.server("s-0", respondOK))
			n.env = append(n.env, "TMPDIR="+dir)
			n.launchWithoutWaiting(t)
			said := ""
			for line := range n.lines {
				if said += line + "\n"; strings.Contains(said, c.want) && strings.Contains(said, "msg=started") {
					break
				}
				if strings.Contains(line, "msg=started") {
					n.cmd.Process.Signal(syscall.SIGUSR1)
				}
				if strings.Contains(line, "when=asked") {
					break
				}
			}
			if !strings.Contains(said, `msg="no hand-over to a successor"`) || !strings.Contains(said, c.want) {
				t.Errorf("%s: %s", c.want, said)
			}
			n.readAddr(t, said)
			if status, _ := s.call(t, n.addr, "status", nil); status != 200 {
				t.Errorf("status %d", status)
			}
			text, err := os.ReadFile(filepath.Join(dir, "olivebridge-n0.sock"))
			if name == "a foreign file" && string(text) != "kept" {
				t.Errorf("the file: %q, %v", text, err)
			}
			n.shutdown(t)
			s.check(t)
		})
	}
}

// TestHangingPredecessor: a process in service that does not answer keeps its successor from nothing: that starts alone
// beside it, logs so, and serves.
func TestHangingPredecessor(t *testing.T) {
	t.Setenv("ROUTER_ADMIN", freeAddr(t))
	s := newRuleChecker()
	n := start(t, unchanged, s.server("s-0", respondOK))
	n.env[1] = "ROUTER_LISTEN=" + n.addr
	n.cmd.Process.Signal(syscall.SIGSTOP)
	next := n.sibling("ROUTER_ADMIN=" + freeAddr(t))
	next.launchWithoutWaiting(t)
	if line := next.waitForLog(t, "hand-over failed"); !strings.Contains(line, "i/o timeout") {
		t.Error(line)
	}
	next.readAddr(t, next.waitForLog(t, "msg=started"))
	n.cmd.Process.Kill() // nothing was open there; else its share of new connections would hang
	n.cmd.Wait()
	for range 20 {
		if status, _ := s.call(t, next.addr, "book", strings.NewReader("paid")); status != 200 {
			t.Errorf("status %d", status)
		}
	}
	next.shutdown(t)
	s.check(t)
}

// TestSuccessorDiesBeforeItIsReady: a successor that listens in its predecessor's place and dies before it says that it
// is ready leaves its predecessor able to have another.
func TestSuccessorDiesBeforeItIsReady(t *testing.T) {
	t.Setenv("ROUTER_ADMIN", freeAddr(t))
	s := newRuleChecker()
	n := start(t, unchanged, s.server("s-0", respondOK))
	n.env[1] = "ROUTER_LISTEN=" + n.addr
	path := filepath.Join(n.env[4][len("TMPDIR="):], "olivebridge-n0.sock")
	var takeover *handover.Takeover
	for takeover == nil { // the process waits for a successor just after its start
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
	next, _ := n.successor(t)
	n.waitForLog(t, "successor takes clients")
	n.shutdown(t)
	if status, _ := s.call(t, next.addr, "book", strings.NewReader("paid")); status != 200 {
		t.Errorf("status %d", status)
	}
	next.shutdown(t)
	s.check(t)
}
