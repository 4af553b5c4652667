// Package transport speaks HTTP/1.1 over TCP: the front that client
// connections reach, the carrier that brings tries and probes to peers, and
// the watch on the upstream group.
package transport

import (
	"io"
	"maps"
	"net/http"
	"strings"

	"olivebridge/internal/protocol"
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
			delete(out, canonical(strings.TrimSpace(name)))
		}
	}
	for _, name := range []string{"Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Authenticate",
		"Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"} {
		delete(out, name)
	}
	return out
}

// readBody reads a body of at most protocol.MaxBody bytes, or one byte more,
// which shows that it is too large. length is what its head announced; -1: nothing.
// Room is made once where it is known: growing buffers of many calls at a time
// would take much of a small machine's memory.
func readBody(r io.Reader, length int64) ([]byte, error) {
	limited := io.LimitReader(r, protocol.MaxBody+1)
	if length < 0 || length > protocol.MaxBody {
		return io.ReadAll(limited)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(limited, body); err != nil {
		return nil, err
	}
	_, err := limited.Read(make([]byte, 1)) // the end of the body frees its connection
	if err == io.EOF {
		err = nil
	}
	return body, err
}
