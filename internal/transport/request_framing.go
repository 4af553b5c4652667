package transport

import (
	"bytes"
	"strconv"
	"strings"
)

// framing follows the requests on a client connection, in the raw bytes. Where
// Transfer-Encoding stands beside Content-Length, net/http takes the latter out
// and goes by the former; whoever goes by the latter finds another request in
// the body. A handler cannot see that: only the bytes tell.
type requestFraming struct {
	line                [len("transfer-encoding:")]byte // how the current line begins, in lower case
	lineLen             int                             // bytes of it; at its length the rest does not matter
	inValue             bool                            // of a length
	digits              []byte
	hasContentLength    bool  // the head has a Content-Length
	hasTransferEncoding bool  // the head has a Transfer-Encoding
	bodyLeft            int64 // bytes of a body, or of a chunk, still to come
	chunked             bool  // the last begun has a body in chunks
	inBody              bool  // which has not ended yet
	chunkEndDue         bool  // the line that ends a chunk is due, or the body
	lastChunk           bool  // the last chunk has come
	started             int   // requests of which a byte has come, the last of which is followed
	inHead              bool  // its head has not ended yet
	stopped             bool  // nothing further is followed, nor served: the connection ends with the last begun
	ambiguous           bool  // its head had both, or two lengths, or a folded line, which can hide one
	afterCR             bool  // the last byte was a carriage return
	firstBareLF         int   // the first request of whose head a line ended without one: whoever minds reads another head; 0: none
}

// whole reports whether all of the nth request has come.
func (f *requestFraming) complete(n int) bool {
	return f.started > n || f.started == n && !f.inHead && !f.inBody && f.bodyLeft == 0 && !f.stopped
}

// tornAt reports whether the head of the nth request leaves any doubt about where it ends.
func (f *requestFraming) ambiguousAt(n int) bool {
	return f.ambiguous && f.started <= n || f.firstBareLF > 0 && f.firstBareLF <= n
}

// last reports whether the connection ends with the nth request, unless another has begun behind it.
func (f *requestFraming) isLast(n int) bool { return f.started <= n && (f.stopped || f.chunked) }

// needs is how many bytes, of so many at most, can be read for the request that has begun, and surely for no further one.
func (f *requestFraming) bytesNeeded(most int) int {
	switch {
	case f.stopped:
		return most
	case f.bodyLeft > 0:
		return int(min(f.bodyLeft, int64(most)))
	case f.inHead || f.inBody:
		return min(1, most)
	}
	return most
}

// maxDigits is above what net/http takes for a length.
const maxDigits = 20

// read takes in what was read from the connection.
func (f *requestFraming) feed(b []byte) {
	for len(b) > 0 && !f.stopped {
		if f.bodyLeft > 0 {
			n := min(f.bodyLeft, int64(len(b)))
			f.bodyLeft, b = f.bodyLeft-n, b[n:]
			continue
		}
		if f.inBody {
			f.feedChunkByte(b[0])
			b = b[1:]
			continue
		}
		if f.lineLen == len(f.line) && !f.inValue { // of the rest of the line only its end matters
			end := bytes.IndexByte(b, '\n')
			if end < 0 {
				f.afterCR = b[len(b)-1] == '\r'
				return
			}
			if end > 0 {
				f.afterCR = b[end-1] == '\r'
			}
			b = b[end:]
		}
		f.feedHeadByte(b[0])
		b = b[1:]
	}
}

func (f *requestFraming) feedHeadByte(c byte) {
	if !f.inHead && c != '\r' && c != '\n' { // empty lines ahead of a request are none of it
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
	case f.lineLen == 0 && (c == ' ' || c == '\t'):
		f.ambiguous, f.stopped = true, true
	case f.inValue:
		if c >= '0' && c <= '9' && len(f.digits) < maxDigits {
			f.digits = append(f.digits, c)
		}
	case f.lineLen < len(f.line):
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
}

func (f *requestFraming) fieldName(name []byte) {
	switch string(name) {
	case "content-length:":
		f.ambiguous, f.stopped = f.hasContentLength, f.hasContentLength
		f.hasContentLength, f.inValue, f.digits = true, true, f.digits[:0]
	case "transfer-encoding:":
		f.hasTransferEncoding = true
	}
	if f.hasContentLength && f.hasTransferEncoding {
		f.ambiguous, f.stopped = true, true
	}
}

func (f *requestFraming) endLine() {
	empty := f.lineLen == 0 || f.lineLen == 1 && f.line[0] == '\r'
	f.lineLen, f.inValue = 0, false
	if !empty {
		return
	}
	if f.hasContentLength {
		f.bodyLeft, _ = strconv.ParseInt(string(f.digits), 10, 64) // net/http turns away what is no number
	}
	f.chunked, f.inBody = f.hasTransferEncoding, f.hasTransferEncoding
	f.hasContentLength, f.hasTransferEncoding, f.inHead = false, false, false
}

// inChunks follows a body in chunks, outside of their bytes. It takes only what nobody reads otherwise, which is less
// than net/http takes: a chunk with an extension or a bare line feed, or a trailer, makes the request the last one.
func (f *requestFraming) feedChunkByte(c byte) {
	switch {
	case c != '\n' && f.lineLen == len(f.line):
		f.stopped = true
		return
	case c != '\n':
		f.line[f.lineLen] = c
		f.lineLen++
		return
	}
	line, ok := strings.CutSuffix(string(f.line[:f.lineLen]), "\r")
	f.lineLen = 0
	if f.chunkEndDue {
		f.stopped = !ok || line != ""
		f.chunkEndDue, f.inBody, f.lastChunk = false, !f.lastChunk, false
		return
	}
	size, err := strconv.ParseUint(line, 16, 62)
	f.stopped = !ok || err != nil
	f.bodyLeft, f.chunkEndDue, f.lastChunk = int64(size), true, size == 0
}
