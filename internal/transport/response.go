package transport

import (
	"net/http"
	"strconv"
	"strings"
)

// response is the response of a server to a successful attempt. Its holder owns the buffer and the stream.
type response struct {
	fields []headerField // end-to-end fields only
	// body is the complete body, or the first part of a long one.
	body []byte
	// stream is the remainder of a long body; nil: body is complete.
	stream *responseStream
	// buf is the buffer that holds body; nil: body is not from a buffer pool.
	buf *pooledBuffer
	// contentLength is the value of the Content-Length field sent to the client.
	contentLength [1]string
}

// copyHeader copies the header fields into h, which refers to the memory of p afterwards.
func (p *response) copyHeader(h http.Header) {
	for i := range p.fields {
		f := &p.fields[i]
		if old := h[f.name]; old != nil {
			h[f.name] = append(old[:len(old):len(old)], f.value[0])
		} else {
			h[f.name] = f.value[:]
		}
	}
	switch {
	case p.stream == nil:
		p.contentLength[0] = strconv.Itoa(len(p.body))
	case p.stream.length >= 0:
		p.contentLength[0] = strconv.FormatInt(p.stream.length, 10)
	default: // net/http sends the body in chunks
		return
	}
	h["Content-Length"] = p.contentLength[:]
}

// freeBuffer returns the buffer to its pool; the body must not be used afterwards.
func (p *response) freeBuffer() {
	if p.buf != nil {
		p.buf.pool.put(p.buf)
		p.buf = nil
		p.body = nil
	}
}

// Release implements routing.Releaser. It is called if the response is not used.
func (p *response) Release() {
	if p.stream != nil {
		p.stream.finish(reasonCancelled)
	}
	p.freeBuffer()
}

// headerField is one line of a header. Its value is an array, so that an http.Header can refer to it without an
// allocation.
type headerField struct {
	name  string // in canonical form
	value [1]string
}

// isHopByHop reports whether a header field, named in canonical form, applies to a single connection only.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// connectionOptions returns the names, in canonical form, that the given values of Connection fields list. The header
// fields with these names are hop-by-hop, in addition to those of isHopByHop.
func connectionOptions(lists []string) []string {
	var names []string
	for _, list := range lists {
		for name := range strings.SplitSeq(list, ",") {
			names = append(names, canonicalHeader(strings.TrimSpace(name)))
		}
	}
	return names
}
