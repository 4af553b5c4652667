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

// TestProgram: a node serves requests, logs its counters at SIGUSR1, and answers what is open at SIGTERM, as well as
// what comes shortly after.
func TestProgram(t *testing.T) {
	held, release := make(chan bool), make(chan bool)
	n := start(t, unchanged, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path == "/held" {
			held <- true
			<-release
		}
		fmt.Fprint(w, r.Method, " ", r.RequestURI, " ", r.Header.Get("X-Call-Id"), " ", string(body))
	})
	if status, _ := n.call(t, "GET", "/health/ready", "", ""); status != 200 {
		t.Errorf("ready: %d", status)
	}
	status, got := n.call(t, "POST", "/api?user=%61b", "book", "paid")
	if status != 200 || got != fmt.Sprintf("POST /api?user=%%61b 9b1f-%d paid", ids.Load()) {
		t.Errorf("%d %q", status, got)
	}
	if status, _ := n.call(t, "GET", "/api", "gift", ""); status != 400 {
		t.Errorf("unknown class: %d", status)
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
		t.Errorf("just after SIGTERM: %d", status)
	}
	if status, _ := n.call(t, "GET", "/health/ready", "", ""); status != 503 {
		t.Errorf("ready after SIGTERM: %d", status)
	}
	close(release)
	if status := <-answers; status != 200 {
		t.Errorf("the open call: %d", status)
	}
	if line := n.waitForLog(t, "when=exit"); !strings.Contains(line, "taken=3 served=3") {
		t.Error(line)
	}
	for range n.lines { // to its end
	}
	if err := n.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// TestDrainingServer: once discovery lists a server as draining, it gets nothing, and the client gets a Retry-After.
func TestDrainingServer(t *testing.T) {
	var calls, attempts atomic.Int64
	told := make(chan bool)
	n := start(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			io.WriteString(w, `{"version":2,"full":false,"servers":[{"id":"s-0","addr":"127.0.0.1:1","state":"Terminating"}]}`)
			return
		}
		close(told) // the next call comes once the first answer was handed to the decisions
		<-r.Context().Done()
	}, func(http.ResponseWriter, *http.Request) { attempts.Add(1) })
	<-told
	if status, _ := n.call(t, "POST", "/api", "book", "x"); status != 503 || attempts.Load() != 0 {
		t.Errorf("status %d after %d attempts", status, attempts.Load())
	}
}

// TestSlowStart: a server that has only just started gets little at first. It guards the conversion of started_ms into
// the balancer's time, which is monotonic.
func TestSlowStart(t *testing.T) {
	var warm, cold atomic.Int64
	n := start(t, unchanged, func(http.ResponseWriter, *http.Request) { warm.Add(1) },
		func(http.ResponseWriter, *http.Request) { cold.Add(1) })
	const calls = 100
	for range calls {
		if status, _ := n.call(t, "GET", "/api", "status", ""); status != 200 {
			t.Fatalf("status %d", status)
		}
	}
	if warm.Load()+cold.Load() != calls || cold.Load() > calls/5 {
		t.Errorf("%d to the warm server, %d to the one in slow start", warm.Load(), cold.Load())
	}
}

// TestClockSkew: servers whose start lies in the node's future are in slow start, and servers that started long ago by
// its clock are warm. It cannot tell a wrong clock of its own from either; this shows what it does.
func TestClockSkew(t *testing.T) {
	s := newRuleChecker()
	n := prepare(t, config, unchanged, s.server("s-0", respondOK), s.server("s-1", respondOK))
	text, err := os.ReadFile(n.config)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now().UnixMilli()
	at := strings.LastIndex(string(text), `"started_ms":1`)
	end := at + strings.Index(string(text[at:]), "}")
	ahead := fmt.Sprintf(`%s"started_ms":%d%s`, text[:at], now+5*60_000, text[end:]) // five minutes ahead of this clock
	if err := os.WriteFile(n.config, []byte(ahead), 0o600); err != nil {
		t.Fatal(err)
	}
	n.launch(t)
	for range 60 {
		if status, _ := s.call(t, n.addr, "status", nil); status != 200 {
			t.Errorf("status %d", status)
		}
	}
	n.shutdown(t)
	s.check(t, "s-1")
}

// TestMaxAttempts: what one request can cause at servers in the worst case, over all layers. A layer that makes one
// more attempt makes it fail; of a non-idempotent request, one attempt may have run at the most.
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
		{"idempotent, connection breaks", "status", dropConnection, 1}, // it may be what brings servers down
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newRuleChecker()
			var handlers []http.HandlerFunc
			for i := range 2 * limit {
				handlers = append(handlers, s.server(fmt.Sprint("s-", i), c.serve))
			}
			n := prepare(t, config, unchanged, handlers...)
			n.markServersWarm(t)
			n.launch(t)
			s.call(t, n.addr, c.class, nil)
			for id, a := range s.requests {
				if a.received != c.came {
					t.Errorf("%s came %d times, and should %d times", id, a.received, c.came)
				}
			}
			n.cmd.Process.Kill()
			s.check(t)
		})
	}
}

// TestNoKnownServers: a node that has never had an endpoint list says so to operators and to readiness checks, and
// rejects requests with a Retry-After.
func TestNoKnownServers(t *testing.T) {
	t.Setenv("ROUTER_ADMIN", freeAddr(t))
	s := newRuleChecker()
	n := start(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusFound) })
	if got := command(t, n.adminAddr(), "STATUS"); got != "FAILURE the upstream group is not known yet\n" {
		t.Error(got)
	}
	if got, _ := n.call(t, "GET", "/health/ready", "", ""); got != 503 {
		t.Errorf("ready: %d", got)
	}
	if status, after := s.call(t, n.addr, "book", nil); status != 503 || after == "" {
		t.Errorf("status %d, to come again after %q s", status, after)
	}
	n.waitForLog(t, "refused: status 302")
	n.shutdown(t)
	s.check(t)
}

// TestMalformedEndpointLists: lists with a fault change nothing, and the log names each fault. A sound list after them
// counts at once.
func TestMalformedEndpointLists(t *testing.T) {
	entry := func(id, addr, state string) string {
		return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"a","kind":"m1","state":%q}`, id, addr, state)
	}
	whole := func(entries ...string) string {
		return `{"version":9,"full":true,"servers":[` + strings.Join(entries, ",") + `]}`
	}
	for name, c := range map[string]struct{ list, want string }{
		"an id twice":      {whole(entry("a", "127.0.0.1:1", "Ready"), entry("a", "127.0.0.1:2", "Ready")), `same as`},
		"an unknown state": {whole(entry("a", "127.0.0.1:1", "Asleep")), "unknown state"},
		"no address":       {whole(entry("a", "", "Ready")), "missing port"},
		"cut short":        {whole(entry("a", "127.0.0.1:1", "Ready"))[:40], "unexpected end of JSON"},
		"over 8 MiB":       {whole(entry(strings.Repeat("a", 9<<20), "127.0.0.1:1", "Ready")), "longer than 8388608 bytes"},
		"no list":          {`{}`, "version, full or servers missing"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, sound := newRuleChecker(), make(chan string, 1)
			n := start(t, func(w http.ResponseWriter, r *http.Request) {
				select {
				case text := <-sound:
					io.WriteString(w, text)
					sound <- text
				default:
					io.WriteString(w, c.list)
				}
			}, s.server("s-0", respondOK))
			// On a busy machine the time for a list of 9 MiB may be over before it has come: it is asked for again.
			if line := n.waitForLog(t, c.want); !strings.Contains(line, "upstream group watch ended") {
				t.Errorf("%q is in %.300s", c.want, line)
			}
			if status, _ := s.call(t, n.addr, "book", strings.NewReader("paid")); status != 200 {
				t.Errorf("by the list held: status %d", status)
			}
			sound <- whole() // all are gone: nothing new goes to s-0
			for status := 200; status != 503; {
				var after string
				if status, after = s.call(t, n.addr, "status", nil); status == 503 && after == "" {
					t.Error("a refusal that does not say when to come back")
				}
			}
			n.shutdown(t)
			s.check(t)
		})
	}
}
