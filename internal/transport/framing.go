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
type framing struct {
	line    [len("transfer-encoding:")]byte // how the current line begins, in lower case
	n       int                             // bytes of it; at its length the rest does not matter
	inValue bool                            // of a length
	digits  []byte
	sized   bool  // the head has a Content-Length
	coded   bool  // the head has a Transfer-Encoding
	skip    int64 // bytes of a body, or of a chunk, still to come
	chunks  bool  // the last begun has a body in chunks
	inBody  bool  // which has not ended yet
	ending  bool  // the line that ends a chunk is due, or the body
	final   bool  // the last chunk has come
	begun   int   // requests of which a byte has come, the last of which is followed
	inHead  bool  // its head has not ended yet
	over    bool  // nothing further is followed, nor served: the connection ends with the last begun
	torn    bool  // its head had both, or two lengths, or a folded line, which can hide one
	cr      bool  // the last byte was a carriage return
	bare    int   // the first request of whose head a line ended without one: whoever minds reads another head; 0: none
}

// whole reports whether all of the nth request has come.
func (f *framing) whole(n int) bool {
	return f.begun > n || f.begun == n && !f.inHead && !f.inBody && f.skip == 0 && !f.over
}

// tornAt reports whether the head of the nth request leaves any doubt about where it ends.
func (f *framing) tornAt(n int) bool {
	return f.torn && f.begun <= n || f.bare > 0 && f.bare <= n
}

// last reports whether the connection ends with the nth request, unless another has begun behind it.
func (f *framing) last(n int) bool { return f.begun <= n && (f.over || f.chunks) }

// needs is how many bytes, of so many at most, can be read for the request that has begun, and surely for no further one.
func (f *framing) needs(most int) int {
	switch {
	case f.over:
		return most
	case f.skip > 0:
		return int(min(f.skip, int64(most)))
	case f.inHead || f.inBody:
		return min(1, most)
	}
	return most
}

// maxDigits is above what net/http takes for a length.
const maxDigits = 20

// read takes in what was read from the connection.
func (f *framing) read(b []byte) {
	for len(b) > 0 && !f.over {
		if f.skip > 0 {
			n := min(f.skip, int64(len(b)))
			f.skip, b = f.skip-n, b[n:]
			continue
		}
		if f.inBody {
			f.inChunks(b[0])
			b = b[1:]
			continue
		}
		if f.n == len(f.line) && !f.inValue { // of the rest of the line only its end matters
			end := bytes.IndexByte(b, '\n')
			if end < 0 {
				f.cr = b[len(b)-1] == '\r'
				return
			}
			if end > 0 {
				f.cr = b[end-1] == '\r'
			}
			b = b[end:]
		}
		f.next(b[0])
		b = b[1:]
	}
}

func (f *framing) next(c byte) {
	if !f.inHead && c != '\r' && c != '\n' { // empty lines ahead of a request are none of it
		f.inHead = true
		f.begun++
	}
	if f.bare == 0 && c == '\n' && !f.cr {
		f.bare = max(f.begun, 1)
	}
	f.cr = c == '\r'
	switch {
	case c == '\n':
		f.endLine()
	case f.n == 0 && (c == ' ' || c == '\t'):
		f.torn, f.over = true, true
	case f.inValue:
		if c >= '0' && c <= '9' && len(f.digits) < maxDigits {
			f.digits = append(f.digits, c)
		}
	case f.n < len(f.line):
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		f.line[f.n] = c
		f.n++
		if c == ':' {
			f.name(f.line[:f.n])
			f.n = len(f.line)
		}
	}
}

func (f *framing) name(name []byte) {
	switch string(name) {
	case "content-length:":
		f.torn, f.over = f.sized, f.sized
		f.sized, f.inValue, f.digits = true, true, f.digits[:0]
	case "transfer-encoding:":
		f.coded = true
	}
	if f.sized && f.coded {
		f.torn, f.over = true, true
	}
}

func (f *framing) endLine() {
	empty := f.n == 0 || f.n == 1 && f.line[0] == '\r'
	f.n, f.inValue = 0, false
	if !empty {
		return
	}
	if f.sized {
		f.skip, _ = strconv.ParseInt(string(f.digits), 10, 64) // net/http turns away what is no number
	}
	f.chunks, f.inBody = f.coded, f.coded
	f.sized, f.coded, f.inHead = false, false, false
}

// inChunks follows a body in chunks, outside of their bytes. It takes only what nobody reads otherwise, which is less
// than net/http takes: a chunk with an extension or a bare line feed, or a trailer, makes the request the last one.
func (f *framing) inChunks(c byte) {
	switch {
	case c != '\n' && f.n == len(f.line):
		f.over = true
		return
	case c != '\n':
		f.line[f.n] = c
		f.n++
		return
	}
	line, ok := strings.CutSuffix(string(f.line[:f.n]), "\r")
	f.n = 0
	if f.ending {
		f.over = !ok || line != ""
		f.ending, f.inBody, f.final = false, !f.final, false
		return
	}
	size, err := strconv.ParseUint(line, 16, 62)
	f.over = !ok || err != nil
	f.skip, f.ending, f.final = int64(size), true, size == 0
}
