package transport

import (
	"bytes"
	"strconv"
	"strings"
)

// maxHeadFields is the maximum number of header fields of a request. Each costs far more memory and processor time than
// its bytes, since net/http keeps them in a map.
const maxHeadFields = 128

// maxLengthDigits is the maximum number of digits kept of a Content-Length, more than the largest length that net/http
// accepts has.
const maxLengthDigits = 20

// requestFraming parses the boundaries of requests in the raw bytes of a client connection. If a head has both
// Transfer-Encoding and Content-Length, net/http removes Content-Length and uses Transfer-Encoding; a server that uses
// Content-Length instead finds another request in the body. A handler cannot detect this from the parsed request, only
// the raw bytes show it. Requests are numbered from 1.
type requestFraming struct {
	// startedCount is the number of requests that have started: at least one byte was read. The last one is being parsed.
	startedCount int
	// stopped reports whether parsing has stopped. Later requests are neither parsed nor served: the connection closes
	// after the last request that has started.
	stopped bool
	// ambiguous reports whether the head of the last request has a Content-Length and a Transfer-Encoding, two lengths, or
	// a folded line, which can hide one of them.
	ambiguous bool
	// firstBareLF is the number of the first request with a head line that ends without a carriage return, which some
	// servers parse as a different head; 0 if there is none.
	firstBareLF int

	// inMethod reports whether the method of the last request is being parsed.
	inMethod bool
	// firstInvalid is the number of the first request whose method is not in upper case, as all known methods are; 0 if
	// there is none. Behind a body these bytes are its end rather than a request.
	firstInvalid int

	// headBytes is the number of bytes of the last head so far, headLines the number of its lines that have ended.
	headBytes int
	headLines int
	// tooManyFields reports whether the last head has more than maxHeadFields fields.
	tooManyFields bool

	// linePrefix contains the beginning of the current line, in lower case.
	linePrefix [len("transfer-encoding:")]byte
	// linePrefixLen is the number of bytes in linePrefix. When it is full, the rest of the line is ignored.
	linePrefixLen int
	// afterCR reports whether the last byte was a carriage return.
	afterCR bool
	// inHead reports whether the head of a request is being parsed.
	inHead bool
	// inContentLength reports whether the value of a Content-Length is being parsed. digits collects its digits.
	inContentLength bool
	digits          []byte
	// hasContentLength and hasTransferEncoding report whether the head contains the field.
	hasContentLength    bool
	hasTransferEncoding bool

	// bodyLeft is the number of bytes of the body, or of the current chunk, that have not been read.
	bodyLeft int64
	// bodyBytes is the number of bytes behind the last head, the framing of chunks included.
	bodyBytes int64
	// chunked reports whether the body is chunked.
	chunked bool
	// inBody reports whether a chunked body is being parsed.
	inBody bool
	// chunkEndDue reports whether the next line is the empty one that ends a chunk or the body.
	chunkEndDue bool
	// lastChunk reports whether the size line of the last chunk has been parsed.
	lastChunk bool
}

// complete reports whether the nth request has been read completely.
func (f *requestFraming) complete(n int) bool {
	bodyEnded := !f.inHead && !f.inBody && f.bodyLeft == 0
	return f.startedCount > n || f.startedCount == n && bodyEnded && !f.stopped
}

// isAmbiguous reports whether the end of the nth request is ambiguous, judging from the heads up to its own.
func (f *requestFraming) isAmbiguous(n int) bool {
	return f.ambiguous && f.startedCount <= n || f.firstBareLF > 0 && f.firstBareLF <= n
}

// isLast reports whether the connection must close after the nth request: parsing has stopped or the body is chunked,
// and no later request has started.
func (f *requestFraming) isLast(n int) bool { return f.startedCount <= n && (f.stopped || f.chunked) }

// exceedsLength reports whether the bytes behind the nth request cannot be a request: the announced length of its body
// is too small.
func (f *requestFraming) exceedsLength(n int) bool { return f.firstInvalid == n+1 }

// bytesNeeded returns the number of bytes, at most limit, that can be read for the request that has started without
// reading a byte of a later one. It returns limit if parsing has stopped or no request is incomplete.
func (f *requestFraming) bytesNeeded(limit int) int {
	switch {
	case f.stopped:
		return limit
	case f.bodyLeft > 0:
		return int(min(f.bodyLeft, int64(limit)))
	case f.inHead || f.inBody:
		return min(1, limit)
	}
	return limit
}

// feed parses bytes that were read from the connection.
func (f *requestFraming) feed(b []byte) {
	for len(b) > 0 && !f.stopped {
		switch {
		case f.bodyLeft > 0:
			n := min(f.bodyLeft, int64(len(b)))
			f.bodyLeft -= n
			f.bodyBytes += n
			b = b[n:]
		case f.inBody:
			f.feedChunkByte(b[0])
			f.bodyBytes++
			b = b[1:]
		case f.linePrefixLen == len(f.linePrefix) && !f.inContentLength:
			b = f.skipLine(b)
		default:
			f.feedHeadByte(b[0])
			b = b[1:]
		}
	}
	f.bodyBytes += int64(len(b)) // of a body whose end is not known
}

// skipLine skips the rest of a line whose content does not matter, and returns the bytes after the line.
func (f *requestFraming) skipLine(b []byte) []byte {
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		f.headBytes += len(b)
		f.afterCR = b[len(b)-1] == '\r'
		return nil
	}
	f.headBytes += end
	if end > 0 {
		f.afterCR = b[end-1] == '\r'
	}
	f.feedHeadByte('\n')
	return b[end+1:]
}

// feedHeadByte parses a byte of a head.
func (f *requestFraming) feedHeadByte(c byte) {
	if !f.inHead && c != '\r' && c != '\n' { // empty lines before a request are not part of it
		f.inHead = true
		f.inMethod = true
		f.startedCount++
		f.headBytes = 0
		f.headLines = 0
		f.bodyBytes = 0
	}
	f.headBytes++
	f.checkMethod(c)
	if f.firstBareLF == 0 && c == '\n' && !f.afterCR {
		f.firstBareLF = max(f.startedCount, 1)
	}
	f.afterCR = c == '\r'
	switch {
	case c == '\n':
		f.endLine()
	case f.linePrefixLen == 0 && (c == ' ' || c == '\t'): // a folded line
		f.stopAmbiguous()
	case f.inContentLength:
		f.feedLengthByte(c)
	case f.linePrefixLen < len(f.linePrefix):
		f.feedNameByte(c)
	}
}

// checkMethod checks a byte of a method.
func (f *requestFraming) checkMethod(c byte) {
	switch {
	case !f.inMethod:
	case c == ' ':
		f.inMethod = false
	case (c < 'A' || c > 'Z') && f.firstInvalid == 0:
		f.firstInvalid = f.startedCount
	}
}

// feedLengthByte parses a byte of the value of a Content-Length.
func (f *requestFraming) feedLengthByte(c byte) {
	if c >= '0' && c <= '9' && len(f.digits) < maxLengthDigits {
		f.digits = append(f.digits, c)
	}
}

// feedNameByte parses a byte of a field name, or of another beginning of a line.
func (f *requestFraming) feedNameByte(c byte) {
	if 'A' <= c && c <= 'Z' {
		c += 'a' - 'A'
	}
	f.linePrefix[f.linePrefixLen] = c
	f.linePrefixLen++
	if c == ':' {
		f.parseFieldName(f.linePrefix[:f.linePrefixLen])
		f.linePrefixLen = len(f.linePrefix)
	}
}

// parseFieldName processes the name of a field; name includes the colon.
func (f *requestFraming) parseFieldName(name []byte) {
	switch string(name) {
	case "content-length:":
		if f.hasContentLength {
			f.stopAmbiguous()
		}
		f.hasContentLength = true
		f.inContentLength = true
		f.digits = f.digits[:0]
	case "transfer-encoding:":
		f.hasTransferEncoding = true
	}
	if f.hasContentLength && f.hasTransferEncoding {
		f.stopAmbiguous()
	}
}

// stopAmbiguous stops parsing because the end of the request is ambiguous.
func (f *requestFraming) stopAmbiguous() {
	f.ambiguous = true
	f.stopped = true
}

// endLine processes the end of a line of the head. An empty line ends the head.
func (f *requestFraming) endLine() {
	empty := f.linePrefixLen == 0 || f.linePrefixLen == 1 && f.linePrefix[0] == '\r'
	f.linePrefixLen = 0
	f.inContentLength = false
	if !empty {
		f.endHeadLine()
		return
	}
	if f.hasContentLength {
		f.bodyLeft, _ = strconv.ParseInt(string(f.digits), 10, 64) // net/http rejects an invalid number
	}
	f.chunked = f.hasTransferEncoding
	f.inBody = f.hasTransferEncoding
	f.hasContentLength = false
	f.hasTransferEncoding = false
	f.inHead = false
}

// endHeadLine counts a line of the head. Parsing stops if there are too many.
func (f *requestFraming) endHeadLine() {
	f.headLines++
	if f.headLines > maxHeadFields+1 { // the first is the request line
		f.tooManyFields = true
		f.stopped = true
	}
}

// feedChunkByte parses a byte of a chunked body outside of the chunks' data. It accepts only framing that all
// implementations parse alike, which is less than net/http accepts: a chunk with an extension or a bare line feed, or a
// trailer, makes the request the last one.
func (f *requestFraming) feedChunkByte(c byte) {
	switch {
	case c == '\n':
		f.endChunkLine()
	case f.linePrefixLen == len(f.linePrefix):
		f.stopped = true
	default:
		f.linePrefix[f.linePrefixLen] = c
		f.linePrefixLen++
	}
}

// endChunkLine processes the end of a line between chunks.
func (f *requestFraming) endChunkLine() {
	line, ok := strings.CutSuffix(string(f.linePrefix[:f.linePrefixLen]), "\r")
	f.linePrefixLen = 0
	if f.chunkEndDue {
		f.stopped = !ok || line != ""
		f.chunkEndDue = false
		f.inBody = !f.lastChunk
		f.lastChunk = false
		return
	}
	size, err := strconv.ParseUint(line, 16, 62)
	f.stopped = !ok || err != nil
	f.bodyLeft = int64(size)
	f.chunkEndDue = true
	f.lastChunk = size == 0
}
