package rules

import (
	"crypto/sha256"
	"net/http"
	"strconv"
	"strings"
)

// chooseFraming determines from the head how the end of the body is found, and
// reports whether the head is valid in that respect.
func (s *scanner) chooseFraming() bool {
	switch {
	case s.contentLengthCount > 0 && s.transferEncodingCount > 0:
		return false
	case s.answers && s.hasNoBody():
		s.step = (*scanner).complete
	case s.transferEncodingCount > 0:
		s.step = (*scanner).chunkHeader
		s.headBytesLeft = maxHead
	case s.contentLengthCount > 0:
		s.step = (*scanner).fixedBody
		s.remaining = s.length
	case s.answers:
		s.step = (*scanner).bodyUntilEOF
		s.remaining = untilEOF
	default:
		s.step = (*scanner).complete
	}
	return true
}

// hasNoBody reports whether an answer ends with its head regardless of its fields.
func (s *scanner) hasNoBody() bool {
	status := s.message.status
	return status < http.StatusOK || status == http.StatusNoContent || status == http.StatusNotModified ||
		s.answersHEAD
}

// complete is the step after the last byte of a message.
func (s *scanner) complete([]byte) (int, scanEvent) {
	s.finishBody()
	s.step = nil
	return 0, messageComplete
}

// finishBody stores the checksum of a body that arrived in pieces.
func (s *scanner) finishBody() {
	if s.hashing {
		s.bodyHash.Sum(s.message.body.sum[:0])
		s.hashing = false
	}
	s.remaining = 0
}

// addBody adds bytes to the size and checksum of the body, and stores them if
// required.
func (s *scanner) addBody(b []byte) {
	s.message.body.size += int64(len(b))
	if s.storeBody && len(s.message.storedBody)+len(b) <= maxStoredBody {
		s.message.storedBody = append(s.message.storedBody, b...)
	}
	switch {
	case len(b) == 0:
		return
	case s.bodyHash == nil:
		s.bodyHash = sha256.New()
	case !s.hashing:
		s.bodyHash.Reset()
	}
	s.hashing = true
	s.bodyHash.Write(b)
}

// fixedBody parses a body of known length.
func (s *scanner) fixedBody(b []byte) (int, scanEvent) {
	atOnce := s.remaining == s.length && int64(len(b)) >= s.remaining
	if atOnce && s.remaining > 0 && !s.storeBody { // the common case, without an incremental hash
		n := int(s.remaining)
		s.message.body = digest{sum: sha256.Sum256(b[:n]), size: s.remaining}
		s.step = (*scanner).complete
		return n, needMore
	}
	n := int(min(s.remaining, int64(len(b))))
	s.addBody(b[:n])
	s.remaining -= int64(n)
	if s.remaining == 0 {
		s.step = (*scanner).complete
		return s.continueWith(n, b)
	}
	return n, needMore
}

// continueWith runs the next step if the last one parsed no bytes.
func (s *scanner) continueWith(n int, b []byte) (int, scanEvent) {
	if n == 0 {
		return s.step(s, b)
	}
	return n, needMore
}

// bodyUntilEOF parses a body that ends with the connection.
func (s *scanner) bodyUntilEOF(b []byte) (int, scanEvent) {
	s.addBody(b)
	return len(b), needMore
}

// chunkHeader parses the line before a chunk.
func (s *scanner) chunkHeader(b []byte) (int, scanEvent) {
	n, complete, ok := s.readLine(b)
	if !ok {
		return s.fail(n)
	}
	if !complete {
		return n, needMore
	}
	text, _, _ := strings.Cut(string(s.line), ";")
	s.line = s.line[:0]
	size, err := strconv.ParseUint(strings.TrimRight(text, " \t"), 16, 62)
	switch {
	case err != nil:
		return s.fail(n)
	case size == 0:
		s.step = (*scanner).trailer
	default:
		s.step = (*scanner).chunkBody
		s.remaining = int64(size)
	}
	return n, needMore
}

// chunkBody parses the data of a chunk.
func (s *scanner) chunkBody(b []byte) (int, scanEvent) {
	n := int(min(s.remaining, int64(len(b))))
	s.addBody(b[:n])
	s.remaining -= int64(n)
	if s.remaining == 0 {
		s.step = (*scanner).chunkEnd
		s.headBytesLeft = maxHead
	}
	return n, needMore
}

// chunkEnd parses the CRLF after a chunk.
func (s *scanner) chunkEnd(b []byte) (int, scanEvent) {
	n, complete, ok := s.readLine(b)
	if !ok || len(s.line) > 2 || complete && len(s.line) > 0 {
		return s.fail(n)
	}
	if complete {
		s.step = (*scanner).chunkHeader
	}
	return n, needMore
}

// trailer parses a line after the last chunk.
func (s *scanner) trailer(b []byte) (int, scanEvent) {
	n, complete, ok := s.readLine(b)
	switch {
	case !ok:
		return s.fail(n)
	case !complete:
		return n, needMore
	case len(s.line) == 0:
		s.step = (*scanner).complete
	}
	s.line = s.line[:0]
	return n, needMore
}
