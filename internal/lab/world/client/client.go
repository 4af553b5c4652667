// Package client models the downstream side of the nodes: groups of valid clients,
// malformed clients that send requests which must not be served, and the front
// that distributes the connections of both over the nodes.
package client

import (
	"time"

	"olivebridge/internal/lab/event"
	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
	"olivebridge/internal/lab/sample"
	"olivebridge/internal/lab/world"
)

// Env holds the dependencies of clients. The name of a group or malformed client is its host on the network.
type Env struct {
	Loop         *loop.Loop
	Fabric       link.Fabric
	Seed         uint64
	Observer     event.Observer
	Classes      []world.Class
	Tenants      []world.Tenant // tenants in whose names malformed clients send requests
	Front        *Front
	Contract     world.Contract
	OnRequestEnd func(sample.Request) // called with the result of each request of a group; may be nil
	OnResponse   func(Response)       // called with each response to an attempt of a group; may be nil
}

// Response is a response that a client accepted as the response to its call.
type Response struct {
	Call   string // id of the attempt
	Safe   bool   // the call may be repeated without harm
	Status int
	Body   []byte // valid only during OnResponse
}

// port is the port on which nodes listen.
const port = ":9000"

// dialTimeout is the time limit for opening a connection, and for one readiness check of the front.
const dialTimeout = time.Second

const (
	// maxBodyBytes limits the body of a valid request, unless it is a long one.
	maxBodyBytes = 64 << 10
	// maxLongBodyBytes limits the long body of a valid request.
	maxLongBodyBytes = 4 << 20
)

// Tally counts requests by their final outcome. Retries counts attempts after the
// first. The response times that separate Served from Late begin when the last
// byte of the first attempt is sent.
type Tally struct {
	Asked        int
	Served       int // within the class's latency objective
	Late         int // after the latency objective
	Refused      int
	Failed       int
	Unanswered   int
	Left         int
	Retries      int
	Foreign      int     // 200 responses that do not contain the id of the call to which they were sent
	Tries        int     // attempts of nodes at peers; unknown to clients, always 0
	ServedWorth  float64 // total priority weight of the requests in Served
	OfferedWorth float64 // total priority weight of the requests in Asked
}

// Add adds the counts of o.
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
	t.ServedWorth += o.ServedWorth
	t.OfferedWorth += o.OfferedWorth
}

// ClassTally is the Tally of one class.
type ClassTally struct {
	Class string
	Tally
}
