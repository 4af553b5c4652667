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

// writeAnswer writes the only final response to a call.
func (f *Frontend) writeAnswer(w http.ResponseWriter, c *clientConn, a routing.Answer) {
	h := w.Header()
	if a.Verdict == routing.Served {
		a.Reply.(*response).copyHeader(h)
	}
	f.closeIfRequired(w, c)
	switch a.Verdict {
	case routing.Served:
		f.writeResponse(w, c, a.Reply.(*response))
	case routing.Rejected:
		if a.RetryAfter > 0 {
			h.Set("Retry-After", protocol.FormatSeconds(a.RetryAfter))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case routing.Duplicate:
		w.WriteHeader(http.StatusConflict)
	case routing.DeadlineExceeded:
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		w.WriteHeader(http.StatusBadGateway)
	}
}

// writeUploadAnswer writes the response to a call whose body may still be arriving.
func (f *Frontend) writeUploadAnswer(w http.ResponseWriter, r *http.Request, m *requestMessage, a routing.Answer) {
	c := m.upload.conn
	err := m.upload.finish()
	m.release()
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // net/http counts from the end of the request's head
	switch {
	case errors.Is(err, errBodyTooLarge):
		if d, ok := a.Reply.(routing.Releaser); ok { // the response preceded the end of the body
			d.Release()
		}
		f.writeError(w, r, http.StatusRequestEntityTooLarge, errors.New("body: too large"))
		return
	case err != nil && a.Verdict != routing.Served:
		f.writeError(w, r, http.StatusBadRequest, fmt.Errorf("body: %w", err))
		return
	}
	if !m.upload.bodyRead.Load() && !discardBodyBeforePipelined(r, c) {
		w.Header().Set("Connection", "close")
	}
	f.writeAnswer(w, c, a)
}

// writeError answers a request for which no attempt is made. A request that was read after it is served, unless the end
// of this one is ambiguous; bytes that are still unread are not served.
func (f *Frontend) writeError(w http.ResponseWriter, r *http.Request, status int, err error) {
	f.malformed.Add(1)
	c := r.Context().Value(clientConnKey{}).(*clientConn)
	if _, ambiguous := errors.AsType[ambiguousRequestError](err); ambiguous || !discardBodyBeforePipelined(r, c) {
		w.Header().Set("Connection", "close")
	}
	if m, ok := errors.AsType[*protocol.MethodError](err); ok {
		status = http.StatusMethodNotAllowed
		w.Header().Set("Allow", m.Allow)
	}
	http.Error(w, err.Error(), status)
}

// discardBodyBeforePipelined reads and discards the rest of a body if a further request was read after it and the end
// of this one is unambiguous. It is ambiguous for a GET with a body, since some servers read no body after a GET, and
// for a method unknown to the platform, after which the bytes of a tunnel may follow. The result reports whether the
// connection can continue with the further request.
func discardBodyBeforePipelined(r *http.Request, c *clientConn) bool {
	unambiguous := r.Method == http.MethodPost || r.Method == http.MethodGet && r.ContentLength == 0
	if !unambiguous || !c.hasPipelinedRequest() {
		return false
	}
	_, err := io.Copy(io.Discard, r.Body)
	return err == nil
}

// closeIfRequired makes the connection close after this response if the node is draining or the framing of the
// request's body requires it.
func (f *Frontend) closeIfRequired(w http.ResponseWriter, c *clientConn) {
	if f.clients.isDraining() || c.mustCloseAfterRequest() {
		closeAfterResponse(w, c)
	}
}

// closeAfterResponse makes the connection close after the current response or, if further requests have been read,
// after a later one, because every request that has been read is answered.
func closeAfterResponse(w http.ResponseWriter, c *clientConn) {
	if !c.hasPipelinedRequest() {
		w.Header().Set("Connection", "close")
	}
}

// writeResponse writes the response of a server.
func (f *Frontend) writeResponse(w http.ResponseWriter, c *clientConn, p *response) {
	c.forwarded = true
	if p.stream != nil {
		f.streamResponse(w, c, p)
		return
	}
	_, _ = w.Write(p.body) // an error is a client disconnect, which the connection's log line reports
	p.freeBuffer()
}

// streamResponse forwards a long response while it arrives. If the response fails midway, streamResponse aborts the
// client connection so that the client detects the failure.
func (f *Frontend) streamResponse(w http.ResponseWriter, c *clientConn, p *response) {
	c.startStreaming()
	p.stream.client = c
	reason := reasonCancelled // also if w panics
	defer func() {
		p.stream.finish(reason)
		p.freeBuffer()
		if reason != reasonNone {
			panic(http.ErrAbortHandler)
		}
	}()
	reason = f.copyStream(w, c, p)
}

// copyStream copies a long response to a client. It returns the reason for which the connection to the server must be
// closed; reasonNone if the response is complete.
func (f *Frontend) copyStream(w http.ResponseWriter, c *clientConn, p *response) closeReason {
	buf := f.buffers.getUpTo(streamBufferSize)
	defer f.buffers.put(buf)
	flush := w.(http.Flusher).Flush
	part := p.body
	for {
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.Write(part); err != nil {
			return reasonCancelled
		}
		if !p.stream.ready() {
			flush()
		}
		p.freeBuffer() // the first part has been written
		n, err := p.stream.Read(buf.bytes[:min(len(buf.bytes), streamBufferSize)])
		switch {
		case err == nil:
			part = buf.bytes[:n]
		case errors.Is(err, io.EOF):
			return reasonNone
		case c.hasDisconnected():
			return reasonCancelled
		default:
			flush() // forwards the bytes that the server has sent
			return p.stream.failureReason()
		}
	}
}
