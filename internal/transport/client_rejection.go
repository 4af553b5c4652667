package transport

import "time"

const (
	// rejection is the response to an incomplete request whose connection is evicted. The request was not forwarded, so
	// the client may send it again.
	rejection = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// rejectionWriteTimeout limits the write of rejection, for which the node does not accept other connections. It ends
	// only if the client does not read earlier responses.
	rejectionWriteTimeout = 5 * time.Millisecond
)

// writeRejection answers the incomplete request of a connection that is evicted, unless a response has begun: a client
// that learns nothing cannot tell whether its request has run. The caller must have set rejected.
func (c *clientConn) writeRejection() {
	if c.responseWritten.Load() {
		return
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(rejectionWriteTimeout))
	_, _ = c.Conn.Write([]byte(rejection)) // a client that has left needs no answer
}
