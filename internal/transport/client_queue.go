package transport

import "time"

// minQueueTime is the time since the arrival of a new connection's bytes from which these count as having waited in the
// listener's queue. It is well below the time limits that count from the arrival.
const minQueueTime = 50 * time.Millisecond

// waitedInQueue reports whether bytes of a connection that has just been accepted have waited in the listener's queue,
// because the node had no room for it or was held up. Simulated networks have no such queue.
func waitedInQueue(conn Conn) bool {
	tcp, ok := conn.(*tcpConn)
	return ok && tcp.quietBefore >= minQueueTime && hasUnread(tcp)
}

// noteWaitedRead corrects lastReadAt after the first read of a request whose bytes waited unread: it counts from their
// arrival, and as stalled if no more have arrived since. The caller must hold conns.mu.
func (c *clientConn) noteWaitedRead() {
	c.lastReadAt = c.lastReadAt.Add(-c.Conn.(*tcpConn).sinceArrival())
	c.conns.changed.Broadcast() // the connection may be evictable at once
}

// receivedAt returns the time at which the last byte of the current request was received: the time of its arrival if it
// waited unread, or now.
func (c *clientConn) receivedAt(now time.Time) time.Time {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if !c.waited {
		return now
	}
	return c.lastReadAt
}
