package balancer

// server is the state that a node keeps for one server. Each field of a struct type names the file
// that declares the type; a few events update fields from other files as well.
type server struct {
	Server // entry in the endpoint list
	capacity  float64 // relative: the last listed weight, or the highest one with Settings.LiveWeights
	listing   listing    // endpoints.go
	health    health     // health_check.go and outlier.go
	activity  activity   // evidence.go
	load      load       // concurrency_limit.go
	slowStart slowStart  // slow_start.go
	entry     tableEntry // maglev.go
}

// activity holds the times of a server's latest signs of life.
type activity struct {
	// silentSince is the start of the period without an answer: the latest of the last answer or first
	// byte, the first attempt sent to the idle server, its readmission and its last ejection by
	// ejectSilent.
	silentSince Time
	succeededAt Time // time of the last successful answer to a request; health checks do not count
	// newestAnsweredSentAt is the latest send time of all attempts that were answered successfully. An
	// attempt that was sent well before and is still outstanding was overtaken.
	newestAnswered Time
}

// ejected reports whether the server is excluded from the lookup tables.
func (s *server) ejected() bool { return s.health.ejectedAt != 0 }
