package peer

import (
	"errors"
	"slices"

	"olivebridge/internal/lab/http1"
	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
)

// conn is one connection to a process. It serves one request at a time: bytes that
// arrive before the response are read after it.
type conn struct {
	process       *process
	link          link.Conn
	parser        *http1.Parser
	handshakeDone bool
	job           *job // work for the current request; nil: there is none
	unusable      bool // open, but nothing more is read or answered
	closed        bool
	idleTimer     *loop.Timer // closes the idle connection
	sendTimer     *loop.Timer // sends the next part of an endless response
}

// accept accepts a connection. It returns nil, which resets the connection, if the
// process has ended or there are too many connections.
func (q *process) accept(l link.Conn) link.Handler {
	if q.ended {
		return nil
	}
	if limit := q.peer.config.Conns; limit > 0 && len(q.conns) >= limit {
		q.peer.stats.RejectedConns++
		return nil
	}
	q.peer.stats.AcceptedConns++
	c := &conn{process: q, link: l, parser: http1.NewRequestParser(), handshakeDone: q.peer.config.Handshake == 0}
	q.conns = append(q.conns, c)
	c.startIdleTimer()
	if !c.handshakeDone {
		q.cores.addInternal(&job{remaining: q.peer.config.Handshake.D().Seconds(), done: func() {
			c.handshakeDone = true
			c.readRequests()
		}})
	}
	return c
}

// Up implements link.Handler.
func (c *conn) Up(link.Conn) {}

// Data implements link.Handler.
func (c *conn) Data(_ link.Conn, b []byte) {
	if c.closed || c.unusable {
		return
	}
	c.parser.Feed(b)
	c.process.runOrDefer(c.readRequests)
}

// End implements link.Handler. A half-close by the node abandons its requests, as a
// close does.
func (c *conn) End(_ link.Conn, err error) { c.process.runOrDefer(func() { c.handleEnd(err) }) }

func (c *conn) handleEnd(err error) {
	if c.closed {
		return
	}
	c.detach()
	if errors.Is(err, link.ErrEOF) {
		c.link.Close()
	}
	if j := c.job; j != nil {
		j.conn = nil // work in progress continues
		if c.process.peer.config.DropsQueued {
			c.process.cores.dropQueued(j)
		}
		c.process.exitIfIdle()
	}
}

// detach removes an ended connection from the process and stops its timers.
func (c *conn) detach() {
	c.closed = true
	c.idleTimer.Stop()
	c.sendTimer.Stop()
	if i := slices.Index(c.process.conns, c); i >= 0 {
		c.process.conns = slices.Delete(c.process.conns, i, i+1)
	}
}

// readRequests handles complete requests until one is in progress.
func (c *conn) readRequests() {
	for !c.closed && !c.unusable && c.handshakeDone && c.job == nil {
		m, err := c.parser.Next()
		switch {
		case err != nil:
			c.process.peer.stats.BadRequests++
			c.send(plainResponse("400 Bad Request", ""), true)
		case m == nil:
			c.startIdleTimer()
			return
		default:
			c.idleTimer.Stop()
			c.handleRequest(m)
		}
	}
}

// startIdleTimer closes the connection after IdleClose without a request.
func (c *conn) startIdleTimer() {
	c.idleTimer.Stop()
	if d := c.process.peer.config.IdleClose.D(); d > 0 {
		c.idleTimer = c.process.after(d, func() {
			if !c.closed && !c.unusable && c.job == nil {
				c.close()
			}
		})
	}
}

func (c *conn) close() {
	c.detach()
	c.link.Close()
}

// send responds to the current request and, if last, closes the connection.
func (c *conn) send(answer []byte, last bool) {
	c.job = nil
	c.link.Write(answer)
	if last {
		c.close()
	}
}

// markUnusable leaves the connection open but reads nothing more from it.
func (c *conn) markUnusable() {
	c.job, c.unusable = nil, true
	c.idleTimer.Stop()
}

// reset resets the connection.
func (c *conn) reset() {
	c.job = nil
	c.detach()
	c.link.Reset()
}
