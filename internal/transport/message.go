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
type message struct {
	method string
	head   []byte // but for the budget's line and the empty one
	room   []byte // for both, and the head again; the body follows it
	body   []byte
	buf    *buffer
	home   *buffers
	users  atomic.Int32
	taken  atomic.Bool // room is, by a try that writes

	from    interface{ left() bool } // the client connection; nil: none
	arrived time.Time                // zero: some time ago
	up      *upload                  // the body, where it is too long to be kept; nil: it is all here
}

// atOnce is how long after its call has come a first try leaves without a look at the client.
const atOnce = 250 * time.Microsecond

// left reports whether the client is found to have gone before a try leaves. It
// guards the peers against tries for nobody, which a client connection that is
// not watched yet would let pass.
func (m *message) left(attempt int, now time.Time) bool {
	return m.from != nil && (attempt > 0 || now.Sub(m.arrived) > atOnce) && m.from.left()
}

// budgetLine is room for the longest line with a budget, and the empty line.
const budgetLine = len(protocol.HeaderTimeout) + len(": 3600.000\r\n\r\n")

// newMessage makes a message, held by its maker, of what concerns more than one
// connection. The body, of so many bytes, is still to be read.
//
// One that is longer than a message keeps, or of unknown length (-1), has no room.
func newMessage(home *buffers, method, target, host string, header http.Header, announced int64) *message {
	length := int(announced)
	if announced < 0 || announced > protocol.MaxBodyBytes {
		length = 0
	}
	var few [24]string
	names := few[:0]
	size := len(method) + len(target) + len(host) + 80
	hops := hopsOf(header["Connection"])
	for name, values := range header {
		if name == protocol.HeaderTimeout || hopByHop(name) || slices.Contains(hops, name) {
			continue
		}
		names = append(names, name)
		for _, v := range values {
			size += len(name) + len(v) + 4
		}
	}
	slices.Sort(names)
	m := &message{method: method, home: home, buf: home.take(2*size + budgetLine + length)}
	m.users.Store(1)
	h := append(m.buf.b[:0], method...)
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
	end := 2*len(h) + budgetLine
	m.head, m.room, m.body = h, m.buf.b[len(h):end], m.buf.b[end:end+length]
	return m
}

// hold keeps the buffer for one more user, unless the last is gone.
func (m *message) hold() bool {
	for {
		n := m.users.Load()
		if n == 0 {
			return false
		}
		if m.users.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// release ends a user's hold.
func (m *message) release() {
	if m.users.Add(-1) == 0 {
		m.home.give(m.buf)
	}
}

// compose gives a try's bytes, which are to be written before wrote is called,
// with the budget left unless that is 0.
// Room is for one try at a time: another that writes meanwhile gets a copy.
func (m *message) compose(budget time.Duration) (b []byte, own bool) {
	room := m.room
	if own = m.taken.CompareAndSwap(false, true); !own {
		room = append(make([]byte, len(m.room), len(m.room)+len(m.body)), m.body...)[:len(m.room)]
	}
	var line [budgetLine]byte
	tail := line[:0]
	if budget > 0 {
		tail = append(append(tail, protocol.HeaderTimeout...), ": "...)
		tail = append(protocol.AppendSeconds(tail, budget), "\r\n"...)
	}
	tail = append(tail, "\r\n"...)
	start := len(room) - len(m.head) - len(tail)
	copy(room[start:], m.head)
	copy(room[start+len(m.head):], tail)
	return room[start : len(room)+len(m.body)], own
}

// wrote frees the room again.
func (m *message) wrote(own bool) {
	if own {
		m.taken.Store(false)
	}
}

// reply is a peer's answer to a served try. Whoever is given it owns its buffer.
type reply struct {
	fields []field // end to end only
	body   []byte
	length [1]string // of body, for the client's head
	buf    *buffer   // that body stands in; nil: none
	rest   *rest     // nil: body is all of it
}

// putInto puts the answer's fields into a header, which refers to them from then on.
func (p *reply) putInto(h http.Header) {
	for i := range p.fields {
		f := &p.fields[i]
		if old := h[f.name]; old != nil {
			h[f.name] = append(old[:len(old):len(old)], f.value[0])
		} else {
			h[f.name] = f.value[:]
		}
	}
	switch {
	case p.rest == nil:
		p.length[0] = strconv.Itoa(len(p.body))
	case p.rest.length >= 0:
		p.length[0] = strconv.FormatInt(p.rest.length, 10)
	default: // net/http sends it in chunks
		return
	}
	h["Content-Length"] = p.length[:]
}

// free gives the buffer back; the body must not be used any more.
func (p *reply) free() {
	if p.buf != nil {
		p.buf.home.give(p.buf)
		p.buf, p.body = nil, nil
	}
}

// field is a line of a head. Its value is an array so that a header can refer to it.
type field struct {
	name  string // in canonical form
	value [1]string
}

// hopByHop reports whether a header, in canonical form, concerns one connection only.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// hopsOf are the headers that Connection names: they concern one connection only, too.
func hopsOf(lists []string) (names []string) {
	for _, list := range lists {
		for name := range strings.SplitSeq(list, ",") {
			names = append(names, canonical(strings.TrimSpace(name)))
		}
	}
	return names
}

// errTooLarge says that a body has more bytes than the protocol allows.
var errTooLarge = errors.New("too large")

// readBody reads the body that a message's head announces. Room was made once:
// growing buffers of many calls at a time would take much of a small machine's memory.
func (m *message) readBody(r io.Reader, k *clientConn) error {
	body := m.body
	for got := 0; got < len(body); {
		n, err := r.Read(body[got:])
		if got += n; got == len(body) {
			break
		}
		if err != nil {
			return unexpected(err)
		}
		k.pace(int64(got))
	}
	_, err := r.Read(m.room[:1]) // the end of the body frees its connection
	if err == io.EOF {
		err = nil
	}
	return err
}
