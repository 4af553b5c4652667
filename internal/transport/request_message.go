package transport

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"olivebridge/internal/protocol"
)

// immediateSend is how long after its call has come a first attempt is sent without a look at the client.
const immediateSend = 250 * time.Microsecond

// maxBudgetLine is room for the longest line with a budget, and the empty line.
const maxBudgetLine = len(protocol.HeaderTimeout) + len(": 3600.000\r\n\r\n")

// requestMessage is a client's request as it is sent to servers; it is a call's payload. A buffer holds its head,
// room for one attempt's head with the budget in it, and right behind that the body: an attempt is sent by one
// write, and no body is copied.
//
// The frontend and every attempt hold the message while they use it, and the last one gives the buffer back. Nobody
// can hold it again then, so an attempt that begins too late is never sent, and one that hangs keeps the buffer
// from all others.
type requestMessage struct {
	method string
	// head is the request line and the header, but for the budget's line and the empty one.
	head []byte
	// headRoom is room for both, and the head again; the body follows it.
	headRoom []byte
	body     []byte
	// upload is the body where it is too long to be buffered; nil: body holds it all.
	upload *upload

	buf     *pooledBuffer // that head, headRoom and body are parts of
	buffers *bufferPool   // that buf is given back to
	// holders counts who uses the message.
	holders atomic.Int32
	// roomTaken: an attempt that writes uses headRoom.
	roomTaken atomic.Bool

	// client is the client connection; nil: a disconnect does not end the call.
	client disconnectChecker
	// arrived is when the call came; zero: some time ago.
	arrived time.Time
}

// newMessage makes a message, held by its caller, of the header fields that are end to end. The body, of so many
// bytes, is still to be read into it. One that is too long to be buffered, or of unknown length (-1), has no room.
func newMessage(buffers *bufferPool, method, target, host string, header http.Header, announced int64) *requestMessage {
	bodyLen := int(announced)
	if announced < 0 || announced > protocol.MaxBufferedBody {
		bodyLen = 0
	}
	var few [24]string // so that the names of most headers need no allocation
	names, fieldsSize := endToEndNames(few[:0], header)
	const requestLine = 80 // with the Host and Content-Length lines, but for their values
	headSize := len(method) + len(target) + len(host) + requestLine + fieldsSize
	m := &requestMessage{method: method, buffers: buffers, buf: buffers.get(2*headSize + maxBudgetLine + bodyLen)}
	m.holders.Store(1)
	h := m.buf.bytes[:0]
	h = append(h, method...)
	h = append(h, ' ')
	h = append(h, target...)
	h = append(h, " HTTP/1.1\r\nHost: "...)
	h = append(h, host...)
	h = append(h, "\r\n"...)
	switch {
	case announced < 0:
		h = append(h, "Transfer-Encoding: chunked\r\n"...)
	case announced > 0 || method != http.MethodGet:
		h = append(h, "Content-Length: "...)
		h = strconv.AppendInt(h, announced, 10)
		h = append(h, "\r\n"...)
	}
	for _, name := range names {
		for _, value := range header[name] {
			h = append(h, name...)
			h = append(h, ": "...)
			h = append(h, value...)
			h = append(h, "\r\n"...)
		}
	}
	roomEnd := 2*len(h) + maxBudgetLine
	m.head = h
	m.headRoom = m.buf.bytes[len(h):roomEnd]
	m.body = m.buf.bytes[roomEnd : roomEnd+bodyLen]
	return m
}

// endToEndNames appends the names of the header fields that go on to servers, sorted, and returns how many bytes their
// lines take.
func endToEndNames(names []string, header http.Header) (sorted []string, size int) {
	options := connectionOptions(header["Connection"])
	for name, values := range header {
		if name == protocol.HeaderTimeout || isHopByHop(name) || slices.Contains(options, name) {
			continue
		}
		names = append(names, name)
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	slices.Sort(names)
	return names, size
}

// readBody reads the body that the message's head announces. Room for it was made once: growing buffers of many
// calls at a time would take much of a small machine's memory.
func (m *requestMessage) readBody(r io.Reader, c *clientConn) error {
	body := m.body
	for received := 0; received < len(body); {
		n, err := r.Read(body[received:])
		received += n
		if received == len(body) {
			break
		}
		if err != nil {
			return noEOF(err)
		}
		c.extendReadDeadline(int64(received))
	}
	_, err := r.Read(m.headRoom[:1]) // the end of the body frees its connection
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// clientLeft reports whether the client is found to have left before an attempt is sent. It guards the servers against
// attempts for nobody, which a client connection that is not watched yet would let pass.
func (m *requestMessage) clientLeft(attempt int, now time.Time) bool {
	return m.client != nil && (attempt > 0 || now.Sub(m.arrived) > immediateSend) && m.client.hasDisconnected()
}

// hold keeps the buffer for one more user, unless the last one has released it.
func (m *requestMessage) hold() bool {
	for {
		n := m.holders.Load()
		if n == 0 {
			return false
		}
		if m.holders.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// release ends a user's hold.
func (m *requestMessage) release() {
	if m.holders.Add(-1) == 0 {
		m.buffers.put(m.buf)
	}
}

// compose returns the bytes of an attempt, with the budget left unless that is 0. They hold until releaseRoom is
// called with ownsRoom. The room is for one attempt at a time: another that is written meanwhile gets a copy.
func (m *requestMessage) compose(budget time.Duration) (b []byte, ownsRoom bool) {
	room := m.headRoom
	ownsRoom = m.roomTaken.CompareAndSwap(false, true)
	if !ownsRoom {
		withBody := make([]byte, len(m.headRoom), len(m.headRoom)+len(m.body))
		withBody = append(withBody, m.body...)
		room = withBody[:len(m.headRoom)]
	}
	var line [maxBudgetLine]byte
	tail := line[:0]
	if budget > 0 {
		tail = append(tail, protocol.HeaderTimeout...)
		tail = append(tail, ": "...)
		tail = protocol.AppendSeconds(tail, budget)
		tail = append(tail, "\r\n"...)
	}
	tail = append(tail, "\r\n"...)
	start := len(room) - len(m.head) - len(tail)
	copy(room[start:], m.head)
	copy(room[start+len(m.head):], tail)
	return room[start : len(room)+len(m.body)], ownsRoom
}

// releaseRoom ends the use of the room by an attempt that owns it.
func (m *requestMessage) releaseRoom(ownsRoom bool) {
	if ownsRoom {
		m.roomTaken.Store(false)
	}
}
