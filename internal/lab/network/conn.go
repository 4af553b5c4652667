package network

import (
	"strconv"
	"time"

	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
)

// conn is a connection, or the attempt at one. It belongs to the loop.
type conn struct {
	net        *Net
	id         string
	from, to   string // machine that dialed, address dialed
	host       string // of to
	dialNumber uint64 // of those from there to there
	pathDelay  time.Duration
	ends       [2]end  // the one that dialed; the other
	pipes      [2]pipe // from each of them
	dialTimer  *loop.Timer

	silent      bool // nothing that is sent arrives any more
	stale       bool // the machine at one end was away and knows it no more
	silencePlan *silencePlan
}

// end is one end of a connection; the world's hold it as a link.Conn.
type end struct {
	conn    *conn
	side    int          // 0: it dialed
	handler link.Handler // of the world's
	port    *port        // of the nodes'

	held      bool // a program holds it: it counts as open
	up        bool
	closed    bool // nothing is sent or heard here any more
	finSent   bool // the sending has ended
	wroteData bool // bytes were sent
	resetSent bool // a reset was

	// Of the world's, see world.go.
	paused      bool
	unreadData  []byte // they came meanwhile
	finPending  bool   // and behind them the end
	endNotified bool   // the handler has heard the end, which it does once
	sendQueue   [][]byte
	closing     bool // the end of the sending stands behind the outbox
	windowUsed  int  // of the window
}

func (n *Net) newConn(from, to string) *conn {
	host := hostOf(to)
	way := from + ">" + host
	n.dialCounts[way]++
	c := &conn{net: n, from: from, to: to, host: host, dialNumber: n.dialCounts[way], pathDelay: n.pathDelay(from, host)}
	c.id = way + "#" + strconv.FormatUint(c.dialNumber, 10)
	for i := range 2 {
		c.ends[i] = end{conn: c, side: i}
		c.pipes[i] = pipe{conn: c, side: i}
	}
	c.ends[0].held = true
	n.conns[c.id] = c
	n.drawSilencePlan(c)
	return c
}

func (e *end) other() *end { return &e.conn.ends[1-e.side] }

func (e *end) back() bool { return e.side == 1 }

// send sends a parcel.
func (e *end) send(k packetKind, b []byte, err error) { e.conn.pipes[e.side].enqueue(k, b, err) }

// write sends bytes that the program has written.
func (e *end) write(b []byte) {
	if e.closed || e.finSent {
		return
	}
	e.wroteData = true
	e.conn.net.observe(link.Sent, e.conn, e.back(), b, "")
	e.conn.responseSent(e.side)
	e.send(data, b, nil)
}

// endWriting ends the sending.
func (e *end) endWriting() {
	if !e.closed && !e.finSent {
		e.finSent = true
		e.conn.net.observe(link.Finished, e.conn, e.back(), nil, "")
		e.send(fin, nil, nil)
	}
}

// closeBoth ends both ways, as the program wants it. Bytes that it has not read make
// it a reset, as in a kernel.
func (e *end) closeBoth(unread bool) {
	switch {
	case e.closed:
	case !e.up:
		e.discard()
	case unread:
		e.conn.net.observe(link.Closed, e.conn, e.back(), nil, "unread")
		e.reset(link.ErrUnread)
	default:
		e.closed = true
		e.conn.net.observe(link.Closed, e.conn, e.back(), nil, "")
		if !e.finSent {
			e.finSent = true
			e.send(fin, nil, nil)
		}
	}
	e.release()
}

// closeUnaccepted ends a connection that no program has taken: none of it was read.
func (e *end) closeUnaccepted(unread bool) {
	if !e.closed {
		note := ""
		if unread {
			note = "unread"
		}
		e.conn.net.observe(link.Closed, e.conn, e.back(), nil, note)
		e.reset(link.ErrUnread)
	}
	e.release()
}

// abort breaks the connection from here, and says why in the trace.
func (e *end) abort(note string) {
	if !e.closed && e.up {
		e.conn.net.observe(link.Reset, e.conn, e.back(), nil, note)
		e.reset(link.ErrReset)
	}
	e.discard()
	e.release()
}

// discard forgets the connection without a word.
func (e *end) discard() {
	if !e.closed && !e.up {
		e.conn.dialTimer.Stop()
		e.conn.net.observe(link.Fail, e.conn, e.back(), nil, "called off")
	}
	e.closed, e.unreadData, e.sendQueue, e.closing = true, nil, nil, false
}

// reset tells the other side that the connection is no more, once.
func (e *end) reset(err error) {
	e.discard()
	if !e.resetSent {
		e.resetSent = true
		e.send(rst, nil, err)
	}
}

// release notes that no program holds this end any more.
func (e *end) release() {
	e.held = false
	if !e.other().held {
		delete(e.conn.net.conns, e.conn.id)
	}
}

// deliver hands bytes that came to the program. Where it has closed, its kernel
// answers with a reset.
func (e *end) deliver(b []byte) {
	switch {
	case e.closed:
		e.conn.pipes[1-e.side].dataAfterClose = true
		e.reset(link.ErrUnread)
	case e.port != nil:
		e.port.receiveData(b)
	case e.paused || len(e.unreadData) > 0:
		e.unreadData = append(e.unreadData, b...)
	default:
		e.handler.Data(e, b)
		e.other().releaseWindow(len(b))
	}
}

// releaseWindow gives room back in the window: the other side has read.
func (e *end) releaseWindow(n int) {
	if e.port != nil {
		e.port.releaseWindow(n)
		return
	}
	e.windowUsed -= n
	e.flush()
}

// receiveFin takes in that the other side has ended its sending.
func (e *end) receiveFin() {
	switch {
	case e.closed:
	case e.port != nil:
		e.port.receiveFin()
	case len(e.unreadData) > 0:
		e.finPending = true
	case e.peerClosedUnread():
		e.receiveReset(link.ErrUnread)
	default:
		e.endNotified = true
		e.handler.End(e, link.ErrEOF)
	}
}

// peerClosedUnread reports whether the other side has closed both ways while bytes from
// here were still on their way. A kernel would tell by a reset, a moment after
// the end; the world hears it in place of the end.
func (e *end) peerClosedUnread() bool {
	p := &e.conn.pipes[e.side]
	return e.other().closed && (p.bytesInFlight > 0 || p.dataAfterClose || len(e.sendQueue) > 0)
}

// receiveReset takes in a reset.
func (e *end) receiveReset(err error) {
	switch {
	case e.closed:
		return
	case !e.up: // its granting was lost
		e.dialFailed(link.ErrRefused)
		return
	case err == link.ErrUnread && !e.wroteData:
		err = link.ErrReset // it sent nothing that could be unread
	}
	note := "reset"
	if err == link.ErrUnread {
		note = "unread"
	}
	e.conn.net.observe(link.Reset, e.conn, e.back(), nil, note)
	e.discard()
	if e.port != nil {
		e.port.receiveReset() // it is held until the program closes it
		return
	}
	e.release()
	if !e.endNotified {
		e.handler.End(e, err)
	}
}
