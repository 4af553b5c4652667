package transport

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

// served sends raw requests, each on a connection of its own, to a front that
// serves whatever it takes. It tells the status, and what the peer would get.
func served(t *testing.T) func(raw string) (resp *http.Response, peer string) {
	got := make(chan string, 1)
	addr, _, _ := newFront(t, 100, func(ctx context.Context, c routing.Call) (routing.Answer, bool) {
		m := c.Payload.(*message)
		got <- string(m.bytes(m.header))
		return routing.Answer{Verdict: routing.Served, Reply: &reply{}}, true
	})
	return func(raw string) (*http.Response, string) {
		c := dial(t, addr)
		defer c.Close()
		go io.WriteString(c, raw)
		method, _, _ := strings.Cut(raw, " ")
		resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
		if err != nil {
			t.Fatalf("%q: %v", raw, err)
		}
		io.Copy(io.Discard, resp.Body)
		select {
		case peer := <-got:
			return resp, peer
		default:
			return resp, ""
		}
	}
}

// TestConnectionOptions: a client must not make the node take from a try what
// its peer needs, nor hand it a second value for that under another name.
func TestConnectionOptions(t *testing.T) {
	send := served(t)
	for line, want := range map[string]int{
		"Connection: X-Call-Id": 400, "Connection: keep-alive, x-call-ID": 400, "Connection: close\r\nconnection:X-Budget ,": 400,
		"Connection: X-Call-Class": 400, "Connection: X-Caller": 400, "Connection: X-Again": 400, "Connection: X-Call-Info": 400,
		"Connection: Host": 400, "Connection: Content-Length": 400, "Connection: Transfer-Encoding": 400,
		"X_Call_Id: 9c": 400, "x-call_class: book": 400, "X_Budget: 9": 400, "Content_Length: 0": 400, "Transfer_Encoding: chunked": 400,
		"Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX_Other: 1": 200, "Connection: Upgrade\r\nUpgrade: h2c": 200,
	} {
		resp, peer := send(head + line + "\r\nContent-Length: 2\r\n\r\nhi")
		if resp.StatusCode != want || (peer != "") != (want == 200) {
			t.Errorf("%q: status %d, want %d; to the peer: %q", line, resp.StatusCode, want, peer)
		}
		if want == 200 && (!strings.Contains(peer, protocol.HeaderID) || strings.Contains(peer, "X-Hop") || strings.Contains(peer, "h2c")) {
			t.Errorf("%q: to the peer: %q", line, peer)
		}
	}
}

// TestMethods: the class decides the method, since it decides what the node may
// do with a call: a POST is never sent twice, and a GET carries nothing.
func TestMethods(t *testing.T) {
	send := served(t)
	class := func(method, class, rest string) string {
		return method + " /api?user=7f HTTP/1.1\r\nHost: h\r\nX-Call-Id: 9b\r\nX-Call-Class: " + class + "\r\nX-Budget: 0.5\r\n" + rest
	}
	const empty, body, chunk = "\r\n", "Content-Length: 2\r\n\r\nhi", "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
	for raw, want := range map[string]struct {
		status int
		allow  string
	}{
		class("GET", "status", empty): {200, ""}, class("GET", "status", "Content-Length: 0\r\n\r\n"): {200, ""},
		class("POST", "book", body): {200, ""}, class("POST", "book", chunk): {200, ""}, class("POST", "book", empty): {200, ""},
		class("POST", "status", body): {405, "GET"}, class("GET", "book", empty): {405, "POST"}, class("get", "status", empty): {405, "GET"},
		class("HEAD", "status", empty): {405, "GET"}, class("OPTIONS", "status", empty): {405, "GET"}, class("PUT", "book", body): {405, "POST"},
		class("TRACE", "book", empty): {405, "POST"}, class("PATCH", "book", body): {405, "POST"}, class("WORD", "book", body): {405, "POST"},
		class("GET", "status", body): {400, ""}, class("GET", "status", chunk): {400, ""},
		"POST /health/ready HTTP/1.1\r\nHost: h\r\n" + body: {405, "GET"}, "GET /health/ready?a HTTP/1.1\r\nHost: h\r\n\r\n": {200, ""},
		"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n": {400, ""}, "GET /health/%72eady HTTP/1.1\r\nHost: h\r\n\r\n": {400, ""},
		class("CONNECT", "status", empty): {405, "GET"},
	} {
		resp, peer := send(raw)
		if resp.StatusCode != want.status || resp.Header.Get("Allow") != want.allow ||
			(peer != "") != (want.status == 200 && !strings.Contains(raw, protocol.PathReady)) || resp.Close != (want.status != 200 || strings.Contains(raw, "chunked")) {
			t.Errorf("%q: status %d, allow %q, want %v; to the peer: %q", raw, resp.StatusCode, resp.Header.Get("Allow"), want, peer)
		}
	}
}
