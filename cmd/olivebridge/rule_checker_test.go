package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"
)

// drainGrace is the duration after the announcement of a drain in which a server may still receive new attempts. It
// includes the 50 ms of slack that the rules allow.
const drainGrace = 2550 * time.Millisecond

// timingTolerance is the delay that a busy machine may add to a response, beyond the 50 ms of slack that the rules
// allow. The lab checks nodes against 50 ms alone, on a virtual clock.
const timingTolerance = 400 * time.Millisecond

// ruleChecker records the requests that clients send to a node and those that servers receive, and checks the four
// rules at the end of a test.
type ruleChecker struct {
	mu             sync.Mutex
	requests       map[string]*requestRecord
	received       map[string]int       // the number of requests that each server received, by name
	drainingSince  map[string]time.Time // when a server was first listed as draining, by name
	sentAfterGrace []string             // names of servers that received a request after drainGrace
	killed         bool                 // a node was killed: requests without an answer are no violation
}

// requestRecord records one request of a client and its attempts.
type requestRecord struct {
	class      string
	received   int // the number of attempts that servers received completely
	mayHaveRun int // the number of those that were not rejected
	status     int // status of the response; 0: none yet
	duration   time.Duration
	timeout    time.Duration
	abandoned  bool // a node was killed before it answered
}

func newRuleChecker() *ruleChecker {
	return &ruleChecker{
		requests:      map[string]*requestRecord{},
		received:      map[string]int{},
		drainingSince: map[string]time.Time{},
	}
}

// recordingHandler returns a handler that records the requests to the named server and answers them with serve.
func (s *ruleChecker) recordingHandler(name string, serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		whole := err == nil
		s.mu.Lock()
		s.received[name]++
		if at, leaves := s.drainingSince[name]; leaves && time.Since(at) > drainGrace {
			s.sentAfterGrace = append(s.sentAfterGrace, name)
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

// request returns the record of a call ID and creates it if necessary. The caller holds s.mu.
func (s *ruleChecker) request(id string) *requestRecord {
	if s.requests[id] == nil {
		s.requests[id] = &requestRecord{}
	}
	return s.requests[id]
}

// reject is a handler that answers that the request has not run and will not run.
func reject(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Rejected", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// respondOK is a handler that answers with status 200 and no body.
func respondOK(http.ResponseWriter, *http.Request) {}

// dropConnection is a handler that closes the connection without an answer, so that the request may have run.
func dropConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// rawResponse returns a handler that writes answer to the connection without changes and closes it.
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

// killedNodeSettleTime is the duration for which a client waits before it checks whether a server received a request
// that a killed node may have sent. Without the wait, a request that is still in the server's socket buffer would count
// as not received and be sent again.
const killedNodeSettleTime = 100 * time.Millisecond

// nodeKilled reports whether the test has killed a node while clients used it.
func (s *ruleChecker) nodeKilled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killed
}

// call sends a request with a timeout of 1.5 s, waits for its response and records both. status is 0 if there was no
// response.
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
	id := fmt.Sprint("d-", lastCallID.Add(1))
	req.Header = callHeader(id, class, fmt.Sprint(timeout.Seconds()))
	begun := time.Now()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil && s.nodeKilled() {
		time.Sleep(killedNodeSettleTime)
	}
	// A client may resend a request whose connection was closed before the node read it.
	if err != nil && body == nil && s.notReceived(id) {
		resp, err = client.Do(req)
	}
	duration := time.Since(begun)
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
	a.duration = duration
	a.timeout = timeout
	a.abandoned = s.killed && status == 0
	return status, retryAfter
}

// notReceived reports whether no server has completely received the request.
func (s *ruleChecker) notReceived(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.request(id).received == 0
}

// check reports violations of the four rules as test errors. It is called at the end of a test, with the names of the
// servers in slow start.
func (s *ruleChecker) check(t *testing.T, cold ...string) {
	t.Helper()
	for _, broken := range s.violations(cold...) {
		t.Error(broken)
	}
}

// violations returns a line for each violation of a rule, beginning with the rule's name.
func (s *ruleChecker) violations(cold ...string) (found []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	total := 0
	for id, a := range s.requests {
		if a.class == "" { // a health check
			continue
		}
		total++
		if a.status == 0 && !a.abandoned {
			report("lost: request %s (%s) has no answer", id, a.class)
		}
		if a.duration > a.timeout+50*time.Millisecond+timingTolerance && !a.abandoned {
			report("late: request %s (%s) was answered after %v, its timeout is %v", id, a.class, a.duration, a.timeout)
		}
		rejected := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
		if a.class == "book" && (a.mayHaveRun > 1 || a.mayHaveRun == 1 && rejected) {
			report("effect: request %s may have run %d times and got status %d", id, a.mayHaveRun, a.status)
		}
	}
	for _, name := range s.sentAfterGrace {
		report("drain: server %s received a request after its drain grace period", name)
	}
	for _, name := range cold { // a server in slow start may receive a fifth of the load of a warm one
		if n := s.received[name]; n > 2+total/2 {
			report("cold: %d of %d requests were sent to %s, which is in slow start", n, total, name)
		}
	}
	return found
}

// TestRuleCheckerFindsViolations checks that the checker finds a planted violation of each rule, and none in records
// without one.
func TestRuleCheckerFindsViolations(t *testing.T) {
	validRecord := requestRecord{
		class: "book", received: 1, mayHaveRun: 1, status: 200, timeout: time.Second, duration: time.Millisecond}
	for want, plant := range map[string]func(*ruleChecker, *requestRecord){
		"":       func(*ruleChecker, *requestRecord) {},
		"lost":   func(_ *ruleChecker, a *requestRecord) { a.status = 0 },
		"late":   func(_ *ruleChecker, a *requestRecord) { a.duration = 2 * time.Second },
		"effect": func(_ *ruleChecker, a *requestRecord) { a.mayHaveRun = 2 },
		"drain":  func(s *ruleChecker, _ *requestRecord) { s.sentAfterGrace = []string{"s-0"} },
		"cold":   func(s *ruleChecker, _ *requestRecord) { s.received["s-1"] = 9 },
	} {
		s, a := newRuleChecker(), validRecord
		s.requests["1"] = &a
		plant(s, &a)
		if got := s.violations("s-1"); (want == "") != (len(got) == 0) || want != "" && got[0][:len(want)] != want {
			t.Errorf("planted violation %q: got %q", want, got)
		}
	}
}

// startLoad starts clients that send requests until stop is called. stop waits for their last responses.
func (s *ruleChecker) startLoad(t *testing.T, addr string, clients int) (stop func()) {
	done := make(chan bool)
	var workers sync.WaitGroup
	for i := range clients {
		workers.Go(func() {
			for j := i; ; j++ {
				select {
				case <-done:
					return
				default:
					s.call(t, addr, []string{"status", "book"}[j%2], nil)
				}
			}
		})
	}
	return func() {
		close(done)
		workers.Wait()
	}
}

// responseCount returns the number of requests that were answered with a status.
func (s *ruleChecker) responseCount(status int) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.requests {
		if a.class != "" && a.status == status {
			n++
		}
	}
	return n
}
