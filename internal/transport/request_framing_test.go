package transport

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestRequestFraming: a head with both Content-Length and Transfer-Encoding is detected regardless of the boundaries of
// reads, also after other requests, and a body is never parsed as a head.
func TestRequestFraming(t *testing.T) {
	both := "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
	for raw, ambiguous := range map[string]bool{
		"GET / HTTP/1.1\r\n\r\n":                     false,
		"POST / HTTP/1.1\r\n" + both:                 true,
		"GET / HTTP/1.1\n\nPOST / HTTP/1.1\n" + both: true,
		fmt.Sprintf("POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n\n%s", len(both)+1, both) +
			"GET / HTTP/1.1\r\nA: b\r\n\r\n": false,
		"POST / HTTP/1.1\r\ncontent-length:\t1\r\n\r\nxPOST / HTTP/1.1\r\n" + both:  true,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n": false,
		"GET / HTTP/1.1\r\nContent-Length:\r\n 5\r\n\r\n":                           true,
		"GET / HTTP/1.1\r\nX-Content-Length: 1\r\nTransfer-Encoding: a\r\n\r\n":     false,
	} {
		for cut := range len(raw) {
			var f requestFraming
			f.feed([]byte(raw[:cut]))
			if f.feed([]byte(raw[cut:])); f.ambiguous != ambiguous {
				t.Errorf("%q cut at %d: ambiguous = %v", raw, cut, f.ambiguous)
			}
		}
	}
}

// TestChunkedFraming: regardless of the boundaries of reads, requestFraming either finds the same end of a chunked body
// as net/http or counts the request as the last one. Reads of bytesNeeded bytes never go beyond that end.
func TestChunkedFraming(t *testing.T) {
	const first = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	const second = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for body, plain := range map[string]bool{
		"0\r\n\r\n": true, "00\r\n\r\n": true, "2\r\n\r\n\r\n0\r\n\r\n": true,
		"0A\r\n0\r\n\r\n\nxxxx\r\n1\r\nx\r\n0\r\n\r\n": true,
		// Valid, but not parsed.
		"1;a=b\r\nx\r\n0\r\n\r\n": false, "0\r\nA: b\r\n\r\n": false, "1 \r\nx\r\n0\r\n\r\n": false,
		"1\nx\r\n0\r\n\r\n": false, "1\r\nx\n0\r\n\r\n": false, "0\n\r\n": false, "0\r\n\n": false,
		"1\r\nxx\r\n0\r\n\r\n": false,
		"\r\n\r\n":             false, "-0\r\n\r\n": false, "+0\r\n\r\n": false, "0x0\r\n\r\n": false, "0\r\r\n\r\n": false,
		"ffffffffffffffff\r\nx": false, "00000000000000000000\r\n\r\n": false,
	} {
		raw := first + body + second
		if in := bufio.NewReader(strings.NewReader(raw)); plain {
			r, _ := http.ReadRequest(in)
			if _, err := io.Copy(io.Discard, r.Body); err != nil || in.Buffered() != len(second) {
				t.Errorf("%q: net/http leaves %d bytes after the body, %v", body, in.Buffered(), err)
			}
		}
		for cut := range len(raw) {
			var f requestFraming
			f.feed([]byte(raw[:cut]))
			if f.feed([]byte(raw[cut:])); f.stopped == plain || f.isLast(1) == plain || f.complete(2) != plain {
				t.Errorf("%q cut at %d: framing %+v", body, cut, f)
			}
		}
		var f requestFraming
		f.feed([]byte(raw[:1]))
		read := 1
		for !f.complete(1) && !f.stopped {
			n := f.bytesNeeded(len(raw) - read)
			f.feed([]byte(raw[read : read+n]))
			read += n
		}
		if plain && read != len(first+body) {
			t.Errorf("%q: read %d bytes, want %d", body, read, len(first+body))
		}
	}
}
