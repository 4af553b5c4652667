package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"olivebridge/internal/handover"
)

// signalAndWait sends a signal to the process and waits until it has the state in /proc, such as T for stopped.
func (n *process) signalAndWait(t *testing.T, signal syscall.Signal, states string) {
	t.Helper()
	n.cmd.Process.Signal(signal)
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.cmd.Process.Pid))
		_, rest, _ := strings.Cut(string(stat), ") ")
		if err != nil || rest != "" && strings.Contains(states, rest[:1]) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("process is in state %.1s after signal %v, want one of %s", rest, signal, states)
		}
	}
}

// connectTo returns a connection that the process to has accepted, and not one of the others of its node, all of which
// listen at the same address.
func connectTo(t *testing.T, to *process, others ...*process) net.Conn {
	t.Helper()
	for _, other := range others {
		other.signalAndWait(t, syscall.SIGSTOP, "T")
		defer other.signalAndWait(t, syscall.SIGCONT, "RSD")
	}
	conn, err := net.Dial("tcp", to.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	fmt.Fprint(conn, "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	defer conn.SetReadDeadline(time.Time{})
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != 200 {
		t.Fatalf("readiness check: got %v, error %v", resp, err)
	}
	return conn
}

// sendBook sends a call that must not run twice on a connection, and returns a channel with the status of the answer;
// 0: there was none.
func sendBook(conn net.Conn, id string) <-chan int {
	fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: %s\r\nX-Call-Class: book\r\nX-Caller: acme\r\n"+
		"X-Budget: 1.5\r\nContent-Length: 4\r\n\r\npaid", id)
	status := make(chan int, 1)
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			status <- 0
			return
		}
		resp.Body.Close()
		status <- resp.StatusCode
	}()
	return status
}

// TestCopiedIDDuringUpgrade guards against an order that runs twice during an upgrade: while a call is open in one of
// the node's processes, a copy with its id reaches another one. The copy must get an error, and the call must run once.
func TestCopiedIDDuringUpgrade(t *testing.T) {
	const predecessor, successor, second = 0, 1, 2 // indices of the processes in the order of their starts
	for name, c := range map[string]struct {
		processes    int
		holder, copy int
		restart      bool           // the process signaled is told to end before the one that gets the copy starts
		signal       syscall.Signal // sent to the process signaled, between the call and its copy; 0: none
		signaled     int
		states       string // states of the process after the signal
	}{
		"open in the predecessor":                {processes: 2, holder: predecessor, copy: successor},
		"open in the successor":                  {processes: 2, holder: successor, copy: predecessor},
		"open in the predecessor's predecessor":  {processes: 3, holder: predecessor, copy: second},
		"open in the successor's successor":      {processes: 3, holder: second, copy: predecessor},
		"the predecessor ends":                   {2, predecessor, successor, false, syscall.SIGTERM, predecessor, "RSD"},
		"a planned restart":                      {1, predecessor, successor, true, syscall.SIGTERM, predecessor, "RSD"},
		"the successor ends":                     {2, successor, predecessor, false, syscall.SIGTERM, successor, "RSD"},
		"the predecessor dies":                   {2, predecessor, successor, false, syscall.SIGKILL, predecessor, "ZX"},
		"the successor dies":                     {2, successor, predecessor, false, syscall.SIGKILL, successor, "ZX"},
		"the predecessor hangs":                  {2, predecessor, successor, false, syscall.SIGSTOP, predecessor, "T"},
		"the successor hangs":                    {2, successor, predecessor, false, syscall.SIGSTOP, successor, "T"},
		"the process between the two dies":       {3, predecessor, second, false, syscall.SIGKILL, successor, "ZX"},
		"the first of three processes has died":  {3, predecessor, second, false, syscall.SIGKILL, predecessor, "ZX"},
		"the last of three processes has died":   {3, second, predecessor, false, syscall.SIGKILL, second, "ZX"},
		"the first of three processes is ending": {3, predecessor, second, false, syscall.SIGTERM, predecessor, "RSD"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRuleChecker()
			running, release := make(chan bool, 10), make(chan bool)
			n := prepare(t, config, unchangedList, s.recordingHandler("s-0", func(http.ResponseWriter, *http.Request) {
				running <- true
				<-release
			}))
			n.env[1] = "ROUTER_LISTEN=" + freeAddr(t)
			n.env = append(n.env, "ROUTER_ADMIN="+freeAddr(t))
			n.launch(t)
			processes := []*process{n}
			startNext := func() {
				next, _ := processes[len(processes)-1].startSuccessor(t)
				next.addr = n.addr
				processes[len(processes)-1].waitForLog(t, "successor takes clients")
				processes = append(processes, next)
			}
			for len(processes) < c.processes {
				startNext()
			}
			connect := func(to int) net.Conn {
				var others []*process
				for i, other := range processes {
					if i != to {
						others = append(others, other)
					}
				}
				return connectTo(t, processes[to], others...)
			}
			original := connect(c.holder)
			var copied net.Conn
			if !c.restart {
				copied = connect(c.copy)
			}
			id := fmt.Sprint("copied-", lastCallID.Add(1))
			answer := sendBook(original, id)
			<-running
			time.Sleep(20 * time.Millisecond) // a process that dies has reported its open calls
			if c.signal != 0 {
				processes[c.signaled].signalAndWait(t, c.signal, c.states)
			}
			if c.restart {
				startNext()
				copied = connect(c.copy)
			}
			select {
			case status := <-sendBook(copied, id):
				if status < 400 {
					t.Errorf("the copy got status %d, want an error", status)
				}
			case <-time.After(3 * time.Second):
				t.Error("the copy got no answer within 3 s")
			}
			if c.signal == syscall.SIGSTOP {
				processes[c.signaled].signalAndWait(t, syscall.SIGCONT, "RSD")
			}
			close(release)
			died := c.signal == syscall.SIGKILL && c.signaled == c.holder
			if status := <-answer; status != 200 && !died {
				t.Errorf("the call got status %d, want 200", status)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if runs := s.request(id).mayHaveRun; runs != 1 {
				t.Errorf("the call ran %d times, want once", runs)
			}
		})
	}
}

// TestCopiedIDBesideHangingPredecessor guards against a call that runs twice because the predecessor hangs when the
// successor starts, which then shares its address and knows nothing of its calls.
func TestCopiedIDBesideHangingPredecessor(t *testing.T) {
	t.Setenv("ROUTER_ADMIN", freeAddr(t))
	s := newRuleChecker()
	running, release := make(chan bool, 10), make(chan bool)
	n := prepare(t, config, unchangedList, s.recordingHandler("s-0", func(http.ResponseWriter, *http.Request) {
		running <- true
		<-release
	}))
	finish := sync.OnceFunc(func() { close(release) })
	t.Cleanup(finish) // before the server waits for its requests
	n.env[1] = "ROUTER_LISTEN=" + freeAddr(t)
	n.launch(t)
	id := fmt.Sprint("copied-", lastCallID.Add(1))
	answer := sendBook(connectTo(t, n), id)
	<-running
	n.signalAndWait(t, syscall.SIGSTOP, "T")
	next := n.newProcess("ROUTER_ADMIN=" + freeAddr(t))
	next.launchWithoutWaiting(t)
	next.waitForLog(t, "hand-over failed")
	next.readAddr(t, next.waitForLog(t, "msg=started"))
	status := <-sendBook(connectToAny(t, next), id)
	s.mu.Lock()
	runs := s.request(id).mayHaveRun
	s.mu.Unlock()
	if status < 400 || runs != 1 {
		t.Fatalf("the copy got status %d, and the call ran %d times; want an error and once", status, runs)
	}
	later := connectToAny(t, next)
	n.signalAndWait(t, syscall.SIGCONT, "RSD")
	next.waitForLog(t, "predecessor answers after all")
	n.waitForLog(t, "successor takes clients")
	finish()
	<-answer
	if status := <-sendBook(later, id+"-next"); status != 200 {
		t.Errorf("once the predecessor goes on, a call got status %d, want 200", status)
	}
	n.shutdown(t)
	next.shutdown(t)
}

// connectToAny returns a connection that a running process has accepted. Another one, which is stopped, shares the
// address, and some connections wait in its queue.
func connectToAny(t *testing.T, n *process) net.Conn {
	t.Helper()
	for range 100 {
		conn, err := net.Dial("tcp", n.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		fmt.Fprint(conn, "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
		conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			conn.SetReadDeadline(time.Time{})
			return conn
		}
	}
	t.Fatal("no connection was accepted")
	return nil
}

// launchBehindEarlierBuild launches a process whose predecessor, played by the test, is of an earlier build. It returns
// the predecessor's end of the link and its listener for clients.
func (n *process) launchBehindEarlierBuild(t *testing.T) (*handover.Link, net.Listener) {
	t.Helper()
	clients, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { clients.Close() })
	n.env[1] = "ROUTER_LISTEN=" + clients.Addr().String()
	listener, err := handover.Listen(filepath.Join(n.env[4][len("TMPDIR="):], "olivebridge-n0.sock"))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	linked := make(chan *handover.Link, 1)
	go func() {
		link, err := listener.Accept()
		if err != nil {
			return
		}
		link.Send(handover.Message{Kind: handover.KindListener, ListVersion: 1}, clients.(*net.TCPListener))
		ready, _, _ := link.Receive()
		link.Send(handover.Message{Kind: handover.KindResult, RequestNumber: ready.RequestNumber}, nil)
		linked <- link
	}()
	n.launch(t)
	return <-linked, clients
}

// TestPredecessorOfEarlierBuild guards against calls that run twice, or wait without a bound, behind a predecessor that
// does not know which calls are open elsewhere: until it ends, a call that must not run twice fails.
func TestPredecessorOfEarlierBuild(t *testing.T) {
	t.Setenv("ROUTER_ADMIN", freeAddr(t))
	s := newRuleChecker()
	next := prepare(t, config, unchangedList, s.recordingHandler("s-0", respondOK))
	link, _ := next.launchBehindEarlierBuild(t)
	if status, _ := s.call(t, next.addr, "status", nil); status != 200 {
		t.Errorf("a call that may run twice got status %d, want 200", status)
	}
	if status, _ := s.call(t, next.addr, "book", nil); status != http.StatusBadGateway {
		t.Errorf("a call that must not run twice got status %d, want 502", status)
	}
	link.Close()
	next.waitForLog(t, "other process has ended")
	if status, _ := s.call(t, next.addr, "book", nil); status != 200 {
		t.Errorf("after the end of the predecessor: got status %d, want 200", status)
	}
	next.shutdown(t)
	s.check(t)
}

// TestConnectionWithoutRoom guards against messages of the predecessor that wait behind a connection for which the
// successor has no room: operators' commands, and answers to claims, without which calls fail.
func TestConnectionWithoutRoom(t *testing.T) {
	t.Setenv("ROUTER_ADMIN", freeAddr(t))
	n := prepare(t, config, unchangedList, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	n.replaceInConfig(t, `"sockets":256`, `"sockets":64`)
	link, clients := n.launchBehindEarlierBuild(t)
	for i := range 40 { // more than the process has room for
		conn, err := net.Dial("tcp", n.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprint(conn, "GET /api HTTP/1.1\r\nHost: a\r\n")
		if i < 8 {
			fmt.Fprintf(conn, "X-Call-Id: r-%d\r\nX-Call-Class: status\r\nX-Caller: acme\r\nX-Budget: 8\r\n\r\n",
				lastCallID.Add(1))
		}
	}
	time.Sleep(200 * time.Millisecond) // until the process has accepted what it has room for
	for range 4 {                      // the first one waits for room, the others for those before them
		handed, err := net.Dial("tcp", clients.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer handed.Close()
		if err := link.Send(handover.Message{Kind: handover.KindConnection}, handed.(*net.TCPConn)); err != nil {
			t.Fatal(err)
		}
	}
	received := make(chan handover.Message, 1)
	go func() {
		if m, _, err := link.Receive(); err == nil {
			received <- m
		}
	}()
	link.Send(handover.Message{Kind: handover.KindCommand, RequestNumber: 1, Command: "PAUSE"}, nil)
	select {
	case m := <-received:
		if m.Kind != handover.KindResult || m.Error != "" {
			t.Errorf("got %+v, want the result of the command", m)
		}
	case <-time.After(600 * time.Millisecond):
		t.Error("no result within the 600 ms that a process waits for it")
	}
}
