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

// TestNothingLostAtShutdown has clients send requests during a graceful shutdown until they cannot connect. The number
// of requests that ran must equal the number answered with 200: a client resends a request if the connection closes
// before its response, so a request that ran unanswered would run twice.
func TestNothingLostAtShutdown(t *testing.T) {
	var ran, answered atomic.Int64
	n := start(t, unchangedList, func(http.ResponseWriter, *http.Request) { ran.Add(1) })
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
				req.Header = callHeader(fmt.Sprint(lastCallID.Add(1)), "book", "1.5")
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
	n.waitForLog(t, "when=exit") // reads the log meanwhile: the node drops lines if its reader falls far behind
	clients.Wait()
	if ran.Load() == 0 || ran.Load() != answered.Load() {
		t.Errorf("%d requests ran and %d were answered with 200, want equal numbers above 0", ran.Load(), answered.Load())
	}
}

// TestShutdownDuringOtherEvents sends SIGTERM together with another event. The open request must be answered and the
// process must exit.
func TestShutdownDuringOtherEvents(t *testing.T) {
	for name, before := range map[string]func(t *testing.T, n *process, adminAddr string){
		"alone":          func(*testing.T, *process, string) {},
		"twice":          func(_ *testing.T, n *process, _ string) { n.cmd.Process.Signal(syscall.SIGTERM) },
		"paused":         func(t *testing.T, _ *process, adminAddr string) { mustCommand(t, adminAddr, "PAUSE") },
		"before a pause": func(*testing.T, *process, string) {},
		"with a reload":  func(_ *testing.T, n *process, _ string) { n.cmd.Process.Signal(syscall.SIGHUP) },
		"with an invalid reload": func(t *testing.T, n *process, _ string) {
			n.reloadWith(t, `"seed"`, `"weed"`)
			n.waitForLog(t, "reload refused")
		},
		"with 20 reloads": func(_ *testing.T, n *process, _ string) {
			for range 20 {
				n.cmd.Process.Signal(syscall.SIGHUP)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, held, release := newRuleChecker(), make(chan bool), make(chan bool)
			n := prepare(t, config, unchangedList, s.recordingHandler("s-0", func(http.ResponseWriter, *http.Request) {
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
				t.Errorf("open request: got status %d, want 200", got)
			}
			n.waitForLog(t, "when=exit")
			for range n.lines {
			}
			if err := n.cmd.Wait(); err != nil {
				t.Errorf("process did not exit with code 0: %v", err)
			}
			s.check(t)
		})
	}
}

// TestLongResponseDuringShutdown sends a response that takes longer than a graceful shutdown of its node. The client
// must receive it completely; where the shutdown cuts it, the client must be able to detect that.
func TestLongResponseDuringShutdown(t *testing.T) {
	t.Parallel()
	const pieceCount, pieceBytes = 12, 100 << 10
	// The longest deadline is then 1.5 s.
	shortDeadlines := strings.Replace(config, `"deadline":9000000000`, `"deadline":300000000`, 1)
	n := startWithConfig(t, shortDeadlines, unchangedList, func(w http.ResponseWriter, r *http.Request) {
		for range pieceCount {
			w.Write(make([]byte, pieceBytes))
			w.(http.Flusher).Flush()
			time.Sleep(500 * time.Millisecond) // the response takes 6 s
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
	case status != 200 || err == nil && got != pieceCount*pieceBytes:
		// The client must be able to detect a response that was cut.
		t.Errorf("got status %d and %d bytes without an error, want 200 and the complete response", status, got)
	case err != nil:
		t.Errorf("the graceful shutdown cut a response that takes longer than the longest deadline (finding 17): %v", err)
	}
}

// TestClosedListener checks that a node whose listener fails answers open requests, then logs the reason and exits with
// an error.
func TestClosedListener(t *testing.T) {
	s, held, release := newRuleChecker(), make(chan bool), make(chan bool)
	n := start(t, unchangedList, s.recordingHandler("s-0", func(http.ResponseWriter, *http.Request) {
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
		t.Skip("cannot close the program's listener on this system: ", err)
	}
	n.waitForLog(t, "msg=failed")
	close(release)
	if got := <-status; got != 200 {
		t.Errorf("open request: got status %d, want 200", got)
	}
	n.waitForLog(t, "when=failure")
	if line := n.waitForLog(t, "olivebridge: "); !strings.Contains(line, "front: accept") {
		t.Error(line)
	}
	if err := n.cmd.Wait(); err == nil {
		t.Error("the process exited with code 0, want a failure")
	}
	s.check(t)
}

// closeListener shuts down the listening socket of a running program from outside, which simulates a fault of the
// kernel.
func (n *process) closeListener() error {
	const pidfdOpen, pidfdGetfd = 434, 438 // system call numbers that package syscall does not define
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
	return errors.New("the process has no listening socket among its descriptors")
}
