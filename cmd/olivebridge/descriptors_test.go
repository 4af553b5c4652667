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

// TestDescriptorsExhaustedAtDial checks that a node which cannot dial for lack of descriptors does not count that as a
// failure of its servers: it uses all of them again as soon as it has descriptors, without a delay, and removes none
// from its table.
func TestDescriptorsExhaustedAtDial(t *testing.T) {
	s := newRuleChecker()
	n := startWithLimits(t, "ulimit -n 24", unchangedList,
		s.recordingHandler("s-0", respondOK), s.recordingHandler("s-1", respondOK))
	var idle []net.Conn
	for range 40 { // idle clients use all available descriptors
		c, err := net.Dial("tcp", n.addr)
		if err != nil {
			t.Fatal(err)
		}
		idle = append(idle, c)
	}
	for fds := 0; fds < 23; { // wait until the node has used up its descriptors
		list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
		if err != nil {
			t.Skip("counting the node's descriptors needs /proc")
		}
		fds = len(list)
	}
	for _, c := range idle[:8] { // requests on connections that are already open
		fmt.Fprintf(c, "GET /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: f%s\r\nX-Call-Class: status\r\nX-Caller: acme\r\n"+
			"X-Budget: 1\r\n\r\n", strings.ReplaceAll(c.LocalAddr().String(), ":", "-"))
		c.SetReadDeadline(time.Now().Add(2 * time.Second))
		head := make([]byte, 200)
		k, err := c.Read(head)
		if !strings.HasPrefix(string(head[:k]), "HTTP/1.1 503 ") || !strings.Contains(string(head[:k]), "Retry-After: ") {
			t.Errorf("got %q, %v, want status 503 with a Retry-After", head[:k], err)
		}
	}
	for _, c := range idle {
		c.Close()
	}
	for i := range 20 {
		if status, _ := s.call(t, n.addr, "status", nil); status != 200 {
			t.Errorf("request %d after descriptors became available: got status %d, want 200", i, status)
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

// TestDescriptorsFilledWhileDiscoveryIsDown uses up a node's descriptors while discovery is down. Clients that send
// one request or none repeatedly occupy all client connections, silent operators all admin connections, and idle
// connections those to servers. When discovery is back, it leaves its first polls unanswered. The test then checks:
//   - The node receives the changed endpoint list.
//   - A new client is served by a server that only this list contains, so its health check passed first.
//   - A request whose connection the node closed was not forwarded.
//   - The process never runs out of descriptors, although its limit is exactly the number in its settings.
func TestDescriptorsFilledWhileDiscoveryIsDown(t *testing.T) {
	for _, sockets := range []int{64, 256} {
		t.Run(fmt.Sprint(sockets), func(t *testing.T) {
			t.Parallel()
			testFilledDescriptors(t, sockets)
		})
	}
}

// testFilledDescriptors runs TestDescriptorsFilledWhileDiscoveryIsDown with a limit on the number of descriptors.
func testFilledDescriptors(t *testing.T, sockets int) {
	const unansweredPolls = 4 // the number of polls that discovery leaves unanswered after its restart
	s, handlers := newRuleChecker(), []http.HandlerFunc(nil)
	for i := range sockets / 2 {
		handlers = append(handlers, s.recordingHandler(fmt.Sprint("s-", i), respondOK))
	}
	changes := strings.NewReplacer(
		`"sockets":256`, fmt.Sprintf(`"sockets":%d`, sockets), `"probes":false`, `"probes":true`)
	n := prepare(t, changes.Replace(config), unchangedList, handlers...)
	text, err := os.ReadFile(n.config)
	if err != nil {
		t.Fatal(err)
	}
	warmText := regexp.MustCompile(`"started_ms":\d+`).ReplaceAll(text, []byte(`"started_ms":0`))
	if err := os.WriteFile(n.config, warmText, 0o600); err != nil {
		t.Fatal(err)
	}
	adminAddr := freeAddr(t)
	discovery := freeAddr(t)
	n.env = append(n.env, "ROUTER_ADMIN="+adminAddr, "ROUTER_DISCOVERY="+discovery)
	n.limits = fmt.Sprint("ulimit -n ", sockets)
	n.launch(t)
	descriptorErrors := make(chan string, 1)
	go func() {
		defer close(descriptorErrors)
		for line := range n.lines {
			if strings.Contains(line, "too many open files") && len(descriptorErrors) == 0 {
				descriptorErrors <- line
			}
		}
	}()

	for range 40 {
		holdConnection(t, adminAddr)
	}
	var clients sync.WaitGroup
	var done atomic.Bool
	defer clients.Wait()
	defer done.Store(true)
	answered, silentClosed, interrupted := make(chan bool, sockets), make(chan bool, 2*sockets), make(chan string, 1<<16)
	for range 8 { // clients that send requests with pauses on one connection until the node closes it
		clients.Go(func() {
			for !done.Load() {
				s.callWithPauses(n.addr, &done, answered, interrupted)
			}
		})
	}
	for range sockets { // clients that send nothing
		clients.Go(func() {
			for !done.Load() {
				if c, err := net.Dial("tcp", n.addr); err == nil {
					c.SetReadDeadline(time.Now().Add(2 * time.Second))
					io.Copy(io.Discard, c) // until the node closes it
					c.Close()
					notify(silentClosed)
				}
			}
		})
	}
	for range cap(answered) {
		<-answered
	}
	for range cap(silentClosed) {
		<-silentClosed
	}

	fresh := httptest.NewServer(s.recordingHandler("fresh", respondOK))
	t.Cleanup(fresh.Close)
	polls, pollTimes := atomic.Int64{}, make(chan time.Time, 2)
	l, err := net.Listen("tcp", discovery)
	if err != nil {
		t.Fatal(err)
	}
	list := httptest.Server{Listener: l, Config: &http.Server{Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			switch polls.Add(1) {
			case unansweredPolls + 1:
				fmt.Fprintf(w, `{"version":2,"full":true,"servers":[{"id":"fresh","addr":%q,"zone":"a","kind":"m1",`+
					`"state":"Ready","started_ms":0}]}`, fresh.Listener.Addr())
				return
			case 1, unansweredPolls + 2: // the first poll, and the poll that follows receipt of the list
				pollTimes <- time.Now()
			}
			<-r.Context().Done()
		})}}
	list.Start()
	t.Cleanup(list.Close)
	first := <-pollTimes
	if took := (<-pollTimes).Sub(first); took > 6*time.Second {
		t.Errorf("the node received the list %v after its first poll, want at most 6 s", took)
	}
	for status, until := 0, time.Now().Add(5*time.Second); status != 200; {
		if status, _ = s.call(t, n.addr, "status", nil); time.Now().After(until) {
			t.Fatalf("a new client got status %d for 5 s, want 200", status)
		}
	}
	s.mu.Lock()
	if s.received["fresh"] == 0 {
		t.Error("the server that only the changed list contains received no request")
	}
	s.mu.Unlock()
	done.Store(true)
	n.cmd.Process.Kill()
	if line, ok := <-descriptorErrors; ok {
		t.Error(line)
	}
	clients.Wait()
	close(interrupted)
	for id := range interrupted { // checked only now: the node may forward a request long after it closed the connection
		if !s.notReceived(id) {
			t.Errorf("request %s was forwarded although its connection was closed", id)
		}
	}
}

// callWithPauses sends requests on one connection, with pauses, until the node closes it or done is set. It sends to
// answered after each response, and to interrupted the ID of a request that the close left unanswered.
func (s *ruleChecker) callWithPauses(addr string, done *atomic.Bool, answered chan bool, interrupted chan string) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer c.Close()
	responses := bufio.NewReader(c)
	for !done.Load() {
		id := fmt.Sprint("rest-", lastCallID.Add(1))
		c.SetDeadline(time.Now().Add(7 * time.Second))
		_, err := fmt.Fprintf(c, "GET /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: %s\r\nX-Call-Class: status\r\n"+
			"X-Caller: acme\r\nX-Budget: 5\r\n\r\n", id)
		if err == nil {
			_, err = http.ReadResponse(responses, nil)
		}
		if err != nil {
			if !done.Load() {
				interrupted <- id
			}
			return
		}
		notify(answered)
		time.Sleep(time.Duration(lastCallID.Load()%30) * time.Millisecond) // pause between requests
	}
}

// notify sends to c without blocking; the value is dropped if c is full.
func notify(c chan bool) {
	select {
	case c <- true:
	default:
	}
}

// holdConnection opens a connection to addr and keeps it open until the test ends.
func holdConnection(t *testing.T, addr string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
}
