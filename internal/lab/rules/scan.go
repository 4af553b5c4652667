package rules

import (
	"bytes"
	"crypto/sha256"
	"hash"
	"strconv"
	"strings"
	"time"
)

// event is what a scanner meets.
type event uint8

const (
	none   event = iota // more bytes are needed
	begun               // the first byte of a message is there
	headed              // its head is whole
	whole               // all of it is there
	spoilt              // this cannot be HTTP/1.1; nothing behind it can be read
)

// digest stands for a body.
type digest struct {
	sum  [sha256.Size]byte // zeros for none
	size int64
}

// message is what the judge needs of a request or an answer.
type message struct {
	method, target string // of a request
	status         int    // of an answer
	id, class      string
	ids            int // how many X-Call-Id there are
	budget         time.Duration
	rejected       bool // X-Rejected: 1, once
	last           bool // Connection: close
	body           digest
	text           []byte // the body itself, where it is kept
}

// Bounds on what is held of a message.
const (
	maxHead = 64 << 10
	maxText = 8 << 20
)

// scanner finds the messages in one direction of a connection, as bytes come.
// It is the judge's own, so that it shares no mistake with the world's reader
// or the node's. It is strict: lines end in CRLF, lengths are plain and single.
type scanner struct {
	answers bool // else requests
	keep    bool // the bodies
	empty   bool // the answer at hand is one to HEAD: set between begun and headed

	step    func(s *scanner, b []byte) (int, event) // nil: between messages
	line    []byte                                  // as far as it has come
	room    int                                     // bytes that the head may still take
	first   bool                                    // the next line is the first
	left    int64                                   // of the body, or of a chunk
	sizes   int                                     // Content-Length lines
	size    int64                                   // what they say
	codes   int                                     // Transfer-Encoding lines
	marks   int                                     // X-Rejected lines
	sum     hash.Hash                               // nil until a body comes in pieces
	summing bool                                    // sum holds a part of the body
	m       message
}

// next reads some of b. It is called until it takes nothing and returns none.
func (s *scanner) next(b []byte) (n int, e event) {
	if s.step != nil {
		return s.step(s, b)
	}
	if len(b) == 0 {
		return 0, none
	}
	s.m, s.first, s.room, s.empty = message{}, true, maxHead, false
	s.sizes, s.size, s.codes, s.marks = 0, 0, 0, 0
	s.step = (*scanner).head
	return 0, begun
}

// end tells that no bytes come any more; it reports whether that makes the
// message at hand whole.
func (s *scanner) end() bool {
	if !s.open() {
		return false
	}
	s.finish()
	s.step = nil
	return true
}

// open reports whether the message at hand lasts until the connection's end.
func (s *scanner) open() bool { return s.step != nil && s.left < 0 }

func (s *scanner) fail([]byte) (int, event) { return 0, none }

func (s *scanner) spoil(n int) (int, event) {
	s.step, s.left = (*scanner).fail, 0
	return n, spoilt
}

// upToLine takes in bytes up to a line's end; got: s.line is whole, without it.
func (s *scanner) upToLine(b []byte) (n int, got, ok bool) {
	n = bytes.IndexByte(b, '\n') + 1
	if got = n > 0; !got {
		n = len(b)
	}
	if s.room -= n; s.room < 0 {
		return n, false, false
	}
	s.line = append(s.line, b[:n]...)
	if !got {
		return n, false, true
	}
	if len(s.line) < 2 || s.line[len(s.line)-2] != '\r' {
		return n, true, false
	}
	s.line = s.line[:len(s.line)-2]
	return n, true, true
}

func (s *scanner) head(b []byte) (int, event) {
	n, got, ok := s.upToLine(b)
	switch {
	case !ok:
		return s.spoil(n)
	case !got:
		return n, none
	}
	line := s.line
	s.line = s.line[:0]
	switch {
	case s.first:
		s.first = false
		ok = s.start(string(line))
	case len(line) > 0:
		ok = s.field(line)
	default:
		if ok = s.frame(); ok {
			return n, headed
		}
	}
	if !ok {
		return s.spoil(n)
	}
	return n, none
}

// start reads the first line.
func (s *scanner) start(line string) bool {
	a, rest, _ := strings.Cut(line, " ")
	if !s.answers {
		target, version, _ := strings.Cut(rest, " ")
		s.m.method, s.m.target = a, target
		return a != "" && target != "" && version == "HTTP/1.1"
	}
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.ParseUint(code, 10, 16)
	s.m.status = int(status)
	known := a == "HTTP/1.1" || a == "HTTP/1.0"
	return known && len(code) == 3 && err == nil && status >= 100 && status != 101
}

// field reads a line of the head.
func (s *scanner) field(line []byte) bool {
	i := bytes.IndexByte(line, ':')
	if i <= 0 || bytes.ContainsAny(line[:i], " \t\r") {
		return false
	}
	name, value := line[:i], bytes.Trim(line[i+1:], " \t")
	is := func(known string) bool { return len(name) == len(known) && strings.EqualFold(string(name), known) }
	switch {
	case is("Content-Length"):
		s.sizes++
		size, err := strconv.ParseUint(string(value), 10, 62)
		s.size = int64(size)
		return err == nil && s.sizes == 1
	case is("Transfer-Encoding"):
		s.codes++
		return s.codes == 1 && strings.EqualFold(string(value), "chunked")
	case is("Connection"):
		for word := range strings.SplitSeq(string(value), ",") {
			s.m.last = s.m.last || strings.EqualFold(strings.TrimSpace(word), "close")
		}
	case is("X-Call-Id"):
		s.m.id = string(value)
		s.m.ids++
	case is("X-Call-Class"):
		s.m.class = string(value)
	case is("X-Budget"):
		v, err := strconv.ParseFloat(string(value), 64)
		if err == nil && v > 0 && v <= 3600 {
			s.m.budget = time.Duration(v * float64(time.Second))
		}
	case is("X-Rejected"):
		s.marks++
		s.m.rejected = s.marks == 1 && string(value) == "1"
	}
	return true
}

// frame finds out from the head how the body ends.
func (s *scanner) frame() bool {
	switch {
	case s.sizes > 0 && s.codes > 0:
		return false
	case s.answers && (s.m.status < 200 || s.m.status == 204 || s.m.status == 304 || s.empty):
		s.step = (*scanner).done
	case s.codes > 0:
		s.step, s.room = (*scanner).chunk, maxHead
	case s.sizes > 0:
		s.step, s.left = (*scanner).body, s.size
	case s.answers:
		s.step, s.left = (*scanner).rest, -1
	default:
		s.step = (*scanner).done
	}
	return true
}

// done follows the last byte of a message.
func (s *scanner) done([]byte) (int, event) {
	s.finish()
	s.step = nil
	return 0, whole
}

// finish closes the sum of the body.
func (s *scanner) finish() {
	if s.summing {
		s.sum.Sum(s.m.body.sum[:0])
		s.summing = false
	}
	s.left = 0
}

// add takes in some of the body.
func (s *scanner) add(b []byte) {
	s.m.body.size += int64(len(b))
	if s.keep && len(s.m.text)+len(b) <= maxText {
		s.m.text = append(s.m.text, b...)
	}
	switch {
	case len(b) == 0:
		return
	case s.sum == nil:
		s.sum = sha256.New()
	case !s.summing:
		s.sum.Reset()
	}
	s.summing = true
	s.sum.Write(b)
}

func (s *scanner) body(b []byte) (int, event) {
	if s.left == s.size && int64(len(b)) >= s.left && s.left > 0 && !s.keep { // all at once: the usual case
		n := int(s.left)
		s.m.body = digest{sha256.Sum256(b[:n]), s.left}
		s.step = (*scanner).done
		return n, none
	}
	n := int(min(s.left, int64(len(b))))
	s.add(b[:n])
	if s.left -= int64(n); s.left == 0 {
		s.step = (*scanner).done
		return s.after(n, b)
	}
	return n, none
}

// after goes on with the next step where the last one took nothing.
func (s *scanner) after(n int, b []byte) (int, event) {
	if n == 0 {
		return s.step(s, b)
	}
	return n, none
}

// rest is a body that ends with the connection.
func (s *scanner) rest(b []byte) (int, event) {
	s.add(b)
	return len(b), none
}

// chunk reads the line ahead of a chunk.
func (s *scanner) chunk(b []byte) (int, event) {
	n, got, ok := s.upToLine(b)
	if !ok {
		return s.spoil(n)
	}
	if !got {
		return n, none
	}
	text, _, _ := strings.Cut(string(s.line), ";")
	s.line = s.line[:0]
	size, err := strconv.ParseUint(strings.TrimRight(text, " \t"), 16, 62)
	switch {
	case err != nil:
		return s.spoil(n)
	case size == 0:
		s.step = (*scanner).trailer
	default:
		s.step, s.left = (*scanner).chunkBody, int64(size)
	}
	return n, none
}

func (s *scanner) chunkBody(b []byte) (int, event) {
	n := int(min(s.left, int64(len(b))))
	s.add(b[:n])
	if s.left -= int64(n); s.left == 0 {
		s.step, s.room = (*scanner).chunkEnd, maxHead
	}
	return n, none
}

func (s *scanner) chunkEnd(b []byte) (int, event) {
	n, got, ok := s.upToLine(b)
	if !ok || len(s.line) > 2 || got && len(s.line) > 0 {
		return s.spoil(n)
	}
	if got {
		s.step = (*scanner).chunk
	}
	return n, none
}

func (s *scanner) trailer(b []byte) (int, event) {
	n, got, ok := s.upToLine(b)
	switch {
	case !ok:
		return s.spoil(n)
	case !got:
		return n, none
	case len(s.line) == 0:
		s.step = (*scanner).done
	}
	s.line = s.line[:0]
	return n, none
}
