package callstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"olivebridge/internal/fleet/raftlog"
)

// fakeVoter is a voter at the other end of the streams that its dial method opens.
type fakeVoter struct {
	respond  func(request) (response, bool) // false: no response
	received atomic.Int64                   // number of requests
	conns    []net.Conn
}

// dial opens a stream on which the requests are handled one after the other. It reads them at once, because a pipe has
// no buffer.
func (v *fakeVoter) dial() (net.Conn, error) {
	near, far := net.Pipe()
	v.conns = append(v.conns, near, far)
	received := make(chan request, 1000)
	go func() {
		defer close(received)
		for requests := json.NewDecoder(far); ; {
			var r request
			if requests.Decode(&r) != nil {
				return
			}
			v.received.Add(1)
			received <- r
		}
	}()
	go func() {
		responses := json.NewEncoder(far)
		for r := range received {
			if resp, ok := v.respond(r); ok {
				resp.Number = r.Number
				_ = responses.Encode(resp)
			}
		}
	}()
	return near, nil
}

func (v *fakeVoter) close() {
	for _, conn := range v.conns {
		conn.Close()
	}
}

// newTestService returns a service of a node that is no voter, with one fake voter.
func newTestService(voter *fakeVoter) *Service {
	s := New(Config{
		Name:   "n9",
		Voters: raftlog.VoterSet{Edition: 1, Names: []string{"n1"}},
		Dial:   func(string, byte, time.Duration) (net.Conn, error) { return voter.dial() },
	})
	s.client.start()
	return s
}

// TestSlowLeaderIsAwaited: a leader that responds slowly, to one request after the other, is waited for. A request that
// was given up and sent again made it slower still, until no request succeeded.
func TestSlowLeaderIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 5
		voter := &fakeVoter{respond: func(request) (response, bool) {
			time.Sleep(endTimeout / (requests + 1))
			return response{EndAccepted: true}, true
		}}
		defer voter.close()
		c := newTestService(voter).client
		if _, err := c.sendToLeader(t.Context(), request{End: &EndRequest{}}, endTimeout); err != nil {
			t.Fatal(err)
		}
		var all sync.WaitGroup
		for i := range requests {
			all.Go(func() {
				if _, err := c.sendToLeader(t.Context(), request{End: &EndRequest{}}, endTimeout); err != nil {
					t.Errorf("request %d: %v", i, err)
				}
			})
		}
		all.Wait()
		if got := voter.received.Load(); got != requests+1 {
			t.Errorf("the leader received %d requests, want %d", got, requests+1)
		}
	})
}

// TestUncommittedBeginsAreNotReported: a Begin that was certainly not committed needs no report that the call is free.
// After an outage such reports kept the leader busy for seconds. A voter that is silent receives few Begins, because it
// may still process each of them.
func TestUncommittedBeginsAreNotReported(t *testing.T) {
	refuse := func(refusal response) func(request) (response, bool) {
		return func(request) (response, bool) { return refusal, true }
	}
	const begins, mostAttempts = 20, 20 * int64(beginTimeout/retryInterval)
	for name, c := range map[string]struct {
		respond      func(request) (response, bool)
		pending      bool
		mostReceived int64
	}{
		"not proposed":   {refuse(response{Refusal: "x", NotProposed: true}), false, mostAttempts},
		"maybe proposed": {refuse(response{Refusal: "x"}), true, mostAttempts},
		"silent":         {func(request) (response, bool) { return response{}, false }, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				voter := &fakeVoter{respond: c.respond}
				defer voter.close()
				s := newTestService(voter)
				var all sync.WaitGroup
				for i := range begins {
					all.Go(func() {
						owner := Owner{Name: "n9", Incarnation: "h/1", Call: uint64(i)}
						_, err := s.Begin(t.Context(), BeginRequest{Key: fmt.Sprint(i), Owner: owner})
						if !errors.Is(err, ErrNoLeader) {
							t.Errorf("Begin: got error %v, want ErrNoLeader", err)
						}
					})
				}
				all.Wait()
				if got := s.pendingReports.Load(); (got > 0) != c.pending || got > c.mostReceived {
					t.Errorf("%d reports are pending, want some: %v, and at most %d", got, c.pending, c.mostReceived)
				}
				if got := voter.received.Load(); got == 0 || got > c.mostReceived {
					t.Errorf("the voter received %d requests, want 1 to %d", got, c.mostReceived)
				}
				time.Sleep(reportBackoff + time.Millisecond) // the reports end: their incarnation is not the service's
			})
		})
	}
}

// TestWaitForReports: a process that ends waits for its pending reports, but not for longer than the timeout. Calls
// whose reports were lost answered "running" for seconds.
func TestWaitForReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reachable := atomic.Bool{}
		voter := &fakeVoter{respond: func(request) (response, bool) { return response{}, reachable.Load() }}
		defer voter.close()
		s := newTestService(voter)
		s.incarnation = "h/1"
		s.reportInBackground(EndRequest{Key: "k", Owner: Owner{Name: "n9", Incarnation: s.incarnation}, State: Free})
		begun := time.Now()
		s.WaitForReports(time.Second)
		if waited := time.Since(begun); s.pendingReports.Load() != 1 || waited > time.Second+reportPollInterval {
			t.Errorf("silent voter: %d reports pending after %v, want 1 after 1s", s.pendingReports.Load(), waited)
		}
		reachable.Store(true)
		s.WaitForReports(time.Minute)
		if waited := time.Since(begun); s.pendingReports.Load() != 0 || waited > 10*time.Second {
			t.Errorf("voter that responds again: %d reports pending after %v, want 0", s.pendingReports.Load(), waited)
		}
	})
}

// TestNoVoterAsked: a request that could not be sent at all is certainly not committed.
func TestNoVoterAsked(t *testing.T) {
	s := New(Config{Name: "n9", Voters: raftlog.VoterSet{Edition: 1, Names: []string{"n1"}}})
	_, err := s.client.sendToLeader(context.Background(), request{Begin: &BeginRequest{}}, time.Millisecond)
	failure, ok := errors.AsType[*noLeaderError](err)
	if !ok || failure.mayBeCommitted {
		t.Errorf("got error %v, want a noLeaderError of a request that is not committed", err)
	}
}
