// Package signals gossips what nodes have observed of upstream servers: not what to do about them, but which failures
// and recoveries each node has seen itself, and when. A node that learns of failures from enough others suspects a
// server that it has not used just now, and avoids it until the observations are old or somebody has had an answer.
//
// Detector decides, and uses no I/O, clock or goroutines: times are since an origin of the caller's. Service carries it
// out.
package signals
