package transport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"
	"time"

	"olivebridge/internal/protocol"
)

// errMalformedResponse marks a response that breaks HTTP/1.1 or its own framing. The server may have run its
// attempt, and its connection is of no further use.
var errMalformedResponse = errors.New("malformed response")

// errResponseTooLarge is a malformed response that exceeds what a response may have.
var errResponseTooLarge = fmt.Errorf("%w: too long", errMalformedResponse)

// malformedResponse is an errMalformedResponse that says what is wrong.
func malformedResponse(what string) error { return fmt.Errorf("%w: %s", errMalformedResponse, what) }

// maxResponseHead bounds the bytes of a response's head, together with the 1xx responses ahead of it.
const maxResponseHead = 32 << 10

// upstreamResponse is a server's response.
type upstreamResponse struct {
	responseHead
	// body is all of the body, or the first part of a long one.
	body []byte
	buf  *pooledBuffer // that body is a part of; nil: none
	// stream is the rest of a long body; nil: there is none.
	stream *responseStream
}

// readResponse reads the one response to a request, with its body in a buffer of the pool; of one that is long, or of
// unknown length and slow to come, the first part. Any error but errMalformedResponse is one of reading.
func readResponse(conn *upstreamConn, reader *bufio.Reader, buffers *bufferPool,
	until time.Time) (r upstreamResponse, err error) {
	for room := maxResponseHead; ; {
		head, err := readResponseHead(reader, room)
		if err != nil {
			return r, err
		}
		room -= len(head)
		if r.responseHead, err = parseResponseHead(string(head)); err != nil {
			return r, err
		}
		switch {
		case r.status == http.StatusSwitchingProtocols || r.status < http.StatusContinue:
			return r, malformedResponse("status")
		case r.status >= http.StatusOK:
			return r, r.readBody(conn, reader, buffers, until)
		case r.length > 0 || r.chunked:
			return r, malformedResponse("a body in a 1xx response")
		}
	}
}

// readBody reads what follows the head.
func (r *upstreamResponse) readBody(conn *upstreamConn, reader *bufio.Reader, buffers *bufferPool,
	until time.Time) (err error) {
	switch {
	case r.status == http.StatusNoContent || r.status == http.StatusNotModified: // have none
	case r.chunked:
		body := &chunkedBody{chunks: httputil.NewChunkedReader(reader), reader: reader}
		err = r.readUnknownLength(conn, reader, body, until)
	case r.length > maxResponseBody:
		err = errResponseTooLarge
	case r.length > protocol.MaxBufferedBody:
		r.stream = &responseStream{
			conn:      conn,
			reader:    reader,
			body:      reader,
			length:    r.length,
			remaining: r.length,
		}
	case r.length > 0:
		r.buf = buffers.get(int(r.length))
		r.body = r.buf.bytes[:r.length]
		_, err = io.ReadFull(reader, r.body)
	case r.length == 0:
	case strings.EqualFold(r.first("Connection"), "close"):
		err = r.readUnknownLength(conn, reader, reader, until)
	default: // the end of the connection would be no sign that the body is complete
		err = malformedResponse("no length")
	}
	return err
}

// readUnknownLength reads the first part of a body whose length is not announced.
func (r *upstreamResponse) readUnknownLength(conn *upstreamConn, reader *bufio.Reader, body io.Reader,
	until time.Time) error {
	first, complete, err := readFirstPart(conn, reader, body, until)
	r.body = first
	if err == nil && !complete {
		r.stream = &responseStream{
			conn:      conn,
			reader:    reader,
			body:      body,
			length:    -1,
			remaining: maxResponseBody,
		}
	}
	return err
}

// readResponseHead reads the bytes of a head, the empty line included; they hold until the next read. It gives up
// at the first byte that cannot be one's: noise need not have an end.
func readResponseHead(reader *bufio.Reader, room int) ([]byte, error) {
	const (
		start = "HTTP/1."
		end   = "\n\r\n"
	)
	if _, err := reader.Peek(1); err != nil {
		return nil, err
	}
	buffered, _ := reader.Peek(reader.Buffered())
	if bytes.HasPrefix(buffered, []byte(start)) { // most heads come in one piece
		size := bytes.Index(buffered, []byte(end)) + len(end)
		if size >= len(end) && size <= room {
			_, _ = reader.Discard(size)
			return buffered[:size], nil
		}
	}
	var head []byte
	for len(head) < len(start) {
		b, err := reader.ReadByte()
		if err != nil {
			return nil, err
		}
		head = append(head, b)
		if b != start[len(head)-1] {
			return nil, malformedResponse("no head")
		}
	}
	return readHeadLines(reader, head, room)
}

// readHeadLines reads on from within the first line of a head to the empty line.
func readHeadLines(reader *bufio.Reader, head []byte, room int) ([]byte, error) {
	inLine := true // the next bytes go on with a line
	for {
		part, err := reader.ReadSlice('\n')
		head = append(head, part...)
		if len(head) > room {
			return nil, errResponseTooLarge
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			inLine = true
		case err != nil:
			return nil, err
		case !inLine && len(bytes.TrimRight(part, "\r\n")) == 0:
			return head, nil
		default:
			inLine = false
		}
	}
}
