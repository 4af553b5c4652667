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

// ImmediateSendWindow is the time after the arrival of a call within which its first attempt is sent without checking
// whether the client has disconnected.
const ImmediateSendWindow = 250 * time.Microsecond

// maxUnknownPresence is the time after the arrival of a call within which its client cannot have left for longer than
// 0.1 s, after which no attempt may begin.
const maxUnknownPresence = 80 * time.Millisecond

// maxBudgetLine is the length in bytes of the longest budget line, together with the empty line.
const maxBudgetLine = len(protocol.HeaderTimeout) + len(": 3600.000\r\n\r\n")

// requestMessage is the request of a client in the form in which it is sent to servers. It is the payload of a call.
// Its buffer contains the head, space for the head of one attempt with the budget in it, and directly after that the
// body: an attempt is sent with one write, and no body is copied.
//
// The frontend and every attempt hold a reference to the message while they use it; the last release returns the buffer
// to its pool. After that the message cannot be retained again, so an attempt that begins too late is never sent, and
// an attempt that hangs keeps the buffer from being reused.
type requestMessage struct {
	method string
	// head contains the request line and the header, without the budget line and the empty line.
	head []byte
	// headRoom is space for head, the budget line and the empty line of one attempt. The body follows it.
	headRoom []byte
	body     []byte
	// upload is the body if it is too long to be buffered; if nil, body contains all of it.
	upload *upload

	buf     *pooledBuffer // contains head, headRoom and body
	buffers *bufferPool   // the pool of buf
	// refCount is the number of users of the message.
	refCount atomic.Int32
	// headRoomInUse reports whether an attempt that is being written uses headRoom.
	headRoomInUse atomic.Bool

	// client is the client connection; if nil, a disconnect does not end the call.
	client disconnectChecker
	// reserved is the memory that is charged to the budget of buffers in addition to buf.
	reserved int64
	// arrivedAt is the arrival time of the call; zero if the call was pipelined and may have arrived long ago.
	arrivedAt time.Time
}

// newMessage returns a message with the end-to-end header fields, to which the caller holds a reference. announced is
// the length of the body, which the caller must still read into the message. The message has no space for a body that
// is too long to be buffered or has unknown length (-1).
func newMessage(buffers *bufferPool, method, target, host string, header http.Header, announced int64) *requestMessage {
	bodyLen := int(announced)
	if announced < 0 || announced > protocol.MaxBufferedBody {
		bodyLen = 0
	}
	var few [24]string // avoids allocating the names of most headers
	names, fieldsSize := endToEndNames(few[:0], header)
	const requestLine = 80 // including the Host and Content-Length lines, without their values
	headSize := len(method) + len(target) + len(host) + requestLine + fieldsSize
	m := &requestMessage{method: method, buffers: buffers, buf: buffers.get(2*headSize + maxBudgetLine + bodyLen)}
	m.refCount.Store(1)
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

// endToEndNames appends the names of the header fields that are forwarded to servers, sorted, and returns the number of
// bytes of their lines.
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

// readBody reads the body whose length the head announces, into the space that newMessage reserved: buffers that grow,
// for many calls at once, would use much of a small machine's memory.
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
	_, err := r.Read(m.headRoom[:1]) // lets net/http watch the connection again
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// clientLeft reports, before an attempt is sent, whether the client has disconnected. It saves the servers attempts
// whose response nobody receives, because a client connection is not watched yet at the beginning of a call. A client
// whose pipelined requests may hide its close counts as disconnected; the unread bytes of an upload are the call's own.
func (m *requestMessage) clientLeft(attempt int, now time.Time) bool {
	if m.client == nil || attempt == 0 && now.Sub(m.arrivedAt) <= ImmediateSendWindow {
		return false
	}
	if m.client.hasDisconnected() {
		return true
	}
	return m.upload == nil && now.Sub(m.arrivedAt) >= maxUnknownPresence && m.client.mayHideClose()
}

// retain adds a reference to the message and reports whether it succeeded. It fails once the last reference is
// released.
func (m *requestMessage) retain() bool {
	for {
		n := m.refCount.Load()
		if n == 0 {
			return false
		}
		if m.refCount.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// release removes a reference to the message.
func (m *requestMessage) release() {
	if m.refCount.Add(-1) == 0 {
		m.buffers.budget.release(m.reserved)
		m.buffers.put(m.buf)
	}
}

// compose returns the bytes of an attempt, with the remaining budget unless that is 0. The bytes are valid until
// releaseRoom is called with ownsRoom. headRoom serves one attempt at a time: an attempt that is composed meanwhile
// gets a copy.
func (m *requestMessage) compose(budget time.Duration) (b []byte, ownsRoom bool) {
	room := m.headRoom
	ownsRoom = m.headRoomInUse.CompareAndSwap(false, true)
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

// releaseRoom ends the use of headRoom by an attempt that owns it.
func (m *requestMessage) releaseRoom(ownsRoom bool) {
	if ownsRoom {
		m.headRoomInUse.Store(false)
	}
}
