package brain_test

import (
	"fmt"
	"time"

	"olivebridge/brain"
)

// node embeds a Balancer: it carries out what the Balancer decides. A real one
// would send over its connections and keep real timers.
type node struct{}

func (node) Send(id brain.RequestID, to brain.ServerID, holds brain.Time) {
	fmt.Printf("send request %d to server %d\n", id, to)
}
func (node) Cancel(id brain.RequestID, attempt int) { fmt.Println("cancel", id, attempt) }
func (node) Refuse(id brain.RequestID, after time.Duration) {
	fmt.Printf("refuse request %d, come back in a while: %v\n", id, after > 0)
}
func (node) Fail(id brain.RequestID)              { fmt.Println("fail", id) }
func (node) Probe(to brain.ServerID)              {}
func (node) Watch()                               {}
func (node) SetTimer(d time.Duration, ref uint64) {}
func (node) Log(line string)                      { fmt.Println(line) }

func Example() {
	set := brain.Settings{
		Classes: []brain.Class{{Aim: time.Second, Deadline: 2 * time.Second, Worth: 1, Effect: brain.Pure}},
		Nodes:   1, Cold: 10 * time.Second, ColdShare: 0.2, Overload: 3, Fall: time.Second,
		TryLimit: 3, RetryAfter: true, MaxRetryAfter: time.Second,
	}
	now := brain.Time(0) // the host's clock, in nanoseconds
	b, err := brain.New(set, 42, now, node{})
	if err != nil {
		panic(err)
	}
	b.List(now, brain.Cached, []brain.Server{{ID: 7, Weight: 1, State: brain.Ready}})
	b.Request(now, brain.Request{ID: 1, Budget: time.Second, Key: 99})

	now += brain.Time(30 * time.Millisecond)
	b.Outcome(now, brain.Outcome{ID: 1, Server: 7, Latency: 30 * time.Millisecond, Result: brain.OK, Closed: true})

	b.List(now, brain.Delta, []brain.Server{{ID: 7, State: brain.Draining}})
	now += brain.Time(5 * time.Millisecond)
	b.Request(now, brain.Request{ID: 2, Budget: time.Second, Key: 99})
	// Output:
	// send request 1 to server 7
	// server 7 out of the table
	// refuse request 2, come back in a while: true
}
