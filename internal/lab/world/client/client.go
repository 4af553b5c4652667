// Package client models whoever stands before the nodes: crowds of lawful
// clients, rogues that send what cannot be served, and the front that spreads
// both over the nodes.
package client

import (
	"time"

	"olivebridge/internal/lab/event"
	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
	"olivebridge/internal/lab/sample"
	"olivebridge/internal/lab/world"
)

// Env is where clients live. A crowd's or rogue's name is its host on the network.
type Env struct {
	Loop     *loop.Loop
	Fabric   link.Fabric
	Seed     uint64
	Observer event.Observer
	Classes  []world.Class
	Tenants  []world.Tenant // rogues speak for them
	Front    *Front
	Contract world.Contract
	Ended    func(sample.Request) // hears what came of each request of a crowd; nil: nobody does
	Heard    func(Answer)         // hears each answer to a crowd's try; nil: nobody does
}

// Answer is one that a client took for its call's.
type Answer struct {
	Call   string
	Safe   bool // repeats of the call are harmless
	Status int
	Body   []byte // not to be kept
}

// port is where nodes listen.
const port = ":9000"

// dialTimeout is how long a client waits for a connection.
const dialTimeout = time.Second

// mostBody bounds the body of a lawful request.
const mostBody = 64 << 10

// Tally counts requests, by what came of each at last; all but Retries count
// first tries. The times of Served and Late run from the first try's last byte.
type Tally struct {
	Asked      int
	Served     int // within the aim
	Late       int // after it
	Refused    int
	Failed     int
	Unanswered int
	Left       int
	Retries    int
	Foreign    int     // answers with a 200 that do not name the call which they are given to
	Tries      int     // of nodes at peers: not known here, always 0
	Worth      float64 // served, of Asked's
	Whole      float64 // asked
}

// Add adds another tally.
func (t *Tally) Add(o Tally) {
	t.Asked += o.Asked
	t.Served += o.Served
	t.Late += o.Late
	t.Refused += o.Refused
	t.Failed += o.Failed
	t.Unanswered += o.Unanswered
	t.Left += o.Left
	t.Retries += o.Retries
	t.Foreign += o.Foreign
	t.Tries += o.Tries
	t.Worth += o.Worth
	t.Whole += o.Whole
}

// ClassTally is a Tally of one class.
type ClassTally struct {
	Class string
	Tally
}
