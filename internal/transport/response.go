package transport

import (
	"net/http"
	"strconv"
	"strings"
)

// response is a server's response to an attempt that succeeded. Whoever is given it owns its buffer.
type response struct {
	fields []headerField // end to end only
	// body is all of the body, or the first part of a long one.
	body []byte
	// stream is the rest of a long body; nil: there is none.
	stream *responseStream
	buf    *pooledBuffer // that body is a part of; nil: none
	// contentLength is the value of the client's Content-Length.
	contentLength [1]string
}

// copyHeader puts the header fields into a header, which refers to them from then on.
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
	default: // net/http sends it in chunks
		return
	}
	h["Content-Length"] = p.contentLength[:]
}

// freeBuffer gives the buffer back; the body must not be used any more.
func (p *response) freeBuffer() {
	if p.buf != nil {
		p.buf.pool.put(p.buf)
		p.buf = nil
		p.body = nil
	}
}

// Release implements routing.Releaser: nobody takes the response.
func (p *response) Release() {
	if p.stream != nil {
		p.stream.finish(reasonCancelled)
	}
}

// headerField is a line of a head. Its value is an array so that a header can refer to it.
type headerField struct {
	name  string // in canonical form
	value [1]string
}

// isHopByHop reports whether a header field, in canonical form, concerns one connection only.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// connectionOptions are the header fields that Connection names: they concern one connection only, too.
func connectionOptions(lists []string) []string {
	var names []string
	for _, list := range lists {
		for name := range strings.SplitSeq(list, ",") {
			names = append(names, canonicalHeader(strings.TrimSpace(name)))
		}
	}
	return names
}
