package balancer

import (
	"testing"
	"time"
)

func TestNoServerUpRejectsAtOnce(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	for class := range h.settings.Classes {
		id := h.request(class, 3)
		if h.requests[id].answer != "refuse" || h.lastRetryAfter <= 0 {
			t.Errorf("class %d: answer %q with a retry delay of %v, want a rejection with a positive delay",
				class, h.requests[id].answer, h.lastRetryAfter)
		}
	}
	h.assertNoViolations()
}

// TestRequestPathAllocatesOnce: handling a request from its arrival to its outcome allocates only the request's record.
func TestRequestPathAllocatesOnce(t *testing.T) {
	set := testSettings()
	b, err := New(set, 1, 1000, noopHost{})
	if err != nil {
		t.Fatal(err)
	}
	now := Time(2000)
	b.HandleServers(now, UpdateCached, testServers(10))
	id := RequestID(0)
	step := func() {
		id++
		now += 5 * ms
		b.HandleRequest(now, Request{ID: id, Timeout: time.Second, AffinityKey: uint64(id % 100)})
		b.HandleOutcome(now+ms, Outcome{ID: id, Latency: 50 * time.Millisecond, Result: OK, RequestDone: true})
	}
	for range 1000 {
		step()
	}
	if n := testing.AllocsPerRun(1000, step); n > 1 {
		t.Errorf("%v allocations per request, want at most 1", n)
	}
}

// noopHost is a Host that does nothing.
type noopHost struct{}

func (noopHost) Send(RequestID, ServerID, Time) {}

func (noopHost) Cancel(RequestID, int) {}

func (noopHost) Reject(RequestID, time.Duration) {}

func (noopHost) Fail(RequestID) {}

func (noopHost) CheckHealth(ServerID) {}

func (noopHost) Watch() {}

func (noopHost) SetTimer(time.Duration, uint64) {}

func (noopHost) Log(string) {}
