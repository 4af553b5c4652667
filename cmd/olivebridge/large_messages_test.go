package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// randomBody is a body of n bytes that depends on a seed.
func randomBody(seed, n int64) io.Reader { return io.LimitReader(rand.New(rand.NewSource(seed)), n) }

func checksum(r io.Reader) (string, error) {
	h := sha256.New()
	_, err := io.Copy(h, r)
	return fmt.Sprintf("%x", h.Sum(nil)), err
}

// unknownLength hides what a reader can do beyond reading: its length is not announced.
type unknownLength struct{ io.Reader }

// TestLargeMessages: bodies and responses that together exceed the node's memory many times come through whole, both
// ways, with a length and in chunks.
func TestLargeMessages(t *testing.T) {
	const each, calls = 24 << 20, 12 // 288 MB each way, at 64 MB of memory
	n := startWithConfig(t, strings.Replace(config, `"memory_mb":192`, `"memory_mb":64`, 1), unchanged,
		func(w http.ResponseWriter, r *http.Request) {
			if r.Method == "POST" {
				got, err := checksum(r.Body)
				fmt.Fprint(w, got, err)
				return
			}
			seed, _ := strconv.ParseInt(r.URL.Query().Get("seed"), 10, 64)
			if seed%2 == 0 {
				w.Header().Set("Content-Length", strconv.Itoa(each))
			}
			io.Copy(w, randomBody(seed, each))
		})
	var all sync.WaitGroup
	for i := range int64(calls) {
		want, _ := checksum(randomBody(i, each))
		all.Go(func() {
			body := randomBody(i, each)
			req, _ := http.NewRequest("POST", "http://"+n.addr+"/api", unknownLength{body})
			if i%2 == 0 {
				req.ContentLength = each
			}
			if i%3 == 0 {
				req.Header.Set("Expect", "100-continue")
			}
			status, got := n.send(t, req, "book")
			if data, _ := io.ReadAll(got); status != 200 || string(data) != want+"<nil>" {
				t.Errorf("body %d: status %d, %.80q", i, status, data)
			}
			got.Close()
			req, _ = http.NewRequest("GET", fmt.Sprintf("http://%s/api?seed=%d", n.addr, i), nil)
			status, got = n.send(t, req, "status")
			if have, err := checksum(got); status != 200 || have != want || err != nil {
				t.Errorf("answer %d: status %d, %v", i, status, err)
			}
			got.Close()
		})
	}
	all.Wait()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		t.Skip("no /proc to read the peak of memory from")
	}
	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	kb, _ := strconv.Atoi(strings.Fields(peak)[0])
	t.Logf("peak memory %d MB", kb>>10)
	if !raceEnabled && kb > 64<<10 {
		t.Errorf("peak memory %d kB", kb)
	}
}

// TestSlowBody: a body that keeps coming for longer than any timeout is served; one that stops is found out within 3 s,
// and its server is let go.
func TestSlowBody(t *testing.T) {
	ended := make(chan error, 2)
	n := start(t, unchanged, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		ended <- err
	})
	out, in := io.Pipe()
	go func() {
		for range 50 { // 250 kB in 3 s
			in.Write(make([]byte, 5<<10))
			time.Sleep(60 * time.Millisecond)
		}
		in.Close()
	}()
	req, _ := http.NewRequest("POST", "http://"+n.addr+"/api", out)
	status, body := n.send(t, req, "book")
	if body.Close(); status != 200 || <-ended != nil {
		t.Errorf("a slow body: status %d", status)
	}
	out, in = io.Pipe()
	defer in.Close()
	go in.Write(make([]byte, 70<<10))
	req, _ = http.NewRequest("POST", "http://"+n.addr+"/api", out)
	req.ContentLength = 1 << 20
	begun := time.Now()
	status, body = n.send(t, req, "book")
	if d := time.Since(begun); status != 400 || d > 6*time.Second || <-ended == nil {
		t.Errorf("a body that stops: status %d after %v", status, d)
	}
	body.Close()
}

// TestServerSilentDuringUpload: a server that stops reading a long body in its middle does not hold the request for
// ever. Its last byte never left, so that it never ran, and its client, which still writes, gets a Retry-After.
func TestServerSilentDuringUpload(t *testing.T) {
	if testing.Short() {
		t.Skip("it waits for 30 s")
	}
	t.Parallel()
	s, release := newRuleChecker(), make(chan bool)
	n := start(t, unchanged, func(w http.ResponseWriter, r *http.Request) { <-release })
	defer close(release)
	begun := time.Now()
	status, after := s.call(t, n.addr, "book", io.LimitReader(zeros{}, 30<<20))
	if d := time.Since(begun); status != 503 || after == "" || d > 40*time.Second {
		t.Errorf("status %d, to come again after %q s, in %v", status, after, d)
	}
	n.cmd.Process.Signal(syscall.SIGTERM)
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }
