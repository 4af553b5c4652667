package transport

import (
	"bytes"
	"strconv"
	"strings"
)

// maxLengthDigits is above what net/http takes for a length.
const maxLengthDigits = 20

// requestFraming follows the requests on a client connection, in the raw bytes. Where Transfer-Encoding stands
// beside Content-Length, net/http takes the latter out and goes by the former; whoever goes by the latter finds
// another request in the body. A handler cannot see that: only the bytes tell. Requests are counted from 1.
type requestFraming struct {
	// started counts the requests of which a byte has come. The last one is followed.
	started int
	// stopped: nothing further is followed, nor served: the connection ends with the last one started.
	stopped bool
	// ambiguous: the head of the last one has a Content-Length and a Transfer-Encoding, or two lengths, or a folded line,
	// which can hide one.
	ambiguous bool
	// firstBareLF is the first request of whose head a line ended without a carriage return: some servers read another
	// head then; 0: none.
	firstBareLF int

	// line is how the current line begins, in lower case.
	line [len("transfer-encoding:")]byte
	// lineLen is how many bytes of it have come; at its length the rest does not matter.
	lineLen int
	// afterCR: the last byte was a carriage return.
	afterCR bool
	// inHead: the head has not ended yet.
	inHead bool
	// inValue: the next bytes are those of a Content-Length, whose digits are collected.
	inValue bool
	digits  []byte
	// hasContentLength and hasTransferEncoding: the head has such a field.
	hasContentLength    bool
	hasTransferEncoding bool

	// bodyLeft is how many bytes of a body, or of a chunk, are still to come.
	bodyLeft int64
	// chunked: the body is in chunks.
	chunked bool
	// inBody: a body in chunks has not ended yet.
	inBody bool
	// chunkEndDue: the line that ends a chunk is due, or the body.
	chunkEndDue bool
	// lastChunk: the last chunk has come.
	lastChunk bool
}

// complete reports whether all of the nth request has come.
func (f *requestFraming) complete(n int) bool {
	bodyEnded := !f.inHead && !f.inBody && f.bodyLeft == 0
	return f.started > n || f.started == n && bodyEnded && !f.stopped
}

// ambiguousAt reports whether the head of the nth request leaves any doubt about where it ends.
func (f *requestFraming) ambiguousAt(n int) bool {
	return f.ambiguous && f.started <= n || f.firstBareLF > 0 && f.firstBareLF <= n
}

// isLast reports whether the connection ends with the nth request, unless another has started behind it.
func (f *requestFraming) isLast(n int) bool { return f.started <= n && (f.stopped || f.chunked) }

// bytesNeeded is how many bytes, of so many at most, can be read for the request that has started, and surely for no
// further one.
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

// feed takes in what was read from the connection.
func (f *requestFraming) feed(b []byte) {
	for len(b) > 0 && !f.stopped {
		switch {
		case f.bodyLeft > 0:
			n := min(f.bodyLeft, int64(len(b)))
			f.bodyLeft -= n
			b = b[n:]
		case f.inBody:
			f.feedChunkByte(b[0])
			b = b[1:]
		case f.lineLen == len(f.line) && !f.inValue:
			b = f.skipLine(b)
		default:
			f.feedHeadByte(b[0])
			b = b[1:]
		}
	}
}

// skipLine takes in the rest of a line of which only the end matters, and returns the bytes behind it.
func (f *requestFraming) skipLine(b []byte) []byte {
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		f.afterCR = b[len(b)-1] == '\r'
		return nil
	}
	if end > 0 {
		f.afterCR = b[end-1] == '\r'
	}
	f.feedHeadByte('\n')
	return b[end+1:]
}

// feedHeadByte takes in a byte of a head.
func (f *requestFraming) feedHeadByte(c byte) {
	if !f.inHead && c != '\r' && c != '\n' { // empty lines ahead of a request are no part of it
		f.inHead = true
		f.started++
	}
	if f.firstBareLF == 0 && c == '\n' && !f.afterCR {
		f.firstBareLF = max(f.started, 1)
	}
	f.afterCR = c == '\r'
	switch {
	case c == '\n':
		f.endLine()
	case f.lineLen == 0 && (c == ' ' || c == '\t'): // a folded line
		f.stopAmbiguous()
	case f.inValue:
		f.feedLengthByte(c)
	case f.lineLen < len(f.line):
		f.feedNameByte(c)
	}
}

// feedLengthByte takes in a byte of a Content-Length.
func (f *requestFraming) feedLengthByte(c byte) {
	if c >= '0' && c <= '9' && len(f.digits) < maxLengthDigits {
		f.digits = append(f.digits, c)
	}
}

// feedNameByte takes in a byte of a field's name, or of what else a line begins with.
func (f *requestFraming) feedNameByte(c byte) {
	if 'A' <= c && c <= 'Z' {
		c += 'a' - 'A'
	}
	f.line[f.lineLen] = c
	f.lineLen++
	if c == ':' {
		f.fieldName(f.line[:f.lineLen])
		f.lineLen = len(f.line)
	}
}

// fieldName takes in the name of a field, with its colon.
func (f *requestFraming) fieldName(name []byte) {
	switch string(name) {
	case "content-length:":
		if f.hasContentLength {
			f.stopAmbiguous()
		}
		f.hasContentLength = true
		f.inValue = true
		f.digits = f.digits[:0]
	case "transfer-encoding:":
		f.hasTransferEncoding = true
	}
	if f.hasContentLength && f.hasTransferEncoding {
		f.stopAmbiguous()
	}
}

// stopAmbiguous follows nothing further, since the end of the request is in doubt.
func (f *requestFraming) stopAmbiguous() {
	f.ambiguous = true
	f.stopped = true
}

// endLine takes in the end of a line of the head; the empty one ends the head.
func (f *requestFraming) endLine() {
	empty := f.lineLen == 0 || f.lineLen == 1 && f.line[0] == '\r'
	f.lineLen = 0
	f.inValue = false
	if !empty {
		return
	}
	if f.hasContentLength {
		f.bodyLeft, _ = strconv.ParseInt(string(f.digits), 10, 64) // net/http rejects what is no number
	}
	f.chunked = f.hasTransferEncoding
	f.inBody = f.hasTransferEncoding
	f.hasContentLength = false
	f.hasTransferEncoding = false
	f.inHead = false
}

// feedChunkByte takes in a byte of a body in chunks, outside of the chunks' bytes. It accepts only what nobody reads
// otherwise, which is less than net/http does: a chunk with an extension or a bare line feed, or a trailer, makes the
// request the last one.
func (f *requestFraming) feedChunkByte(c byte) {
	switch {
	case c == '\n':
		f.endChunkLine()
	case f.lineLen == len(f.line):
		f.stopped = true
	default:
		f.line[f.lineLen] = c
		f.lineLen++
	}
}

// endChunkLine takes in the end of a line between chunks.
func (f *requestFraming) endChunkLine() {
	line, ok := strings.CutSuffix(string(f.line[:f.lineLen]), "\r")
	f.lineLen = 0
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
