// Package transport speaks HTTP/1.1 over TCP: the front that client
// connections reach, the carrier that brings tries and probes to peers, and
// the watch on the upstream group.
package transport

import (
	"maps"
	"net/http"
	"net/textproto"
	"strings"
)

// message is a client's request as it came; it is a call's payload.
type message struct {
	method, target, host string
	header               http.Header // end to end only
	body                 []byte
}

// reply is a peer's answer to a served try.
type reply struct {
	header http.Header
	body   []byte
}

// endToEnd copies a header without what concerns one connection only.
func endToEnd(h http.Header) http.Header {
	out := maps.Clone(h)
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range []string{"Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Authenticate",
		"Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"} {
		delete(out, name)
	}
	return out
}
