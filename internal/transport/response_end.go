package transport

import (
	"bufio"
	"io"
)

// statusLinePattern is the beginning of a status line, in which 0 stands for any digit.
const statusLinePattern = "HTTP/1.0 000 "

// errBodyExceedsLength reports bytes after the announced length of a body that may be the rest of the body.
var errBodyExceedsLength = malformedResponse("body may be longer than its Content-Length")

// startsResponse reports whether b starts with a status line.
func startsResponse(b []byte) bool {
	if len(b) < len(statusLinePattern) {
		return false
	}
	for i, want := range []byte(statusLinePattern) {
		anyDigit := want == '0' && b[i] >= '0' && b[i] <= '9'
		if b[i] != want && !anyDigit {
			return false
		}
	}
	return true
}

// bodyEnd is what follows a body of announced length.
type bodyEnd struct {
	// extraBytes reports whether bytes follow, which belong to no request.
	extraBytes bool
	// unproven reports whether these bytes may be the rest of the body, whose length would then be wrong. A further
	// response proves that the body ended before it; anything else cannot be distinguished from a rest.
	unproven bool
}

// newBodyEnd returns the end of a body that is followed by extra.
func newBodyEnd(extra []byte) bodyEnd {
	return bodyEnd{extraBytes: len(extra) > 0, unproven: len(extra) > 0 && !startsResponse(extra)}
}

// check returns an error unless the body is proven to be whole, or nothing follows it.
func (e bodyEnd) check() error {
	if e.unproven {
		return errBodyExceedsLength
	}
	return nil
}

// bufferedEnd returns the end of a body after which the bytes that reader holds follow.
func bufferedEnd(reader *bufio.Reader) bodyEnd {
	extra, _ := reader.Peek(min(reader.Buffered(), len(statusLinePattern)))
	return newBodyEnd(extra)
}

// readToEnd reads a body of the given length into b, which has room for a status line after it. It waits for the body
// alone, and sees what has arrived with its last bytes.
func readToEnd(reader *bufio.Reader, b []byte, length int) (bodyEnd, error) {
	n, err := io.ReadAtLeast(reader, b[:length+len(statusLinePattern)], length)
	if err != nil {
		return bodyEnd{}, err
	}
	return newBodyEnd(b[length:n]), nil
}
