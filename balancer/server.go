package balancer

// server is the state that a node keeps for one server. The comment on each part names the file
// with most of its code; an event that concerns several parts updates them from other files as
// well.
type server struct {
	Server               // entry in the endpoint list
	capacity  float64    // relative: the last listed weight, or the highest one with Settings.LiveWeights
	listing   listing    // endpoints.go
	health    health     // health_check.go and outlier.go
	activity  activity   // evidence.go
	load      load       // concurrency_limit.go
	slowStart slowStart  // slow_start.go
	table     tableState // maglev.go
}

// activity holds the times of a server's latest signs of life.
type activity struct {
	// silentSince is the start of the current period without an answer: the time of the last answer or
	// first byte, of the last work sent to the idle server, of its readmission or of its ejection by
	// ejectSilent, whichever is latest.
	silentSince Time
	succeededAt Time // time of the last successful answer to a request; health checks do not count
	// newestAnsweredSentAt is the latest send time of all successfully answered attempts. An attempt
	// that was sent well before that time and is still outstanding was overtaken.
	newestAnsweredSentAt Time
}

// ejected reports whether the server is excluded from the lookup tables.
func (s *server) ejected() bool { return s.health.ejectedAt != 0 }
