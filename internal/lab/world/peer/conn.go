package peer

import (
	"errors"
	"slices"

	"olivebridge/internal/lab/http1"
	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
)

// conn is one connection to a process. It carries one request at a time: what
// is sent before the answer is read after it.
type conn struct {
	of     *process
	link   link.Conn
	in     *http1.Parser
	shaken bool // its handshake is done
	job    *job // of the request it carries
	spent  bool // open, and of no further use
	gone   bool
	idle   *loop.Timer // its end, if nothing comes
	more   *loop.Timer // the next part of an answer without end
}

// accept takes a connection, or has it reset when there are too many.
func (q *process) accept(l link.Conn) link.Handler {
	if q.over {
		return nil
	}
	if most := q.p.c.Conns; most > 0 && len(q.conns) >= most {
		q.p.stats.Full++
		return nil
	}
	q.p.stats.Accepted++
	c := &conn{of: q, link: l, in: http1.NewRequestParser(), shaken: q.p.c.Handshake == 0}
	q.conns = append(q.conns, c)
	c.rest()
	if !c.shaken {
		q.cores.add(&job{left: q.p.c.Handshake.D().Seconds(), done: func() {
			c.shaken = true
			c.read()
		}})
	}
	return c
}

// Up implements link.Handler.
func (c *conn) Up(link.Conn) {}

// Data implements link.Handler.
func (c *conn) Data(_ link.Conn, b []byte) {
	if c.gone || c.spent {
		return
	}
	c.in.Feed(b)
	c.of.awake(c.read)
}

// End implements link.Handler. A node that ends its sending has given up what
// it sent, as one that closes has.
func (c *conn) End(_ link.Conn, err error) { c.of.awake(func() { c.end(err) }) }

func (c *conn) end(err error) {
	if c.gone {
		return
	}
	c.leave()
	if errors.Is(err, link.ErrEOF) {
		c.link.Close()
	}
	if j := c.job; j != nil {
		j.conn = nil // work that runs goes on
		if c.of.p.c.StopsWork {
			c.of.cores.drop(j)
		}
		c.of.mayLeave()
	}
}

// leave forgets a connection that has ended.
func (c *conn) leave() {
	c.gone = true
	c.idle.Stop()
	c.more.Stop()
	if i := slices.Index(c.of.conns, c); i >= 0 {
		c.of.conns = slices.Delete(c.of.conns, i, i+1)
	}
}

// read takes the requests that have come whole.
func (c *conn) read() {
	for !c.gone && !c.spent && c.shaken && c.job == nil {
		m, err := c.in.Next()
		switch {
		case err != nil:
			c.of.p.stats.Bad++
			c.send(plain("400 Bad Request", ""), true)
		case m == nil:
			c.rest()
			return
		default:
			c.idle.Stop()
			c.take(m)
		}
	}
}

// rest closes the connection when nothing comes for the time that it may be idle.
func (c *conn) rest() {
	c.idle.Stop()
	if d := c.of.p.c.IdleClose.D(); d > 0 {
		c.idle = c.of.after(d, func() {
			if !c.gone && !c.spent && c.job == nil {
				c.close()
			}
		})
	}
}

func (c *conn) close() {
	c.leave()
	c.link.Close()
}

// send answers the request in hand; last: the connection ends with it.
func (c *conn) send(answer []byte, last bool) {
	c.job = nil
	c.link.Write(answer)
	if last {
		c.close()
	}
}

// spoil leaves the connection open and of no further use: nothing more is read.
func (c *conn) spoil() {
	c.job, c.spent = nil, true
	c.idle.Stop()
}

// reset breaks the connection.
func (c *conn) reset() {
	c.job = nil
	c.leave()
	c.link.Reset()
}
