package balancer

// server is what a node knows of one server. Each part is written by the file
// that its type stands in.
type server struct {
	Server               // its entry in the endpoint list
	capacity  float64    // relative; the highest weight that was listed
	listing   listing    // endpoints.go
	health    health     // health_check.go and outlier.go
	activity  activity   // evidence.go
	load      load       // concurrency_limit.go
	slowStart slowStart  // slow_start.go
	entry     tableEntry // maglev.go
}

// activity is when a server was last heard from.
type activity struct {
	heardAt     Time // last answer of any kind, or when it became busy
	succeededAt Time // last good answer to real work
	// newestAnswered is when the latest of the attempts was sent that were
	// answered well; what was sent before it and is still out was overtaken.
	newestAnswered Time
}

// ejected reports whether the server is out of the lookup tables.
func (s *server) ejected() bool { return s.health.ejectedAt != 0 }
