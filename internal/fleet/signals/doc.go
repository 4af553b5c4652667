// Package signals gossips observations of upstream servers between the nodes. A node reports the failures and
// recoveries that it has observed itself, with their age, and no decisions. A server is suspected when enough other
// nodes report failures: a node avoids a suspected server, unless it has itself observed a failure recently, until the
// observations are too old or any node reports an answer.
//
// Detector is the decision logic and uses no I/O, clocks or goroutines: times are passed in as durations since an
// origin chosen by the caller. Service connects it to the gossip.
package signals
