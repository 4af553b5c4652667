package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestNothingLostAtShutdown: clients go on through a graceful shutdown until they cannot connect. What ran was
// answered, each once: a client whose connection closed under its request may send it again.
func TestNothingLostAtShutdown(t *testing.T) {
	var ran, answered atomic.Int64
	n := start(t, unchanged, func(http.ResponseWriter, *http.Request) { ran.Add(1) })
	var clients sync.WaitGroup
	serving := make(chan bool, 4)
	for range cap(serving) {
		clients.Go(func() {
			client := http.Client{Transport: &http.Transport{}}
			for i := range 20000 {
				req, err := http.NewRequest("POST", "http://"+n.addr+"/api", strings.NewReader("paid"))
				if err != nil {
					t.Error(err)
					return
				}
				req.Header = callHeader(fmt.Sprint(ids.Add(1)), "book", "1.5")
				resp, err := client.Do(req)
				if errors.Is(err, syscall.ECONNREFUSED) {
					return
				}
				if err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					if resp.StatusCode == 200 {
						answered.Add(1)
					}
				}
				if i == 0 {
					serving <- true
				}
			}
		})
	}
	for range cap(serving) {
		<-serving
	}
	n.cmd.Process.Signal(syscall.SIGTERM)
	clients.Wait()
	n.waitForLog(t, "when=exit")
	if ran.Load() == 0 || ran.Load() != answered.Load() {
		t.Errorf("%d ran, %d were answered", ran.Load(), answered.Load())
	}
}

// TestShutdownBesideOtherEvents: SIGTERM while something else goes on. Open requests are answered, and the process
// ends.
func TestShutdownBesideOtherEvents(t *testing.T) {
	for name, before := range map[string]func(t *testing.T, n *process, adminAddr string){
		"alone":          func(*testing.T, *process, string) {},
		"twice":          func(_ *testing.T, n *process, _ string) { n.cmd.Process.Signal(syscall.SIGTERM) },
		"paused":         func(t *testing.T, _ *process, adminAddr string) { mustCommand(t, adminAddr, "PAUSE") },
		"before a pause": func(*testing.T, *process, string) {},
		"with a reload":  func(_ *testing.T, n *process, _ string) { n.cmd.Process.Signal(syscall.SIGHUP) },
		"with a bad one": func(t *testing.T, n *process, _ string) {
			n.reloadWith(t, `"seed"`, `"weed"`)
			n.waitForLog(t, "reload refused")
		},
		"with reloads in a row": func(_ *testing.T, n *process, _ string) {
			for range 20 {
				n.cmd.Process.Signal(syscall.SIGHUP)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, held, release := newRuleChecker(), make(chan bool), make(chan bool)
			n := prepare(t, config, unchanged, s.server("s-0", func(http.ResponseWriter, *http.Request) {
				held <- true
				<-release
			}))
			adminAddr := freeAddr(t)
			n.env = append(n.env, "ROUTER_ADMIN="+adminAddr)
			n.launch(t)
			status := make(chan int)
			go func() {
				got, _ := s.call(t, n.addr, "book", strings.NewReader("paid"))
				status <- got
			}()
			<-held
			before(t, n, adminAddr)
			n.cmd.Process.Signal(syscall.SIGTERM)
			n.waitForLog(t, "msg=draining")
			if name == "before a pause" {
				mustCommand(t, adminAddr, "PAUSE")
				mustCommand(t, adminAddr, "RESUME")
			}
			close(release)
			if got := <-status; got != 200 {
				t.Errorf("the open booking: %d", got)
			}
			n.waitForLog(t, "when=exit")
			for range n.lines {
			}
			if err := n.cmd.Wait(); err != nil {
				t.Errorf("exit: %v", err)
			}
			s.check(t)
		})
	}
}

// TestLongResponseDuringShutdown: a response that goes on coming while its node shuts down gracefully comes whole.
func TestLongResponseDuringShutdown(t *testing.T) {
	t.Parallel()
	const pieces, piece = 12, 100 << 10
	brief := strings.Replace(config, `"deadline":9000000000`, `"deadline":300000000`, 1) // the longest is 1.5 s
	n := startWithConfig(t, brief, unchanged, func(w http.ResponseWriter, r *http.Request) {
		for range pieces {
			w.Write(make([]byte, piece))
			w.(http.Flusher).Flush()
			time.Sleep(500 * time.Millisecond) // 6 s in all
		}
	})
	req, err := http.NewRequest("GET", "http://"+n.addr+"/api", nil)
	if err != nil {
		t.Fatal(err)
	}
	status, body := n.send(t, req, "status")
	defer body.Close()
	n.cmd.Process.Signal(syscall.SIGTERM)
	got, err := io.Copy(io.Discard, body)
	switch {
	case status != 200 || err == nil && got != pieces*piece:
		t.Errorf("status %d, %d bytes that seem whole", status, got) // its client has to be able to tell
	case err != nil:
		t.Errorf("a graceful shutdown cuts what takes longer than any call may (finding 17): %v", err)
	}
}

// TestClosedListener: a node whose listener ends by itself answers open requests, and then exits with the reason.
func TestClosedListener(t *testing.T) {
	s, held, release := newRuleChecker(), make(chan bool), make(chan bool)
	n := start(t, unchanged, s.server("s-0", func(http.ResponseWriter, *http.Request) {
		held <- true
		<-release
	}))
	status := make(chan int)
	go func() {
		got, _ := s.call(t, n.addr, "book", strings.NewReader("paid"))
		status <- got
	}()
	<-held
	if err := n.closeListener(); err != nil {
		t.Skip("no way to the program's listener here: ", err)
	}
	n.waitForLog(t, "msg=failed")
	close(release)
	if got := <-status; got != 200 {
		t.Errorf("what was taken: status %d", got)
	}
	n.waitForLog(t, "when=failure")
	if line := n.waitForLog(t, "olivebridge: "); !strings.Contains(line, "front: accept") {
		t.Error(line)
	}
	if err := n.cmd.Wait(); err == nil {
		t.Error("it ended as if all were well")
	}
	s.check(t)
}

// closeListener ends the listener of a running program, as a fault of the kernel's would.
func (n *process) closeListener() error {
	const pidfdOpen, pidfdGetfd = 434, 438 // which package syscall lacks
	pid, _, no := syscall.Syscall(pidfdOpen, uintptr(n.cmd.Process.Pid), 0, 0)
	if no != 0 {
		return no
	}
	defer syscall.Close(int(pid))
	for fd := range uintptr(64) {
		got, _, no := syscall.Syscall(pidfdGetfd, pid, fd, 0)
		if no == syscall.EBADF {
			continue
		} else if no != 0 {
			return no
		}
		accepts, err := syscall.GetsockoptInt(int(got), syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
		if err == nil && accepts == 1 {
			err = syscall.Shutdown(int(got), syscall.SHUT_RDWR)
			return errors.Join(err, syscall.Close(int(got)))
		}
		syscall.Close(int(got))
	}
	return errors.New("no listener among its descriptors")
}
