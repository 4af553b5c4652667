package transport

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

// errBodyTooLarge reports a body of more than maxRequestBody bytes.
var errBodyTooLarge = errors.New("too large")

// ambiguousRequestError is an error in a request whose end other implementations may find elsewhere than the node does.
type ambiguousRequestError struct{ error }

// errExceedsLength reports a request behind which bytes follow that are no request but the end of its body.
var errExceedsLength = ambiguousRequest("body: longer than its length")

// ambiguousRequest returns an ambiguousRequestError with a message.
func ambiguousRequest(message string) error { return ambiguousRequestError{errors.New(message)} }

// parseRequest parses the call in a request. The call's payload is a requestMessage on which the caller holds a
// reference. With an error it returns the status to answer, a 4xx or 505.
func (f *Frontend) parseRequest(r *http.Request, c *clientConn, target string) (routing.Call, int, error) {
	if status, err := checkHead(r, c, target); err != nil {
		return routing.Call{}, status, err
	}
	header := func(name string) []string { return r.Header[name] }
	call, err := f.names.Load().ParseCall(r.Method, header, r.URL.RawQuery)
	if err != nil {
		return call, http.StatusBadRequest, err
	}
	m, err := f.readMessage(requestBody{Request: r, target: target, length: r.ContentLength, conn: c})
	switch {
	case errors.Is(err, errNoMemory):
		return call, http.StatusServiceUnavailable, err
	case errors.Is(err, errBodyTooLarge):
		return call, http.StatusRequestEntityTooLarge, errors.New("body: too large")
	case err != nil:
		return call, http.StatusBadRequest, fmt.Errorf("body: %w", err)
	}
	if err := checkBody(r, m, c); err != nil {
		m.release()
		return call, http.StatusBadRequest, err
	}
	call.ReceivedAt = c.receivedAt(time.Now())
	if m.upload != nil {
		call.StreamsBody = true
		call.BodyReceived = m.upload.received
	}
	if !call.StreamsBody && !c.completeRequest() {
		m.release()
		panic(http.ErrAbortHandler) // the client notices the close and sends the request again
	}
	m.client = c
	call.Payload = m
	if !c.wasPipelined() { // otherwise the client may have disconnected long ago
		m.arrivedAt = call.ReceivedAt
	}
	return call, 0, nil
}

// checkBody returns an error if the body of a request is not acceptable, as far as it has been read.
func checkBody(r *http.Request, m *requestMessage, c *clientConn) error {
	switch {
	case (len(m.body) > 0 || m.upload != nil) && r.Method == http.MethodGet:
		// Protects the servers: a server that reads no body after a GET takes the body for a request.
		return ambiguousRequest("body: none belongs to a GET")
	case m.upload == nil && r.ContentLength >= 0 && c.requestExceedsLength():
		return errExceedsLength
	}
	return nil
}

// checkHead returns an error, and the status to answer, if the head of a request is not acceptable.
func checkHead(r *http.Request, c *clientConn, target string) (status int, err error) {
	if !r.ProtoAtLeast(1, 1) { // net/http ignores Transfer-Encoding in such requests
		return http.StatusHTTPVersionNotSupported, ambiguousRequest("version: below HTTP/1.1")
	}
	if c.hasTooManyFields() {
		return http.StatusRequestHeaderFieldsTooLarge, ambiguousRequest("header: too many fields")
	}
	if c.framingAmbiguous() { // protects the servers: the body may hide another request
		return http.StatusBadRequest,
			ambiguousRequest("framing: two lengths, a folded line, or one that ends without a carriage return")
	}
	if err := checkRequestHead(r, target); err != nil {
		return http.StatusBadRequest, ambiguousRequestError{err}
	}
	return http.StatusOK, nil
}

// requestBody is a request whose body has not been read yet.
type requestBody struct {
	*http.Request
	target string
	length int64 // announced length of the body in bytes; -1 if unknown
	conn   *clientConn
}

// readMessage reads the body of a request, or only its first part if it is too long to be buffered.
func (f *Frontend) readMessage(r requestBody) (*requestMessage, error) {
	switch {
	case r.length > maxRequestBody:
		return nil, errBodyTooLarge
	case r.length > protocol.MaxBufferedBody:
		return f.newUploadMessage(r, nil)
	case r.length == 0:
		return newMessage(&f.buffers, r.Method, r.target, r.Host, r.Header, 0), nil
	case r.length > 0:
		return f.readKnownLength(r)
	}
	return f.readUnknownLength(r)
}

// readKnownLength reads a body whose length the head announces.
func (f *Frontend) readKnownLength(r requestBody) (*requestMessage, error) {
	if !f.hasMemory(int(r.length)) {
		return nil, errNoMemory
	}
	m := newMessage(&f.buffers, r.Method, r.target, r.Host, r.Header, r.length)
	if err := m.readBody(r.Body, r.conn); err != nil {
		m.release()
		return nil, err
	}
	return m, nil
}

// readUnknownLength reads a body whose length the head does not announce.
func (f *Frontend) readUnknownLength(r requestBody) (*requestMessage, error) {
	reader := &pacedReader{body: r.Body, conn: r.conn}
	body := growingBuffer{pool: &f.buffers}
	defer body.free()
	for len(body.bytes) <= protocol.MaxBufferedBody {
		if !body.grow() {
			f.clients.evictStalled()
			return nil, errNoMemory
		}
		err := body.readFrom(reader)
		if errors.Is(err, io.EOF) {
			return f.newBufferedMessage(r, body.bytes)
		}
		if err != nil {
			return nil, err
		}
	}
	return f.newUploadMessage(r, bytes.Clone(body.bytes))
}

// newBufferedMessage returns the message of a request whose body has been read.
func (f *Frontend) newBufferedMessage(r requestBody, body []byte) (*requestMessage, error) {
	if !f.hasMemory(len(body)) {
		return nil, errNoMemory
	}
	m := newMessage(&f.buffers, r.Method, r.target, r.Host, r.Header, int64(len(body)))
	copy(m.body, body)
	return m, nil
}

// hasMemory reports whether the budget has room for a body. If little is left, it evicts a stalled request.
func (f *Frontend) hasMemory(bodyBytes int) bool {
	budget := f.buffers.budget
	if budget.underPressure() {
		f.clients.evictStalled()
	}
	_, size := classOf(bodyBytes)
	return budget.hasRoom(chargedBytes(size))
}

// pacedReader reads a body of unknown length and extends the read deadline as bytes arrive.
type pacedReader struct {
	body      io.Reader
	conn      *clientConn
	bytesRead int64
}

// Read implements io.Reader.
func (p *pacedReader) Read(b []byte) (int, error) {
	if p.bytesRead > 0 {
		p.conn.extendReadDeadline(p.bytesRead)
	}
	n, err := p.body.Read(b)
	p.bytesRead += int64(n)
	return n, err
}

// noEOF replaces io.EOF by io.ErrUnexpectedEOF: the end of a connection must not pass for the end of a message.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
