package transport

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestFraming: a head with a Content-Length beside a Transfer-Encoding is found wherever the reads are cut, also
// behind other requests, and no body is taken for a head.
func TestFraming(t *testing.T) {
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
				t.Errorf("%q cut at %d: ambiguous: %v", raw, cut, f.ambiguous)
			}
		}
	}
}

// TestChunkedFraming: a body in chunks is followed to where net/http finds its end, wherever the reads are cut, or the
// request counts as the last one. What is read of no more than it needs never goes beyond that end.
func TestChunkedFraming(t *testing.T) {
	const first = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	const second = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for body, plain := range map[string]bool{
		"0\r\n\r\n": true, "00\r\n\r\n": true, "2\r\n\r\n\r\n0\r\n\r\n": true,
		"0A\r\n0\r\n\r\n\nxxxx\r\n1\r\nx\r\n0\r\n\r\n": true,
		// lawful, but not followed
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
				t.Errorf("%q: net/http finds %d bytes behind it, %v", body, in.Buffered(), err)
			}
		}
		for cut := range len(raw) {
			var f requestFraming
			f.feed([]byte(raw[:cut]))
			if f.feed([]byte(raw[cut:])); f.stopped == plain || f.isLast(1) == plain || f.complete(2) != plain {
				t.Errorf("%q cut at %d: %+v", body, cut, f)
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
			t.Errorf("%q: %d bytes read of %d", body, read, len(first+body))
		}
	}
}
