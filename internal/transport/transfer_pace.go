package transport

import "time"

const (
	// minBodyRate is the minimum average rate of a body, in bytes per second: half of the rate that clients are known to
	// need.
	minBodyRate = 32 << 10
	// bodyStallTimeout is the time that a request may take in addition to the time that its body needs at minBodyRate. It
	// includes the time for the head.
	bodyStallTimeout = 2700 * time.Millisecond
	// streamStallTimeout is the duration for which a server may neither send nor accept bytes of a message that is too
	// long to be buffered.
	streamStallTimeout = 30 * time.Second
)

// transferPace measures the rate at which one side of a long message sends or accepts bytes. Only the time spent
// waiting for that side counts: a client cannot send while the node waits for a server, and a server cannot send while
// no client accepts its bytes.
type transferPace struct {
	bytes  int64
	waited time.Duration // total time spent waiting for these bytes
}

// timeLeft returns the duration for which the node may wait for the next bytes of that side. The total wait is limited
// to stall plus the time of the bytes at minBodyRate, and each single wait to stall. This also detects a side that
// sends a few bytes at a time.
func (p *transferPace) timeLeft(stall time.Duration) time.Duration {
	allowed := stall + time.Duration(p.bytes)*time.Second/minBodyRate
	return min(allowed-p.waited, stall)
}

// add records n bytes for which the node has waited since started.
func (p *transferPace) add(n int, started time.Time) {
	p.bytes += int64(n)
	p.waited += time.Since(started)
}

// extendReadDeadline sets the read deadline for the next bytes of a request. received is the number of bytes of the
// body that have arrived. The body is read without pauses, so all the time since the start of the request counts.
func (c *clientConn) extendReadDeadline(received int64) {
	now := time.Now()
	p := transferPace{bytes: received, waited: now.Sub(c.requestStartTime())}
	_ = c.SetReadDeadline(now.Add(p.timeLeft(bodyStallTimeout)))
}
