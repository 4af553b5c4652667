package balancer

// server is what a node knows of one server. The files named declare the types of
// its parts; where an event concerns several parts, other files update them too.
type server struct {
	Server               // its entry in the endpoint list
	capacity  float64    // relative: the last listed weight, with Settings.LiveWeights the highest
	listing   listing    // endpoints.go
	health    health     // health_check.go and outlier.go
	activity  activity   // evidence.go
	load      load       // concurrency_limit.go
	slowStart slowStart  // slow_start.go
	entry     tableEntry // maglev.go
}

// activity is when a server was last heard from.
type activity struct {
	// silentSince is the start of the current silence: the last answer or first
	// byte, or when the server got work, was readmitted, or was ejected for silence.
	silentSince Time
	succeededAt Time // last good answer to real work
	// newestAnswered is when the latest of the attempts was sent that were
	// answered well; what was sent before it and is still out was overtaken.
	newestAnswered Time
}

// ejected reports whether the server is out of the lookup tables.
func (s *server) ejected() bool { return s.health.ejectedAt != 0 }
