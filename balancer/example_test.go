package balancer_test

import (
	"fmt"
	"time"

	"olivebridge/balancer"
)

// node is a Host that prints the actions of its Balancer. A real host sends
// requests over its connections and sets real timers.
type node struct{}

func (node) Send(id balancer.RequestID, to balancer.ServerID, validUntil balancer.Time) {
	fmt.Printf("send request %d to server %d\n", id, to)
}
func (node) Cancel(id balancer.RequestID, attempt int) { fmt.Println("cancel", id, attempt) }
func (node) Reject(id balancer.RequestID, after time.Duration) {
	fmt.Printf("reject request %d, with a retry delay: %v\n", id, after > 0)
}
func (node) Fail(id balancer.RequestID)           { fmt.Println("fail", id) }
func (node) CheckHealth(to balancer.ServerID)     {}
func (node) Watch()                               {}
func (node) SetTimer(d time.Duration, ref uint64) {}
func (node) Log(line string)                      { fmt.Println(line) }

func Example() {
	set := balancer.Settings{
		Classes: []balancer.Class{{
			LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, Idempotency: balancer.Idempotent,
		}},
		Nodes: 1, SlowStart: 10 * time.Second, InitialCapacity: 0.2, OverloadFactor: 3, OverloadWindow: time.Second,
		MaxAttempts: 3, RetryAfter: true, MaxRetryAfter: time.Second,
	}
	now := balancer.Time(0) // the host's clock, in nanoseconds
	b, err := balancer.New(set, 42, now, node{})
	if err != nil {
		panic(err)
	}
	b.HandleServers(now, balancer.UpdateCached, []balancer.Server{{ID: 7, Weight: 1, State: balancer.Ready}})
	b.HandleRequest(now, balancer.Request{ID: 1, Timeout: time.Second, AffinityKey: 99})

	now += balancer.Time(30 * time.Millisecond)
	b.HandleOutcome(now, balancer.Outcome{
		ID: 1, Server: 7, Latency: 30 * time.Millisecond, Result: balancer.OK, RequestDone: true,
	})

	b.HandleServers(now, balancer.UpdateDelta, []balancer.Server{{ID: 7, State: balancer.Draining}})
	now += balancer.Time(5 * time.Millisecond)
	b.HandleRequest(now, balancer.Request{ID: 2, Timeout: time.Second, AffinityKey: 99})
	// Output:
	// send request 1 to server 7
	// server 7 out of the table
	// reject request 2, with a retry delay: true
}
