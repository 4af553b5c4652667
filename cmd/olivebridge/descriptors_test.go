package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestDescriptorsExhaustedAtDial: the node's lack of descriptors is no failure of its servers. They are all in use
// again as soon as it has descriptors, without a pause, and none is taken out of the table.
func TestDescriptorsExhaustedAtDial(t *testing.T) {
	s := newRuleChecker()
	n := startWithLimits(t, "ulimit -n 24", unchanged, s.server("s-0", respondOK), s.server("s-1", respondOK))
	var idle []net.Conn
	for range 40 { // clients that hold what descriptors there are
		c, err := net.Dial("tcp", n.addr)
		if err != nil {
			t.Fatal(err)
		}
		idle = append(idle, c)
	}
	for fds := 0; fds < 23; { // all that it may have are in use
		list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
		if err != nil {
			t.Skip("no /proc to count descriptors in")
		}
		fds = len(list)
	}
	for _, c := range idle[:8] { // the requests come on connections that are open
		fmt.Fprintf(c, "GET /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: f%s\r\nX-Call-Class: status\r\nX-Caller: acme\r\n"+
			"X-Budget: 1\r\n\r\n", strings.ReplaceAll(c.LocalAddr().String(), ":", "-"))
		c.SetReadDeadline(time.Now().Add(2 * time.Second))
		head := make([]byte, 200)
		k, err := c.Read(head)
		if !strings.HasPrefix(string(head[:k]), "HTTP/1.1 503 ") || !strings.Contains(string(head[:k]), "Retry-After: ") {
			t.Errorf("%q, %v: wanted a refusal that says when to come back", head[:k], err)
		}
	}
	for _, c := range idle {
		c.Close()
	}
	for i := range 20 {
		if status, _ := s.call(t, n.addr, "status", nil); status != 200 {
			t.Errorf("call %d with descriptors again: %d", i, status)
		}
	}
	n.cmd.Process.Signal(syscall.SIGTERM)
	for line := range n.lines {
		if strings.Contains(line, "out of the table") {
			t.Error(line)
		}
	}
	s.check(t, "s-1")
}

// TestDescriptorsFilledWhileDiscoveryIsDown: while discovery is down, clients that have sent one request or nothing use
// all client connections, over and over, silent operators all admin connections, and idle connections those to servers.
// Then discovery is back, and does not answer its first requests. The changed list comes through; a new client is
// served by a server that is on this list alone, hence checked before; a request whose connection was closed was not
// forwarded; and the process, which may hold what the settings say and no more, never lacks a descriptor.
func TestDescriptorsFilledWhileDiscoveryIsDown(t *testing.T) {
	for _, sockets := range []int{64, 256} {
		t.Run(fmt.Sprint(sockets), func(t *testing.T) {
			t.Parallel()
			checkFullDescriptors(t, sockets)
		})
	}
}

func checkFullDescriptors(t *testing.T, sockets int) {
	const hung = 4 // calls that discovery does not answer at first
	s, handlers := newRuleChecker(), []http.HandlerFunc(nil)
	for i := range sockets / 2 {
		handlers = append(handlers, s.server(fmt.Sprint("s-", i), respondOK))
	}
	small := strings.NewReplacer(`"sockets":256`, fmt.Sprintf(`"sockets":%d`, sockets), `"probes":false`, `"probes":true`)
	n := prepare(t, small.Replace(config), unchanged, handlers...)
	text, err := os.ReadFile(n.config)
	if err != nil {
		t.Fatal(err)
	}
	warm := regexp.MustCompile(`"started_ms":\d+`).ReplaceAll(text, []byte(`"started_ms":0`))
	if err := os.WriteFile(n.config, warm, 0o600); err != nil {
		t.Fatal(err)
	}
	adminAddr := freeAddr(t)
	discovery := freeAddr(t)
	n.env = append(n.env, "ROUTER_ADMIN="+adminAddr, "ROUTER_DISCOVERY="+discovery)
	n.limits = fmt.Sprint("ulimit -n ", sockets)
	n.launch(t)
	lacks := make(chan string, 1)
	go func() {
		defer close(lacks)
		for line := range n.lines {
			if strings.Contains(line, "too many open files") && len(lacks) == 0 {
				lacks <- line
			}
		}
	}()

	for range 40 {
		holdConnection(t, adminAddr)
	}
	var clients sync.WaitGroup
	var over atomic.Bool
	defer clients.Wait()
	defer over.Store(true)
	asked, silent, cut := make(chan bool, sockets), make(chan bool, 2*sockets), make(chan string, 1<<16)
	for range 8 { // clients that ask, rest a while, and ask again on the same connection as long as it is there
		clients.Go(func() {
			for !over.Load() {
				s.callWithPauses(n.addr, &over, asked, cut)
			}
		})
	}
	for range sockets { // clients that say nothing
		clients.Go(func() {
			for !over.Load() {
				if c, err := net.Dial("tcp", n.addr); err == nil {
					c.SetReadDeadline(time.Now().Add(2 * time.Second))
					io.Copy(io.Discard, c) // until the node closes it
					c.Close()
					notify(silent)
				}
			}
		})
	}
	for range cap(asked) {
		<-asked
	}
	for range cap(silent) {
		<-silent
	}

	fresh := httptest.NewServer(s.server("fresh", respondOK))
	t.Cleanup(fresh.Close)
	calls, told := atomic.Int64{}, make(chan time.Time, 2)
	l, err := net.Listen("tcp", discovery)
	if err != nil {
		t.Fatal(err)
	}
	list := httptest.Server{Listener: l, Config: &http.Server{Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			switch calls.Add(1) {
			case hung + 1:
				fmt.Fprintf(w, `{"version":2,"full":true,"servers":[{"id":"fresh","addr":%q,"zone":"a","kind":"m1",`+
					`"state":"Ready","started_ms":0}]}`, fresh.Listener.Addr())
				return
			case 1, hung + 2: // the first one, and the one after the list has come through
				told <- time.Now()
			}
			<-r.Context().Done()
		})}}
	list.Start()
	t.Cleanup(list.Close)
	first := <-told
	if took := (<-told).Sub(first); took > 6*time.Second {
		t.Errorf("the list took %v from the first call", took)
	}
	for status, until := 0, time.Now().Add(5*time.Second); status != 200; {
		if status, _ = s.call(t, n.addr, "status", nil); time.Now().After(until) {
			t.Fatalf("a new client has %d", status)
		}
	}
	s.mu.Lock()
	if s.received["fresh"] == 0 {
		t.Error("nothing has come to the server on the changed list")
	}
	s.mu.Unlock()
	over.Store(true)
	n.cmd.Process.Kill()
	if line, ok := <-lacks; ok {
		t.Error(line)
	}
	clients.Wait()
	close(cut)
	for id := range cut { // now: what was read may be passed on long after its connection is closed
		if !s.notReceived(id) {
			t.Errorf("%s was passed on, and its connection closed", id)
		}
	}
}

// callWithPauses has one client send requests on one connection, with pauses, until the node closes it. A request that
// this cuts off is sent to cut.
func (s *ruleChecker) callWithPauses(addr string, over *atomic.Bool, asked chan bool, cut chan string) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer c.Close()
	answers := bufio.NewReader(c)
	for !over.Load() {
		id := fmt.Sprint("rest-", ids.Add(1))
		c.SetDeadline(time.Now().Add(7 * time.Second))
		_, err := fmt.Fprintf(c, "GET /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: %s\r\nX-Call-Class: status\r\n"+
			"X-Caller: acme\r\nX-Budget: 5\r\n\r\n", id)
		if err == nil {
			_, err = http.ReadResponse(answers, nil)
		}
		if err != nil {
			if !over.Load() {
				cut <- id
			}
			return
		}
		notify(asked)
		time.Sleep(time.Duration(ids.Load()%30) * time.Millisecond) // a client's rest
	}
}

// notify sends to c, unless it is full.
func notify(c chan bool) {
	select {
	case c <- true:
	default:
	}
}

// holdConnection opens a connection that stays until the test's end.
func holdConnection(t *testing.T, addr string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
}
