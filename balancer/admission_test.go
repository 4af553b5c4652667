package balancer

import (
	"testing"
	"time"
)

func TestNoServerUpRejectsAtOnce(t *testing.T) {
	g := newHarness(t, testSettings(), 1)
	for class := range g.settings.Classes {
		id := g.request(class, 3)
		if g.requests[id].answer != "refuse" || g.lastRetryAfter <= 0 {
			t.Errorf("class %d: %q with advice %v", class, g.requests[id].answer, g.lastRetryAfter)
		}
	}
	g.assertNoViolations()
}

// A request is one allocation: its own record.
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
		t.Errorf("%v allocations a request", n)
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
