package network

import (
	"strconv"
	"time"

	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
)

// conn is a connection, or a dial in progress. It belongs to the loop.
type conn struct {
	net        *Net
	id         string
	from, to   string // host that dialed; address that it dialed
	host       string // host part of to
	dialNumber uint64 // number of this connection among those from the host from to the host
	pathDelay  time.Duration
	ends       [2]end  // the end that dialed; the end that accepted
	pipes      [2]pipe // indexed by the sending end
	dialTimer  *loop.Timer

	silent      bool // every packet sent from now on is dropped
	stale       bool // the machine at one end has vanished, and does not know the connection after its return
	silencePlan *silencePlan
}

// end is one end of a connection. A modelled service holds it as a link.Conn.
type end struct {
	conn    *conn
	side    int          // 0: the end that dialed; 1: the end that accepted
	handler link.Handler // receives the events of the end if it belongs to a modelled service, else nil
	port    *port        // the connection of a node if the end belongs to one, else nil

	held      bool // a program holds this end, which makes the connection count as open
	up        bool
	closed    bool // this end neither sends nor receives any more
	finSent   bool // a FIN was sent
	wroteData bool // at least one byte was sent
	resetSent bool // a reset was sent

	// Used for the ends of modelled services only; see link_conn.go.
	paused      bool
	unreadData  []byte // bytes that arrived while reading was paused
	finPending  bool   // a FIN arrived behind unreadData
	endNotified bool   // Handler.End was called, which happens at most once
	sendQueue   [][]byte
	closing     bool // CloseWrite was called: a FIN follows the last write of sendQueue
	windowUsed  int  // bytes of the window in use
	taken       int  // number of writes of sendQueue that the kernel has taken: to the program, they are sent
	takenBytes  int  // bytes of these writes
}

func (n *Net) newConn(from, to string) *conn {
	host := hostOf(to)
	route := from + ">" + host
	n.dialCounts[route]++
	c := &conn{net: n, from: from, to: to, host: host, dialNumber: n.dialCounts[route], pathDelay: n.pathDelay(from, host)}
	c.id = route + "#" + strconv.FormatUint(c.dialNumber, 10)
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

// send passes a packet to the pipe of this end.
func (e *end) send(k packetKind, b []byte, err error) { e.conn.pipes[e.side].enqueue(k, b, err) }

// write sends bytes that the program has written.
func (e *end) write(b []byte) {
	if e.closed || e.finSent {
		return
	}
	e.conn.net.observe(link.Sent, e.conn, e.back(), b, "")
	e.transmit(b)
}

// transmit passes written bytes to the network.
func (e *end) transmit(b []byte) {
	e.wroteData = true
	e.conn.responseSent(e.side)
	e.send(data, b, nil)
}

// endWriting sends a FIN, once.
func (e *end) endWriting() {
	if !e.closed && !e.finSent {
		e.finSent = true
		e.conn.net.observe(link.Finished, e.conn, e.back(), nil, "")
		e.send(fin, nil, nil)
	}
}

// closeBoth closes both directions when the program asks for it. If the program has left bytes unread, the other side
// receives a reset, as from a kernel.
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

// closeUnaccepted resets a connection that no program has accepted, so that nothing was read from it.
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

// abort resets the connection from this end. note is the reason in the trace.
func (e *end) abort(note string) {
	if !e.closed && e.up {
		e.conn.net.observe(link.Reset, e.conn, e.back(), nil, note)
		e.reset(link.ErrReset)
	}
	e.discard()
	e.release()
}

// discard drops the state of this end without sending anything.
func (e *end) discard() {
	if !e.closed && !e.up {
		e.conn.dialTimer.Stop()
		e.conn.net.observe(link.Fail, e.conn, e.back(), nil, "called off")
	}
	e.closed, e.unreadData, e.sendQueue, e.closing = true, nil, nil, false
	e.taken, e.takenBytes = 0, 0
}

// reset closes this end and sends a reset, at most once.
func (e *end) reset(err error) {
	e.discard()
	if !e.resetSent {
		e.resetSent = true
		e.send(rst, nil, err)
	}
}

// release records that no program holds this end any more, and forgets the connection once neither end is held.
func (e *end) release() {
	e.held = false
	if !e.other().held {
		delete(e.conn.net.conns, e.conn.id)
	}
}

// deliver passes received bytes to the program. If the program has closed this end, the kernel answers with a reset.
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

// releaseWindow frees n bytes of the window after the other side has read them.
func (e *end) releaseWindow(n int) {
	if e.port != nil {
		e.port.releaseWindow(n)
		return
	}
	e.windowUsed -= n
	e.flush()
}

// receiveFin processes a FIN from the other side.
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

// peerClosedUnread reports whether the other side has closed both directions while bytes sent from here were still in
// flight. A kernel would send a reset shortly after the FIN; the handler gets that reset in place of the FIN.
func (e *end) peerClosedUnread() bool {
	p := &e.conn.pipes[e.side]
	return e.other().closed && (p.bytesInFlight > 0 || p.dataAfterClose || len(e.sendQueue) > 0)
}

// receiveReset processes a reset from the other side.
func (e *end) receiveReset(err error) {
	switch {
	case e.closed:
		return
	case !e.up: // the packet that accepts the connection was lost
		e.dialFailed(link.ErrRefused)
		return
	case err == link.ErrUnread && !e.wroteData:
		err = link.ErrReset // this end sent nothing that could be unread
	}
	note := "reset"
	if err == link.ErrUnread {
		note = "unread"
	}
	e.conn.net.observe(link.Reset, e.conn, e.back(), nil, note)
	e.discard()
	if e.port != nil {
		e.port.receiveReset() // the node holds this end until it closes it
		return
	}
	e.release()
	if !e.endNotified {
		e.handler.End(e, err)
	}
}
