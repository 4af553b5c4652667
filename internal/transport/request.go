package transport

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

// errBodyTooLarge says that a body has more bytes than maxRequestBody.
var errBodyTooLarge = errors.New("too large")

// ambiguousRequestError is a fault in a request for which others may find its end elsewhere than the node does.
type ambiguousRequestError struct{ error }

// ambiguousRequest makes an ambiguousRequestError with a message.
func ambiguousRequest(message string) error { return ambiguousRequestError{errors.New(message)} }

// parseRequest reads a call from a request. Its payload is a requestMessage, held by the caller. An error comes
// with the 4xx or 505 that the request deserves.
func (f *Frontend) parseRequest(r *http.Request, c *clientConn, target string) (routing.Call, int, error) {
	if !r.ProtoAtLeast(1, 1) { // net/http ignores a Transfer-Encoding there
		return routing.Call{}, http.StatusHTTPVersionNotSupported, ambiguousRequest("version: below HTTP/1.1")
	}
	if c.framingAmbiguous() { // guards the servers: the body may hide another request
		return routing.Call{}, http.StatusBadRequest,
			ambiguousRequest("framing: two lengths, a folded line, or one that ends without a carriage return")
	}
	if err := checkRequestHead(r, target); err != nil {
		return routing.Call{}, http.StatusBadRequest, ambiguousRequestError{err}
	}
	header := func(name string) []string { return r.Header[name] }
	call, err := f.names.Load().ParseCall(r.Method, header, r.URL.RawQuery)
	if err != nil {
		return call, http.StatusBadRequest, err
	}
	m, err := f.readMessage(requestBody{Request: r, target: target, length: r.ContentLength, conn: c})
	switch {
	case errors.Is(err, errBodyTooLarge):
		return call, http.StatusRequestEntityTooLarge, errors.New("body: too large")
	case err != nil:
		return call, http.StatusBadRequest, fmt.Errorf("body: %w", err)
	case (len(m.body) > 0 || m.upload != nil) && r.Method == http.MethodGet:
		// Guards the servers: one that reads no body takes it for a request.
		return call, http.StatusBadRequest, ambiguousRequest("body: none belongs to a GET")
	}
	call.ReceivedAt = time.Now()
	call.StreamsBody = m.upload != nil
	if !call.StreamsBody && !c.completeRequest() {
		m.release()
		panic(http.ErrAbortHandler) // its client sees the close, and sends the request again
	}
	m.client = c
	call.Payload = m
	if !c.wasPipelined() { // else its client may have left long ago
		m.arrived = call.ReceivedAt
	}
	return call, 0, nil
}

// requestBody is a request whose body is still to be read.
type requestBody struct {
	*http.Request
	target string
	length int64 // -1: not announced
	conn   *clientConn
}

// readMessage reads a request's body, or the first part of one that is too long to be buffered.
func (f *Frontend) readMessage(r requestBody) (*requestMessage, error) {
	switch {
	case r.length > maxRequestBody:
		return nil, errBodyTooLarge
	case r.length > protocol.MaxBufferedBody:
		return f.newUploadMessage(r, nil), nil
	case r.length >= 0:
		m := newMessage(&f.buffers, r.Method, r.target, r.Host, r.Header, r.length)
		if r.length > 0 {
			return m, m.readBody(r.Body, r.conn)
		}
		return m, nil
	}
	body, err := io.ReadAll(io.LimitReader(&pacedReader{body: r.Body, conn: r.conn}, protocol.MaxBufferedBody+1))
	if err != nil {
		return nil, err
	}
	if len(body) > protocol.MaxBufferedBody {
		return f.newUploadMessage(r, body), nil
	}
	m := newMessage(&f.buffers, r.Method, r.target, r.Host, r.Header, int64(len(body)))
	copy(m.body, body)
	return m, nil
}

// pacedReader reads a body whose length is not announced at the pace that its bytes allow it.
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

// noEOF keeps the end of a connection from being taken for that of a message.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
