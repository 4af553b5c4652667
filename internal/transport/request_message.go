package transport

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"olivebridge/internal/protocol"
)

// message is a client's request as it goes to peers; it is a call's payload. A
// buffer holds its head, room for one try's head with the budget in it, and
// right behind that the body: a try leaves by one write, and no body is copied.
//
// The front and every try hold the message while they use it, and the last one
// gives the buffer back. Nobody can hold it again then, so a try that begins
// too late is never sent, and one that hangs keeps the buffer from all others.
type requestMessage struct {
	method    string
	head      []byte // but for the budget's line and the empty one
	headRoom  []byte // for both, and the head again; the body follows it
	body      []byte
	buf       *pooledBuffer
	buffers   *bufferPool
	holders   atomic.Int32
	roomTaken atomic.Bool // room is, by a try that writes

	client  presence  // the client connection; nil: none
	arrived time.Time // zero: some time ago
	upload  *upload   // the body, where it is too long to be kept; nil: it is all here
}

// atOnce is how long after its call has come a first try leaves without a look at the client.
const immediateSend = 250 * time.Microsecond

// left reports whether the client is found to have gone before a try leaves. It
// guards the peers against tries for nobody, which a client connection that is
// not watched yet would let pass.
func (m *requestMessage) clientLeft(attempt int, now time.Time) bool {
	return m.client != nil && (attempt > 0 || now.Sub(m.arrived) > immediateSend) && m.client.hasLeft()
}

// budgetLine is room for the longest line with a budget, and the empty line.
const maxBudgetLine = len(protocol.HeaderBudget) + len(": 3600.000\r\n\r\n")

// newMessage makes a message, held by its maker, of what concerns more than one
// connection. The body, of so many bytes, is still to be read.
//
// One that is longer than a message keeps, or of unknown length (-1), has no room.
func newMessage(home *bufferPool, method, target, host string, header http.Header, announced int64) *requestMessage {
	length := int(announced)
	if announced < 0 || announced > protocol.MaxBody {
		length = 0
	}
	var few [24]string
	names := few[:0]
	size := len(method) + len(target) + len(host) + 80
	hops := connectionOptions(header["Connection"])
	for name, values := range header {
		if name == protocol.HeaderBudget || isHopByHop(name) || slices.Contains(hops, name) {
			continue
		}
		names = append(names, name)
		for _, v := range values {
			size += len(name) + len(v) + 4
		}
	}
	slices.Sort(names)
	m := &requestMessage{method: method, buffers: home, buf: home.get(2*size + maxBudgetLine + length)}
	m.holders.Store(1)
	h := append(m.buf.bytes[:0], method...)
	h = append(append(append(h, ' '), target...), " HTTP/1.1\r\nHost: "...)
	h = append(append(h, host...), "\r\n"...)
	switch {
	case announced < 0:
		h = append(h, "Transfer-Encoding: chunked\r\n"...)
	case announced > 0 || method != http.MethodGet:
		h = append(strconv.AppendInt(append(h, "Content-Length: "...), announced, 10), "\r\n"...)
	}
	for _, name := range names {
		for _, v := range header[name] {
			h = append(append(append(append(h, name...), ": "...), v...), "\r\n"...)
		}
	}
	end := 2*len(h) + maxBudgetLine
	m.head, m.headRoom, m.body = h, m.buf.bytes[len(h):end], m.buf.bytes[end:end+length]
	return m
}

// hold keeps the buffer for one more user, unless the last is gone.
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

// compose gives a try's bytes, which are to be written before wrote is called,
// with the budget left unless that is 0.
// Room is for one try at a time: another that writes meanwhile gets a copy.
func (m *requestMessage) compose(budget time.Duration) (b []byte, own bool) {
	room := m.headRoom
	if own = m.roomTaken.CompareAndSwap(false, true); !own {
		room = append(make([]byte, len(m.headRoom), len(m.headRoom)+len(m.body)), m.body...)[:len(m.headRoom)]
	}
	var line [maxBudgetLine]byte
	tail := line[:0]
	if budget > 0 {
		tail = append(append(tail, protocol.HeaderBudget...), ": "...)
		tail = append(protocol.AppendSeconds(tail, budget), "\r\n"...)
	}
	tail = append(tail, "\r\n"...)
	start := len(room) - len(m.head) - len(tail)
	copy(room[start:], m.head)
	copy(room[start+len(m.head):], tail)
	return room[start : len(room)+len(m.body)], own
}

// wrote frees the room again.
func (m *requestMessage) releaseRoom(own bool) {
	if own {
		m.roomTaken.Store(false)
	}
}

// reply is a peer's answer to a served try. Whoever is given it owns its buffer.
type response struct {
	fields        []headerField // end to end only
	body          []byte
	contentLength [1]string       // of body, for the client's head
	buf           *pooledBuffer   // that body stands in; nil: none
	stream        *responseStream // nil: body is all of it
}

// putInto puts the answer's fields into a header, which refers to them from then on.
func (p *response) copyHeader(h http.Header) {
	for i := range p.fields {
		f := &p.fields[i]
		if old := h[f.name]; old != nil {
			h[f.name] = append(old[:len(old):len(old)], f.value[0])
		} else {
			h[f.name] = f.value[:]
		}
	}
	switch {
	case p.stream == nil:
		p.contentLength[0] = strconv.Itoa(len(p.body))
	case p.stream.length >= 0:
		p.contentLength[0] = strconv.FormatInt(p.stream.length, 10)
	default: // net/http sends it in chunks
		return
	}
	h["Content-Length"] = p.contentLength[:]
}

// free gives the buffer back; the body must not be used any more.
func (p *response) freeBuffer() {
	if p.buf != nil {
		p.buf.pool.put(p.buf)
		p.buf, p.body = nil, nil
	}
}

// field is a line of a head. Its value is an array so that a header can refer to it.
type headerField struct {
	name  string // in canonical form
	value [1]string
}

// hopByHop reports whether a header, in canonical form, concerns one connection only.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// hopsOf are the headers that Connection names: they concern one connection only, too.
func connectionOptions(lists []string) (names []string) {
	for _, list := range lists {
		for name := range strings.SplitSeq(list, ",") {
			names = append(names, canonicalHeader(strings.TrimSpace(name)))
		}
	}
	return names
}

// errTooLarge says that a body has more bytes than the protocol allows.
var errTooLarge = errors.New("too large")

// readBody reads the body that a message's head announces. Room was made once:
// growing buffers of many calls at a time would take much of a small machine's memory.
func (m *requestMessage) readBody(r io.Reader, k *clientConn) error {
	body := m.body
	for got := 0; got < len(body); {
		n, err := r.Read(body[got:])
		if got += n; got == len(body) {
			break
		}
		if err != nil {
			return noEOF(err)
		}
		k.allowNextBytes(int64(got))
	}
	_, err := r.Read(m.headRoom[:1]) // the end of the body frees its connection
	if err == io.EOF {
		err = nil
	}
	return err
}
