package network

import (
	"strconv"
	"time"

	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
)

// conn is a connection, or the attempt at one. It belongs to the loop.
type conn struct {
	n        *Net
	id       string
	from, to string // machine that dialed, address dialed
	host     string // of to
	nth      uint64 // of those from there to there
	distance time.Duration
	ends     [2]end  // the one that dialed; the other
	pipes    [2]pipe // from each of them
	patience *loop.Timer

	silent bool // nothing that is sent arrives any more
	stale  bool // the machine at one end was away and knows it no more
	hush   *hush
}

// end is one end of a connection; the world's hold it as a link.Conn.
type end struct {
	c       *conn
	side    int          // 0: it dialed
	handler link.Handler // of the world's
	port    *port        // of the nodes'

	held  bool // a program holds it: it counts as open
	up    bool
	gone  bool // nothing is sent or heard here any more
	over  bool // the sending has ended
	wrote bool // bytes were sent
	cut   bool // a reset was

	// Of the world's, see world.go.
	paused  bool
	waiting []byte // they came meanwhile
	ended   bool   // and behind them the end
	heard   bool   // the handler has heard the end, which it does once
	outbox  [][]byte
	closing bool // the end of the sending stands behind the outbox
	used    int  // of the window
}

func (n *Net) newConn(from, to string) *conn {
	host := hostOf(to)
	way := from + ">" + host
	n.dials[way]++
	c := &conn{n: n, from: from, to: to, host: host, nth: n.dials[way], distance: n.distance(from, host)}
	c.id = way + "#" + strconv.FormatUint(c.nth, 10)
	for i := range 2 {
		c.ends[i] = end{c: c, side: i}
		c.pipes[i] = pipe{c: c, side: i}
	}
	c.ends[0].held = true
	n.conns[c.id] = c
	n.drawHush(c)
	return c
}

func (e *end) other() *end { return &e.c.ends[1-e.side] }

func (e *end) back() bool { return e.side == 1 }

// send sends a parcel.
func (e *end) send(k kind, b []byte, err error) { e.c.pipes[e.side].put(k, b, err) }

// write sends bytes that the program has written.
func (e *end) write(b []byte) {
	if e.gone || e.over {
		return
	}
	e.wrote = true
	e.c.n.see(link.Sent, e.c, e.back(), b, "")
	e.c.answered(e.side)
	e.send(data, b, nil)
}

// endWriting ends the sending.
func (e *end) endWriting() {
	if !e.gone && !e.over {
		e.over = true
		e.c.n.see(link.Finished, e.c, e.back(), nil, "")
		e.send(fin, nil, nil)
	}
}

// shut ends both ways, as the program wants it. Bytes that it has not read make
// it a reset, as in a kernel.
func (e *end) shut(unread bool) {
	switch {
	case e.gone:
	case !e.up:
		e.leave()
	case unread:
		e.c.n.see(link.Closed, e.c, e.back(), nil, "unread")
		e.reset(link.ErrUnread)
	default:
		e.gone = true
		e.c.n.see(link.Closed, e.c, e.back(), nil, "")
		if !e.over {
			e.over = true
			e.send(fin, nil, nil)
		}
	}
	e.release()
}

// turnAway ends a connection that no program has taken: none of it was read.
func (e *end) turnAway(unread bool) {
	if !e.gone {
		note := ""
		if unread {
			note = "unread"
		}
		e.c.n.see(link.Closed, e.c, e.back(), nil, note)
		e.reset(link.ErrUnread)
	}
	e.release()
}

// abort breaks the connection from here, and says why in the trace.
func (e *end) abort(note string) {
	if !e.gone && e.up {
		e.c.n.see(link.Reset, e.c, e.back(), nil, note)
		e.reset(link.ErrReset)
	}
	e.leave()
	e.release()
}

// leave forgets the connection without a word.
func (e *end) leave() {
	if !e.gone && !e.up {
		e.c.patience.Stop()
		e.c.n.see(link.Fail, e.c, e.back(), nil, "called off")
	}
	e.gone, e.waiting, e.outbox, e.closing = true, nil, nil, false
}

// reset tells the other side that the connection is no more, once.
func (e *end) reset(err error) {
	e.leave()
	if !e.cut {
		e.cut = true
		e.send(rst, nil, err)
	}
}

// release notes that no program holds this end any more.
func (e *end) release() {
	e.held = false
	if !e.other().held {
		delete(e.c.n.conns, e.c.id)
	}
}

// take hands bytes that came to the program. Where it has closed, its kernel
// answers with a reset.
func (e *end) take(b []byte) {
	switch {
	case e.gone:
		e.c.pipes[1-e.side].refused = true
		e.reset(link.ErrUnread)
	case e.port != nil:
		e.port.arrived(b)
	case e.paused || len(e.waiting) > 0:
		e.waiting = append(e.waiting, b...)
	default:
		e.handler.Data(e, b)
		e.other().credit(len(b))
	}
}

// credit gives room back in the window: the other side has read.
func (e *end) credit(n int) {
	if e.port != nil {
		e.port.credit(n)
		return
	}
	e.used -= n
	e.flush()
}

// heardEnd takes in that the other side has ended its sending.
func (e *end) heardEnd() {
	switch {
	case e.gone:
	case e.port != nil:
		e.port.arrivedEnd()
	case len(e.waiting) > 0:
		e.ended = true
	case e.crossed():
		e.broken(link.ErrUnread)
	default:
		e.heard = true
		e.handler.End(e, link.ErrEOF)
	}
}

// crossed reports whether the other side has closed both ways while bytes from
// here were still on their way. A kernel would tell by a reset, a moment after
// the end; the world hears it in place of the end.
func (e *end) crossed() bool {
	p := &e.c.pipes[e.side]
	return e.other().gone && (p.flying > 0 || p.refused || len(e.outbox) > 0)
}

// broken takes in a reset.
func (e *end) broken(err error) {
	switch {
	case e.gone:
		return
	case !e.up: // its granting was lost
		e.failed(link.ErrRefused)
		return
	case err == link.ErrUnread && !e.wrote:
		err = link.ErrReset // it sent nothing that could be unread
	}
	note := "reset"
	if err == link.ErrUnread {
		note = "unread"
	}
	e.c.n.see(link.Reset, e.c, e.back(), nil, note)
	e.leave()
	if e.port != nil {
		e.port.broke() // it is held until the program closes it
		return
	}
	e.release()
	if !e.heard {
		e.handler.End(e, err)
	}
}
