package transport

import (
	"bytes"
	"strconv"
)

// framing follows the heads of the requests on a client connection, in the raw
// bytes. Where Transfer-Encoding stands beside Content-Length, net/http takes
// the latter out and goes by the former; whoever goes by the latter finds
// another request in the body. A handler cannot see that: only the bytes tell.
type framing struct {
	line    [len("transfer-encoding:")]byte // how the current line begins, in lower case
	n       int                             // bytes of it; at its length the rest does not matter
	inValue bool                            // of a length
	digits  []byte
	sized   bool  // the head has a Content-Length
	coded   bool  // the head has a Transfer-Encoding
	skip    int64 // bytes of a body still to come
	begun   int   // requests of which a byte has come, the last of which is followed
	inHead  bool  // its head has not ended yet
	over    bool  // nothing further is followed, nor served: the connection ends with the last begun
	torn    bool  // its head had both, or two lengths, or a folded line, which can hide one
	cr      bool  // the last byte was a carriage return
	bare    int   // the first request of whose head a line ended without one: whoever minds reads another head; 0: none
}

// whole reports whether all of the nth request has come. Of one in chunks that is not known.
func (f *framing) whole(n int) bool {
	return f.begun > n || f.begun == n && !f.inHead && f.skip == 0 && !f.over
}

// doubts says whether the head of the nth request leaves any doubt about where it ends, and whether the connection
// ends with it.
func (f *framing) doubts(n int) (torn, last bool) {
	last = f.over && f.begun <= n
	return last && f.torn || f.bare > 0 && f.bare <= n, last
}

// needs is how many bytes, of so many at most, can be read for the request that has begun, and surely for no further one.
func (f *framing) needs(most int) int {
	switch {
	case f.over:
		return most
	case f.skip > 0:
		return int(min(f.skip, int64(most)))
	case f.inHead:
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
	f.over, f.sized, f.inHead = f.coded, false, false
}
