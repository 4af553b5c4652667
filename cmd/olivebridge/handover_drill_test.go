package main

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestFaultsAgainstHandOver: a new version takes over under each fault that it can meet, while clients go on. The four
// rules hold over both processes, and no client finds its connection refused, reset or unread.
func TestFaultsAgainstHandOver(t *testing.T) {
	fails := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	says := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(20 * time.Millisecond) // or it would be asked without a pause
			io.WriteString(w, text)
		}
	}
	gone := make(chan bool) // closed: discovery lists nobody. A process that starts by then is not ready, and its predecessor goes on
	empties := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-gone:
			says(`{"version":2,"full":true,"servers":[]}`)(w, r)
		case <-r.Context().Done():
		}
	}
	call := func(line string) func(*testing.T, *shop, *process, *process, string) {
		return func(t *testing.T, _ *shop, _, _ *process, door string) { must(t, door, line) }
	}
	for name, c := range map[string]struct {
		discovery, serve http.HandlerFunc // serve: of the first of three peers
		limits           string
		cold             bool
		dead, lost       bool                                                       // nobody listens at the first peer's address; at discovery's
		meanwhile        func(t *testing.T, s *shop, n, next *process, door string) // while both live
		kill             bool                                                       // the predecessor, in place of its planned end
		want             int                                                        // a status that clients get
	}{
		"a peer is silent":          {serve: silent, want: 200},
		"a peer answers 500":        {serve: fails, want: 200},
		"a peer turns away":         {serve: turnAway, want: 200},
		"a peer breaks connections": {serve: drop, want: 200},
		"a peer is slow":            {serve: func(http.ResponseWriter, *http.Request) { time.Sleep(700 * time.Millisecond) }, want: 200},
		"answers are spoilt":        {serve: raw("HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n"), want: 200},
		"bytes behind answers":      {serve: raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi HTTP/1.1 200 OK\r\n\r\n"), want: 200},
		"a peer is dead":            {dead: true, want: 200},
		"discovery refuses":         {lost: true, want: 200},
		"discovery breaks":          {discovery: drop, want: 200},
		"peers are cold":            {cold: true, want: 200},
		"discovery says 503":        {discovery: fails, want: 200},
		"a list cannot be read":     {discovery: says(`{"version":`), want: 200},
		"the list empties":          {discovery: empties, meanwhile: func(*testing.T, *shop, *process, *process, string) { close(gone) }, want: 503},
		"descriptors are short":     {limits: "ulimit -n 40", want: 200},
		"a server is suspended": {meanwhile: func(t *testing.T, s *shop, n, _ *process, door string) {
			must(t, door, "SUSPEND s-1")
			s.mu.Lock()
			s.drained["s-1"] = time.Now().Add(noise - grace) // there is no grace; what left before the yes may still be read
			s.mu.Unlock()
		}, want: 200},
		"the node is paused": {meanwhile: call("PAUSE"), want: 200},
		"it is paused and back": {meanwhile: func(t *testing.T, _ *shop, _, _ *process, door string) {
			must(t, door, "PAUSE")
			must(t, door, "RESUME")
		}, want: 200},
		"both reload": {meanwhile: func(t *testing.T, _ *shop, n, next *process, _ string) {
			n.rewrite(t, `"connect_timeout":75000000`, `"connect_timeout":80000000`)
			next.cmd.Process.Signal(syscall.SIGHUP)
			next.until(t, "msg=reloaded")
		}, want: 200},
		"the predecessor is killed": {kill: true, want: 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newShop()
			if c.discovery == nil {
				c.discovery = unchanged
			}
			if c.serve == nil {
				c.serve = served
			}
			n := prepare(t, config, c.discovery, s.peer("s-0", c.serve), s.peer("s-1", served), s.peer("s-2", served))
			n.env = append(n.env, "ROUTER_ADMIN="+freeAddr(t))
			if !c.cold {
				n.warm(t)
			}
			n.limits = c.limits
			if c.dead {
				n.replace(t, n.known[0], freeAddr(t))
			}
			if c.lost {
				n.env = append(n.env, "ROUTER_DISCOVERY="+freeAddr(t))
			}
			n.launch(t)
			stop := s.load(t, n.addr, 4)
			for s.answers(200) < 20 {
				time.Sleep(time.Millisecond)
			}
			next, door := n.successor(t)
			n.until(t, "successor takes clients")
			if c.meanwhile != nil {
				c.meanwhile(t, s, n, next, door)
			}
			if c.kill {
				s.mu.Lock()
				s.killed = true
				s.mu.Unlock()
				n.cmd.Process.Kill()
				n.cmd.Wait()
			} else {
				n.end(t)
			}
			for more := s.answers(c.want) + 20; s.answers(c.want) < more; { // by the successor alone
				time.Sleep(time.Millisecond)
			}
			stop()
			next.end(t)
			cold := []string{}
			if c.cold {
				cold = []string{"s-1", "s-2"}
			}
			s.check(t, cold...)
		})
	}
}

// TestEndsMeet: SIGTERM while something else goes on. What is taken is answered, and the process ends.
func TestEndsMeet(t *testing.T) {
	for name, before := range map[string]func(t *testing.T, n *process, door string){
		"alone":          func(*testing.T, *process, string) {},
		"twice":          func(_ *testing.T, n *process, _ string) { n.cmd.Process.Signal(syscall.SIGTERM) },
		"paused":         func(t *testing.T, _ *process, door string) { must(t, door, "PAUSE") },
		"before a pause": func(*testing.T, *process, string) {},
		"with a reload":  func(_ *testing.T, n *process, _ string) { n.cmd.Process.Signal(syscall.SIGHUP) },
		"with a bad one": func(t *testing.T, n *process, _ string) {
			n.rewrite(t, `"seed"`, `"weed"`)
			n.until(t, "reload refused")
		},
		"with reloads in a row": func(_ *testing.T, n *process, _ string) {
			for range 20 {
				n.cmd.Process.Signal(syscall.SIGHUP)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, held, release := newShop(), make(chan bool), make(chan bool)
			n := prepare(t, config, unchanged, s.peer("s-0", func(http.ResponseWriter, *http.Request) {
				held <- true
				<-release
			}))
			door := freeAddr(t)
			n.env = append(n.env, "ROUTER_ADMIN="+door)
			n.launch(t)
			status := make(chan int)
			go func() {
				got, _ := s.call(t, n.addr, "book", strings.NewReader("paid"))
				status <- got
			}()
			<-held
			before(t, n, door)
			n.cmd.Process.Signal(syscall.SIGTERM)
			n.until(t, "msg=draining")
			if name == "before a pause" {
				must(t, door, "PAUSE")
				must(t, door, "RESUME")
			}
			close(release)
			if got := <-status; got != 200 {
				t.Errorf("the open booking: %d", got)
			}
			n.until(t, "when=exit")
			for range n.lines {
			}
			if err := n.cmd.Wait(); err != nil {
				t.Errorf("exit: %v", err)
			}
			s.check(t)
		})
	}
}

// TestHandedOver: what a predecessor's log shows of a hand-over, and what its door says as it ends.
func TestHandedOver(t *testing.T) {
	t.Setenv("ROUTER_ADMIN", freeAddr(t))
	held, release := make(chan bool), make(chan bool)
	s := newShop()
	n := start(t, unchanged, s.peer("s-0", func(http.ResponseWriter, *http.Request) {
		held <- true
		<-release
	}))
	if got := call(t, n.door(), "SUSPEND nobody"); got != "FAILURE no list has ever named server \"nobody\"\n" {
		t.Error(got)
	}
	n.until(t, `msg="operator call" call=SUSPEND server=nobody`)
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
	n.until(t, "successor takes clients")
	n.cmd.Process.Signal(syscall.SIGTERM)
	n.until(t, "reason=handed-over")
	if got := call(t, n.door(), "STATUS"); got != "FAILURE the node is ending\n" {
		t.Error(got)
	}
	close(release)
	if got := <-status; got != 200 {
		t.Errorf("the open booking: %d", got)
	}
	n.until(t, "when=exit")
	next.end(t)
	s.check(t)
}

// door is where operators call this process.
func (n *process) door() string { return os.Getenv("ROUTER_ADMIN") }

// TestNobodyKnown: a node that has never heard of a peer says so at its door and to whoever asks whether it is ready,
// and refuses what comes with a time to come back.
func TestNobodyKnown(t *testing.T) {
	t.Setenv("ROUTER_ADMIN", freeAddr(t))
	s := newShop()
	n := start(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusFound) })
	if got := call(t, n.door(), "STATUS"); got != "FAILURE the upstream group is not known yet\n" {
		t.Error(got)
	}
	if got, _ := n.ask(t, "GET", "/health/ready", "", ""); got != 503 {
		t.Errorf("ready: %d", got)
	}
	if status, after := s.call(t, n.addr, "book", nil); status != 503 || after == "" {
		t.Errorf("status %d, to come again after %q s", status, after)
	}
	n.until(t, "refused: status 302")
	n.end(t)
	s.check(t)
}

// raw answers with these bytes, whatever they are, and ends the connection.
func raw(answer string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		io.WriteString(conn, answer)
	}
}
