package transport

import "time"

const (
	// minBodyRate is how fast a body must come on average, in bytes a second: half of what clients are known to need.
	minBodyRate = 32 << 10
	// bodyStallTimeout is how long a request may take beyond its body's bytes at minBodyRate, with the time for its head.
	bodyStallTimeout = 2700 * time.Millisecond
	// streamStallTimeout is how long a server may let a message stand still that is too long to be buffered.
	streamStallTimeout = 30 * time.Second
)

// transferPace is how one side of a long message keeps up. Only the time counts in which that side is waited for: a
// client cannot send while the node waits for a server, nor can a server send what no client takes.
type transferPace struct {
	bytes  int64
	waited time.Duration // for these bytes
}

// timeLeft is how much longer that side may be waited for: as long as its bytes take at minBodyRate, beyond one
// stall, and for one stall at most, whatever has come before. So a side that trickles is found out.
func (p *transferPace) timeLeft(stall time.Duration) time.Duration {
	allowed := stall + time.Duration(p.bytes)*time.Second/minBodyRate
	return min(allowed-p.waited, stall)
}

// add notes n bytes that were waited for since started.
func (p *transferPace) add(n int, started time.Time) {
	p.bytes += int64(n)
	p.waited += time.Since(started)
}

// allowNextBytes sets the deadline for a request's next bytes. So many of its body, which is read without a pause,
// have come.
func (c *clientConn) allowNextBytes(received int64) {
	now := time.Now()
	p := transferPace{bytes: received, waited: now.Sub(c.requestStartTime())}
	_ = c.SetReadDeadline(now.Add(p.timeLeft(bodyStallTimeout)))
}
