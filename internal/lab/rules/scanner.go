package rules

import (
	"bytes"
	"hash"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// scanEvent is an event that a scanner reports for the bytes of a connection.
type scanEvent uint8

const (
	needMore         scanEvent = iota // more bytes are needed
	messageBegun                      // the first byte of a message is available
	headComplete                      // the head of the message is complete
	messageComplete                   // the message is complete
	malformedMessage                  // not valid HTTP/1.1; no further bytes can be parsed
)

// Limits on the stored parts of a message, in bytes, and on the values of its
// fields.
const (
	maxHead       = 64 << 10
	maxStoredBody = 8 << 20
	maxBudget     = 3600 // seconds
)

// untilEOF is the value of scanner.remaining for a body that ends with its
// connection.
const untilEOF = -1

// scanner parses the messages in one direction of a connection incrementally. Only
// the judge uses it, so that it shares no defect with the parsers of the modelled
// services and of the node. It is strict: lines must end in CRLF, and a message has
// at most one Content-Length.
type scanner struct {
	answers     bool // it parses answers, not requests
	storeBody   bool // bodies are stored, not only hashed
	answersHEAD bool // the current answer is to a HEAD request; set after messageBegun

	step          func(s *scanner, b []byte) (int, scanEvent) // nil: between messages
	line          []byte                                      // received part of the current line
	headBytesLeft int                                         // remaining bytes of the head's size limit
	atFirstLine   bool                                        // the next line is the first one of the message
	remaining     int64                                       // remaining bytes of the body or chunk

	contentLengthCount    int   // number of Content-Length fields
	length                int64 // value of the last Content-Length field
	transferEncodingCount int   // number of Transfer-Encoding fields
	rejectedCount         int   // number of X-Rejected fields

	bodyHash hash.Hash // nil until a body arrives in pieces
	hashing  bool      // bodyHash covers a part of the current body
	message  message
}

// next parses bytes of b and returns their number. The caller repeats it with
// the rest of b until it returns 0 and needMore.
func (s *scanner) next(b []byte) (n int, e scanEvent) {
	if s.step != nil {
		return s.step(s, b)
	}
	if len(b) == 0 {
		return 0, needMore
	}
	s.begin()
	return 0, messageBegun
}

// begin resets the scanner for a new message.
func (s *scanner) begin() {
	s.message = message{}
	s.atFirstLine = true
	s.headBytesLeft = maxHead
	s.answersHEAD = false
	s.contentLengthCount = 0
	s.length = 0
	s.transferEncodingCount = 0
	s.rejectedCount = 0
	s.step = (*scanner).head
}

// end is called when no more bytes follow. It reports whether that completes the
// current message.
func (s *scanner) end() bool {
	if !s.endsWithConn() {
		return false
	}
	s.finishBody()
	s.step = nil
	return true
}

// endsWithConn reports whether the body of the current message ends with the
// connection.
func (s *scanner) endsWithConn() bool { return s.step != nil && s.remaining == untilEOF }

// discard is the step after a malformed message: it parses no further bytes.
func (s *scanner) discard([]byte) (int, scanEvent) { return 0, needMore }

// fail reports a malformed message after n bytes and ends the parsing.
func (s *scanner) fail(n int) (int, scanEvent) {
	s.step = (*scanner).discard
	s.remaining = 0
	return n, malformedMessage
}

// readLine appends bytes up to the end of a line to s.line and returns their
// number. If complete is true, s.line holds the whole line without its CRLF. ok is
// false for a malformed line or one that exceeds the size limit.
func (s *scanner) readLine(b []byte) (n int, lineComplete, ok bool) {
	n = bytes.IndexByte(b, '\n') + 1
	lineComplete = n > 0
	if !lineComplete {
		n = len(b)
	}
	s.headBytesLeft -= n
	if s.headBytesLeft < 0 {
		return n, false, false
	}
	s.line = append(s.line, b[:n]...)
	if !lineComplete {
		return n, false, true
	}
	if len(s.line) < 2 || s.line[len(s.line)-2] != '\r' {
		return n, true, false
	}
	s.line = s.line[:len(s.line)-2]
	return n, true, true
}

// head parses the next line of the head.
func (s *scanner) head(b []byte) (int, scanEvent) {
	n, complete, ok := s.readLine(b)
	switch {
	case !ok:
		return s.fail(n)
	case !complete:
		return n, needMore
	}
	line := s.line
	s.line = s.line[:0]
	switch {
	case s.atFirstLine:
		s.atFirstLine = false
		ok = s.startLine(string(line))
	case len(line) > 0:
		ok = s.field(line)
	default:
		ok = s.chooseFraming()
		if ok {
			return n, headComplete
		}
	}
	if !ok {
		return s.fail(n)
	}
	return n, needMore
}

// startLine parses the first line of a message and reports whether it is valid.
func (s *scanner) startLine(line string) bool {
	first, rest, _ := strings.Cut(line, " ")
	if !s.answers {
		target, version, _ := strings.Cut(rest, " ")
		s.message.method = first
		s.message.target = target
		return first != "" && target != "" && version == "HTTP/1.1"
	}
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.ParseUint(code, 10, 16)
	s.message.status = int(status)
	known := first == "HTTP/1.1" || first == "HTTP/1.0"
	return known && len(code) == 3 && err == nil &&
		status >= http.StatusContinue && status != http.StatusSwitchingProtocols
}

// field parses a header field and reports whether it is valid.
func (s *scanner) field(line []byte) bool {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 || bytes.ContainsAny(line[:colon], " \t\r") {
		return false
	}
	name := line[:colon]
	value := bytes.Trim(line[colon+1:], " \t")
	switch {
	case isField(name, "Content-Length"):
		return s.contentLength(string(value))
	case isField(name, "Transfer-Encoding"):
		s.transferEncodingCount++
		return s.transferEncodingCount == 1 && strings.EqualFold(string(value), "chunked")
	case isField(name, "Connection"):
		s.connectionOptions(string(value))
	case isField(name, "X-Call-Id"):
		s.message.id = string(value)
		s.message.idCount++
	case isField(name, "X-Call-Class"):
		s.message.class = string(value)
	case isField(name, "X-Budget"):
		s.budget(string(value))
	case isField(name, "X-Rejected"):
		s.rejectedCount++
		s.message.rejected = s.rejectedCount == 1 && string(value) == "1"
	}
	return true
}

// isField reports whether a field has the known name, ignoring case.
func isField(name []byte, known string) bool {
	return len(name) == len(known) && strings.EqualFold(string(name), known)
}

// contentLength parses a Content-Length field and reports whether it is valid and
// the only one.
func (s *scanner) contentLength(value string) bool {
	s.contentLengthCount++
	length, err := strconv.ParseUint(value, 10, 62)
	s.length = int64(length)
	return err == nil && s.contentLengthCount == 1
}

// connectionOptions looks for the option close in a Connection field.
func (s *scanner) connectionOptions(value string) {
	for option := range strings.SplitSeq(value, ",") {
		if strings.EqualFold(strings.TrimSpace(option), "close") {
			s.message.close = true
		}
	}
}

// budget parses an X-Budget field, in seconds. An invalid value counts as absent.
func (s *scanner) budget(value string) {
	seconds, err := strconv.ParseFloat(value, 64)
	if err == nil && seconds > 0 && seconds <= maxBudget {
		s.message.budget = time.Duration(seconds * float64(time.Second))
	}
}
