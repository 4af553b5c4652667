package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"
)

// drainGrace is how long after a drain was announced something new may still come, the rules' slack included.
const drainGrace = 2550 * time.Millisecond

// timingTolerance is what a busy machine may add to an answer's time, beyond the rules' 50 ms. The lab holds nodes to
// those, on a virtual clock.
const timingTolerance = 400 * time.Millisecond

// ruleChecker records what clients and servers see of a node, and holds the node to the four rules at the end.
type ruleChecker struct {
	mu       sync.Mutex
	requests map[string]*requestRecord
	received map[string]int       // requests at servers, by their names
	drained  map[string]time.Time // since when servers are listed as draining
	late     []string             // servers that got something past the grace
	killed   bool                 // a node was killed: what it has not answered is nobody's fault
}

// requestRecord is what is known of one request.
type requestRecord struct {
	class      string
	received   int // whole, at any server
	mayHaveRun int // of these, what no server rejected
	status     int // 0: there is no answer yet
	took       time.Duration
	timeout    time.Duration
	abandoned  bool // its client did not wait, or its node was killed
}

func newRuleChecker() *ruleChecker {
	return &ruleChecker{
		requests: map[string]*requestRecord{},
		received: map[string]int{},
		drained:  map[string]time.Time{},
	}
}

// server records what comes to a server that answers by serve.
func (s *ruleChecker) server(name string, serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		whole := err == nil
		s.mu.Lock()
		s.received[name]++
		if at, leaves := s.drained[name]; leaves && time.Since(at) > drainGrace {
			s.late = append(s.late, name)
		}
		a := s.request(r.Header.Get("X-Call-Id"))
		if whole {
			a.received++
			a.mayHaveRun++
		}
		s.mu.Unlock()
		serve(w, r)
		if whole && w.Header().Get("X-Rejected") != "" {
			s.mu.Lock()
			a.mayHaveRun--
			s.mu.Unlock()
		}
	}
}

// request returns the record of an id. The lock is held.
func (s *ruleChecker) request(id string) *requestRecord {
	if s.requests[id] == nil {
		s.requests[id] = &requestRecord{}
	}
	return s.requests[id]
}

// reject answers that a request will not run.
func reject(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Rejected", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func respondOK(http.ResponseWriter, *http.Request) {}

// dropConnection ends the connection under a request that may have run.
func dropConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// rawResponse answers with bytes, whatever they are, and ends the connection.
func rawResponse(answer string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		io.WriteString(conn, answer)
	}
}

// killedNodeSettles is how long a client waits before it asks whether a server has received a request that a killed
// node may have sent. It guards against a request that stands in the server's socket, is taken for unreceived and sent
// again.
const killedNodeSettles = 100 * time.Millisecond

// nodeKilled reports whether a node was killed under its clients.
func (s *ruleChecker) nodeKilled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killed
}

// call sends a request of a class and waits for its answer.
func (s *ruleChecker) call(t *testing.T, addr, class string, body io.Reader) (status int, retryAfter string) {
	t.Helper()
	method, timeout := http.MethodPost, 1500*time.Millisecond
	if class == "status" {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, "http://"+addr+"/api", body)
	if err != nil {
		t.Fatal(err)
	}
	id := fmt.Sprint("d-", ids.Add(1))
	req.Header = callHeader(id, class, fmt.Sprint(timeout.Seconds()))
	begun := time.Now()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil && s.nodeKilled() {
		time.Sleep(killedNodeSettles)
	}
	if err != nil && body == nil && s.notReceived(id) { // closed before it was read: clients send it once more
		resp, err = client.Do(req)
	}
	took := time.Since(begun)
	if err == nil {
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		status, retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.request(id)
	a.class = class
	a.status = status
	a.took = took
	a.timeout = timeout
	a.abandoned = s.killed && status == 0
	return status, retryAfter
}

// notReceived reports whether nothing of a request has come to any server.
func (s *ruleChecker) notReceived(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.request(id).received == 0
}

// check checks the four rules, at the end of a test.
func (s *ruleChecker) check(t *testing.T, cold ...string) {
	t.Helper()
	for _, broken := range s.violations(cold...) {
		t.Error(broken)
	}
}

func (s *ruleChecker) violations(cold ...string) (all []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	breaks := func(format string, args ...any) { all = append(all, fmt.Sprintf(format, args...)) }
	total := 0
	for id, a := range s.requests {
		if a.class == "" { // a health check
			continue
		}
		total++
		if a.status == 0 && !a.abandoned {
			breaks("lost: %s (%s) has no answer", id, a.class)
		}
		if a.took > a.timeout+50*time.Millisecond+timingTolerance && !a.abandoned {
			breaks("late: %s (%s) was answered after %v of %v", id, a.class, a.took, a.timeout)
		}
		refused := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
		if a.class == "book" && (a.mayHaveRun > 1 || a.mayHaveRun == 1 && refused) {
			breaks("effect: %s may have run %d times, status %d", id, a.mayHaveRun, a.status)
		}
	}
	for _, name := range s.late {
		breaks("drain: something new came to %s past its grace", name)
	}
	for _, name := range cold { // one that has just started: it may carry a fifth of what its like do
		if n := s.received[name]; n > 2+total/2 {
			breaks("cold: %d of %d came to %s", n, total, name)
		}
	}
	return all
}

// TestRuleCheckerFindsViolations: a planted violation of each rule is found, and nothing else.
func TestRuleCheckerFindsViolations(t *testing.T) {
	sound := requestRecord{
		class: "book", received: 1, mayHaveRun: 1, status: 200, timeout: time.Second, took: time.Millisecond}
	for want, plant := range map[string]func(*ruleChecker, *requestRecord){
		"":       func(*ruleChecker, *requestRecord) {},
		"lost":   func(_ *ruleChecker, a *requestRecord) { a.status = 0 },
		"late":   func(_ *ruleChecker, a *requestRecord) { a.took = 2 * time.Second },
		"effect": func(_ *ruleChecker, a *requestRecord) { a.mayHaveRun = 2 },
		"drain":  func(s *ruleChecker, _ *requestRecord) { s.late = []string{"s-0"} },
		"cold":   func(s *ruleChecker, _ *requestRecord) { s.received["s-1"] = 9 },
	} {
		s, a := newRuleChecker(), sound
		s.requests["1"] = &a
		plant(s, &a)
		if got := s.violations("s-1"); (want == "") != (len(got) == 0) || want != "" && got[0][:len(want)] != want {
			t.Errorf("planted %q: found %q", want, got)
		}
	}
}

// load has clients send requests until stop is called, which waits for their last answers.
func (s *ruleChecker) load(t *testing.T, addr string, clients int) (stop func()) {
	over := make(chan bool)
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			for j := i; ; j++ {
				select {
				case <-over:
					return
				default:
					s.call(t, addr, []string{"status", "book"}[j%2], nil)
				}
			}
		})
	}
	return func() {
		close(over)
		all.Wait()
	}
}

// answers counts the answers of a status.
func (s *ruleChecker) answers(status int) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.requests {
		if a.class != "" && a.status == status {
			n++
		}
	}
	return n
}
