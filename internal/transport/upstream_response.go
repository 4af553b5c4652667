package transport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"olivebridge/internal/protocol"
)

// errMalformedResponse reports a response that violates HTTP/1.1 or its own framing. The server may have run the
// attempt, and the connection cannot be used again.
var errMalformedResponse = errors.New("malformed response")

// errResponseTooLarge is an errMalformedResponse for a response that exceeds a size limit.
var errResponseTooLarge = fmt.Errorf("%w: size limit exceeded", errMalformedResponse)

// malformedResponse returns an errMalformedResponse with a description of the violation.
func malformedResponse(violation string) error {
	return fmt.Errorf("%w: %s", errMalformedResponse, violation)
}

// maxResponseHead limits the bytes of a response's head, including the 1xx responses before it.
const maxResponseHead = 32 << 10

// upstreamResponse is a server's response.
type upstreamResponse struct {
	responseHead
	// body is the complete body, or the first part of a long one.
	body []byte
	// buf is the buffer that holds body; nil: body is not from a buffer pool.
	buf *pooledBuffer
	// stream is the remainder of a long body; nil: body is complete.
	stream *responseStream
	// end is what follows a complete body.
	end bodyEnd
}

// readResponse reads the final response to a request, with its body in a buffer of the pool. Of a body that is long, or
// of unknown length and slow to arrive, it reads only the first part. Any error other than errMalformedResponse is a
// read error.
func readResponse(conn *upstreamConn, reader *bufio.Reader, buffers *bufferPool,
	deadline time.Time) (r upstreamResponse, err error) {
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
			return r, malformedResponse("status code not allowed")
		case r.status >= http.StatusOK:
			return r, r.readBody(conn, reader, buffers, deadline)
		case r.length > 0 || r.chunked:
			return r, malformedResponse("1xx response with a body")
		}
	}
}

// readBody reads the body after the head.
func (r *upstreamResponse) readBody(conn *upstreamConn, reader *bufio.Reader, buffers *bufferPool,
	deadline time.Time) (err error) {
	switch {
	case r.status == http.StatusNoContent || r.status == http.StatusNotModified: // no body by definition
	case r.chunked:
		body := &chunkedBody{reader: reader}
		err = r.readUnknownLength(conn, reader, body, buffers, deadline)
	case r.length > maxResponseBody:
		err = errResponseTooLarge
	case r.length > protocol.MaxBufferedBody:
		r.streamKnownLength(conn, reader)
	case r.length > 0:
		r.buf = buffers.tryGet(int(r.length) + len(statusLinePattern))
		if r.buf == nil { // the call has run, and its response needs less memory as a stream
			r.streamKnownLength(conn, reader)
			return nil
		}
		r.body = r.buf.bytes[:r.length]
		r.end, err = readToEnd(reader, r.buf.bytes, int(r.length))
	case r.length == 0:
		r.end = bufferedEnd(reader)
	case strings.EqualFold(r.firstValue("Connection"), "close"):
		err = r.readUnknownLength(conn, reader, plainBody{reader}, buffers, deadline)
	default: // the end of the connection would not prove that the body is complete
		err = malformedResponse("body without a length on a connection that stays open")
	}
	return err
}

// streamKnownLength makes the body a stream of the announced length.
func (r *upstreamResponse) streamKnownLength(conn *upstreamConn, reader *bufio.Reader) {
	r.stream = &responseStream{
		conn:      conn,
		reader:    reader,
		body:      plainBody{reader},
		length:    r.length,
		remaining: r.length,
	}
}

// freeBuffer returns the buffer of the body to its pool; the body must not be used afterwards.
func (r *upstreamResponse) freeBuffer() {
	if r.buf != nil {
		r.buf.pool.put(r.buf)
		r.buf = nil
		r.body = nil
	}
}

// readUnknownLength reads the first part of a body without an announced length.
func (r *upstreamResponse) readUnknownLength(conn *upstreamConn, reader *bufio.Reader, body responseBody,
	buffers *bufferPool, deadline time.Time) error {
	first := growingBuffer{pool: buffers}
	complete, err := first.readFirstPart(conn, body, deadline)
	r.buf = first.buffer
	r.body = first.bytes
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

// readResponseHead reads the bytes of a head including the empty line. They are valid until the next read. It fails at
// the first byte that cannot belong to a head: invalid data may have no end.
func readResponseHead(reader *bufio.Reader, room int) ([]byte, error) {
	const (
		start = "HTTP/1."
		end   = "\n\r\n"
	)
	if _, err := reader.Peek(1); err != nil {
		return nil, err
	}
	buffered, _ := reader.Peek(reader.Buffered())
	if bytes.HasPrefix(buffered, []byte(start)) { // most heads arrive in one piece
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
			return nil, malformedResponse("head does not start with the HTTP version")
		}
	}
	return readHeadLines(reader, head, room)
}

// readHeadLines reads the remaining lines of a head, from the middle of the first line to the empty line.
func readHeadLines(reader *bufio.Reader, head []byte, room int) ([]byte, error) {
	inLine := true // the next bytes continue a line
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
