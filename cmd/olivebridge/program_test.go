package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestProgram checks that a node serves requests, logs its counters on SIGUSR1, and after SIGTERM answers open requests
// and those that arrive shortly afterwards.
func TestProgram(t *testing.T) {
	held, release := make(chan bool), make(chan bool)
	n := start(t, unchangedList, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path == "/held" {
			held <- true
			<-release
		}
		fmt.Fprint(w, r.Method, " ", r.RequestURI, " ", r.Header.Get("X-Call-Id"), " ", string(body))
	})
	if status, _ := n.call(t, "GET", "/health/ready", "", ""); status != 200 {
		t.Errorf("readiness check: got status %d, want 200", status)
	}
	status, got := n.call(t, "POST", "/api?user=%61b", "book", "paid")
	if status != 200 || got != fmt.Sprintf("POST /api?user=%%61b 9b1f-%d paid", lastCallID.Load()) {
		t.Errorf("got status %d and body %q, want 200 and the request as the client sent it", status, got)
	}
	if status, _ := n.call(t, "GET", "/api", "gift", ""); status != 400 {
		t.Errorf("unknown class: got status %d, want 400", status)
	}
	n.cmd.Process.Signal(syscall.SIGUSR1)
	if line := n.waitForLog(t, "when=asked"); !strings.Contains(line, `process="allocations=`) ||
		!strings.Contains(line, "malformed=1") || !strings.Contains(line, "taken=1 served=1") {
		t.Error(line)
	}
	answers := make(chan int)
	go func() {
		status, _ := n.call(t, "GET", "/held", "status", "")
		answers <- status
	}()
	<-held
	n.cmd.Process.Signal(syscall.SIGTERM)
	n.waitForLog(t, "msg=draining")
	http.DefaultClient.CloseIdleConnections()
	if status, _ := n.call(t, "GET", "/api", "status", ""); status != 200 { // on a new connection
		t.Errorf("request just after SIGTERM: got status %d, want 200", status)
	}
	if status, _ := n.call(t, "GET", "/health/ready", "", ""); status != 503 {
		t.Errorf("readiness check after SIGTERM: got status %d, want 503", status)
	}
	close(release)
	if status := <-answers; status != 200 {
		t.Errorf("open request: got status %d, want 200", status)
	}
	if line := n.waitForLog(t, "when=exit"); !strings.Contains(line, "taken=3 served=3") {
		t.Error(line)
	}
	for range n.lines { // until the log ends
	}
	if err := n.cmd.Wait(); err != nil {
		t.Errorf("process did not exit with code 0: %v", err)
	}
}

// TestDrainingServer checks that a server which discovery lists as Terminating receives no attempt, and that the client
// gets status 503. The response has a Retry-After, which this test does not check.
func TestDrainingServer(t *testing.T) {
	var polls, attempts atomic.Int64
	listApplied := make(chan bool)
	n := start(t, func(w http.ResponseWriter, r *http.Request) {
		if polls.Add(1) == 1 {
			io.WriteString(w, `{"version":2,"full":false,"servers":[{"id":"s-0","addr":"127.0.0.1:1","state":"Terminating"}]}`)
			return
		}
		close(listApplied) // the node polls again only after it has passed the first list to the balancer
		<-r.Context().Done()
	}, func(http.ResponseWriter, *http.Request) { attempts.Add(1) })
	<-listApplied
	if status, _ := n.call(t, "POST", "/api", "book", "x"); status != 503 || attempts.Load() != 0 {
		t.Errorf("got status %d after %d attempts, want 503 after none", status, attempts.Load())
	}
}

// TestSlowStart checks that a server which has just started receives few requests. It guards the conversion of
// started_ms, which is wall-clock time, to the balancer's monotonic time.
func TestSlowStart(t *testing.T) {
	var warm, cold atomic.Int64
	n := start(t, unchangedList, func(http.ResponseWriter, *http.Request) { warm.Add(1) },
		func(http.ResponseWriter, *http.Request) { cold.Add(1) })
	const calls = 100
	for range calls {
		if status, _ := n.call(t, "GET", "/api", "status", ""); status != 200 {
			t.Fatalf("got status %d, want 200", status)
		}
	}
	if warm.Load()+cold.Load() != calls || cold.Load() > calls/5 {
		t.Errorf("got %d requests at the warm server and %d at the one in slow start, want at most a fifth at the latter",
			warm.Load(), cold.Load())
	}
}

// TestClockSkew checks that a server whose start time is in the future of the node's clock is in slow start. One that
// started long ago by that clock is warm. A node cannot detect that its own clock is wrong; the test documents the
// effect.
func TestClockSkew(t *testing.T) {
	s := newRuleChecker()
	n := prepare(t, config, unchangedList, s.recordingHandler("s-0", respondOK), s.recordingHandler("s-1", respondOK))
	text, err := os.ReadFile(n.config)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now().UnixMilli()
	at := strings.LastIndex(string(text), `"started_ms":1`)
	end := at + strings.Index(string(text[at:]), "}")
	skewed := fmt.Sprintf(`%s"started_ms":%d%s`, text[:at], now+5*60_000, text[end:]) // 5 min in the future
	if err := os.WriteFile(n.config, []byte(skewed), 0o600); err != nil {
		t.Fatal(err)
	}
	n.launch(t)
	for range 60 {
		if status, _ := s.call(t, n.addr, "status", nil); status != 200 {
			t.Errorf("got status %d, want 200", status)
		}
	}
	n.shutdown(t)
	s.check(t, "s-1")
}

// TestMaxAttempts checks the number of attempts that one request causes at servers in the worst case, over all layers
// of the node. It fails if any layer makes an additional attempt. At most one attempt of a non-idempotent request may
// have run.
func TestMaxAttempts(t *testing.T) {
	const limit = 4 // the settings' try_limit
	fails := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	for _, c := range []struct {
		name, class string
		serve       http.HandlerFunc
		came        int
	}{
		{"non-idempotent, rejected", "book", reject, limit}, {"non-idempotent, fails", "book", fails, 1},
		{"non-idempotent, connection breaks", "book", dropConnection, 1},
		{"idempotent, rejected", "status", reject, limit}, {"idempotent, fails", "status", fails, limit},
		{"idempotent, connection breaks", "status", dropConnection, 1}, // the request may make servers crash
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newRuleChecker()
			var handlers []http.HandlerFunc
			for i := range 2 * limit {
				handlers = append(handlers, s.recordingHandler(fmt.Sprint("s-", i), c.serve))
			}
			n := prepare(t, config, unchangedList, handlers...)
			n.markServersWarm(t)
			n.launch(t)
			s.call(t, n.addr, c.class, nil)
			for id, a := range s.requests {
				if a.received != c.came {
					t.Errorf("servers received request %s %d times, want %d", id, a.received, c.came)
				}
			}
			n.cmd.Process.Kill()
			s.check(t)
		})
	}
}

// TestNoKnownServers checks a node that has never received an endpoint list: STATUS reports so, the readiness check
// fails, and requests are rejected with a Retry-After.
func TestNoKnownServers(t *testing.T) {
	t.Setenv("ROUTER_ADMIN", freeAddr(t))
	s := newRuleChecker()
	n := start(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusFound) })
	if got := command(t, n.adminAddr(), "STATUS"); got != "FAILURE the upstream group is not known yet\n" {
		t.Error(got)
	}
	if got, _ := n.call(t, "GET", "/health/ready", "", ""); got != 503 {
		t.Errorf("readiness check: got status %d, want 503", got)
	}
	if status, retryAfter := s.call(t, n.addr, "book", nil); status != 503 || retryAfter == "" {
		t.Errorf("got status %d with Retry-After %q, want 503 with a Retry-After", status, retryAfter)
	}
	n.waitForLog(t, "refused: status 302")
	n.shutdown(t)
	s.check(t)
}

// TestMalformedEndpointLists checks that a malformed endpoint list changes nothing and that the log names the fault. A
// valid list that follows takes effect immediately.
func TestMalformedEndpointLists(t *testing.T) {
	entry := func(id, addr, state string) string {
		return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"a","kind":"m1","state":%q}`, id, addr, state)
	}
	fullList := func(entries ...string) string {
		return `{"version":9,"full":true,"servers":[` + strings.Join(entries, ",") + `]}`
	}
	for name, c := range map[string]struct{ list, want string }{
		"a duplicate ID":   {fullList(entry("a", "127.0.0.1:1", "Ready"), entry("a", "127.0.0.1:2", "Ready")), `same as`},
		"an unknown state": {fullList(entry("a", "127.0.0.1:1", "Asleep")), "unknown state"},
		"no address":       {fullList(entry("a", "", "Ready")), "missing port"},
		"truncated list":   {fullList(entry("a", "127.0.0.1:1", "Ready"))[:40], "unexpected end of JSON"},
		"over 8 MiB": {
			fullList(entry(strings.Repeat("a", 9<<20), "127.0.0.1:1", "Ready")), "longer than 8388608 bytes"},
		"no list fields": {`{}`, "version, full or servers missing"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, validLists := newRuleChecker(), make(chan string, 1)
			n := start(t, func(w http.ResponseWriter, r *http.Request) {
				select {
				case text := <-validLists:
					io.WriteString(w, text)
					validLists <- text
				default:
					io.WriteString(w, c.list)
				}
			}, s.recordingHandler("s-0", respondOK))
			// On a busy machine the poll may time out before a list of 9 MiB has arrived; the node then polls again.
			if line := n.waitForLog(t, c.want); !strings.Contains(line, "upstream group watch ended") {
				t.Errorf("log line with %q is not an end of the watch: %.300s", c.want, line)
			}
			if status, _ := s.call(t, n.addr, "book", strings.NewReader("paid")); status != 200 {
				t.Errorf("request with the previous list in use: got status %d, want 200", status)
			}
			validLists <- fullList() // without servers: no further request goes to s-0
			for status := 200; status != 503; {
				var retryAfter string
				if status, retryAfter = s.call(t, n.addr, "status", nil); status == 503 && retryAfter == "" {
					t.Error("got status 503 without a Retry-After")
				}
			}
			n.shutdown(t)
			s.check(t)
		})
	}
}
