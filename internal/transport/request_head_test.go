package transport

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

// serveRaw returns a function that sends a raw request on a new connection to a frontend whose handler serves every
// call. The function returns the response and the bytes that a server would receive; "" if the call was not handled.
func serveRaw(t *testing.T) func(raw string) (resp *http.Response, toServer string) {
	received := make(chan string, 1)
	addr, _, _ := newTestFrontend(t, 100, func(ctx context.Context, c routing.Call) (routing.Answer, bool) {
		m := c.Payload.(*requestMessage)
		b, own := m.compose(c.Timeout)
		received <- string(b)
		m.releaseRoom(own)
		return routing.Answer{Verdict: routing.Served, Reply: &response{}}, true
	})
	return func(raw string) (*http.Response, string) {
		c := dialClient(t, addr)
		defer c.Close()
		go io.WriteString(c, raw)
		method, _, _ := strings.Cut(raw, " ")
		resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
		if err != nil {
			t.Fatalf("%q: %v", raw, err)
		}
		io.Copy(io.Discard, resp.Body)
		select {
		case toServer := <-received:
			return resp, toServer
		default:
			return resp, ""
		}
	}
}

// TestMalformedRequests: a malformed request gets a 4xx or 505 and no attempt.
func TestMalformedRequests(t *testing.T) {
	addr, front, _ := newTestFrontend(t, 10, func(ctx context.Context, c routing.Call) (routing.Answer, bool) {
		body := bytes.Clone(c.Payload.(*requestMessage).body)
		return routing.Answer{Verdict: routing.Served, Reply: &response{body: body}}, true
	})
	body := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) + strings.Repeat("x", n) }
	cases := []struct {
		raw  string
		want int
	}{
		{callHead + body(0), 200},
		{callHead + body(protocol.MaxBufferedBody), 200},
		{callHead + body(protocol.MaxBufferedBody+1), 200},
		{callHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxRequestBody+1), 413},
		{callHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 200},
		{callHead + "Transfer-Encoding: chunked\r\n\r\n10001\r\n" + strings.Repeat("x", 0x10001) + "\r\n0\r\n\r\n", 200},
		{strings.Replace(callHead, "book", "gift", 1) + body(0), 400},
		{strings.Replace(callHead, "0.5", "soon", 1) + body(0), 400},
		{strings.Replace(callHead, "X-Call-Id", "X-Id", 1) + body(0), 400},
		{strings.Replace(callHead, ": 9b", ": 9 b", 1) + body(0), 400},
		{strings.Replace(callHead, ": 9b", ": 9"+strings.Repeat("b", 128), 1) + body(0), 400},
		{strings.Replace(callHead, "/api", "//api", 1) + body(0), 400},
		{callHead + "Transfer-Encoding: chunked\r\n" + body(2), 400},
		{callHead + "content-LENGTH: 2\r\ntransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{strings.Replace(callHead, "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\n" + body(2), 505},
		{callHead + "Content-Length: 2\r\n" + body(3), 0}, {callHead + "Content-Length: -1\r\n\r\n", 0},
		{callHead + "Content-Length:\r\n 2\r\n\r\nhi", 400},
	}
	malformed := 0
	for _, c := range cases {
		resp, _ := dialClient(t, addr).roundTrip(t, c.raw)
		if c.want == 0 { // answered by net/http itself
			c.want = 400
		} else if c.want != 200 {
			malformed++
		}
		if resp.StatusCode != c.want || !resp.Close && (c.want != 200 || strings.Contains(c.raw, "chunked")) {
			t.Errorf("%.190q: status %d, want %d; close = %v", c.raw, resp.StatusCode, c.want, resp.Close)
		}
	}
	if front.Malformed() != int64(malformed) {
		t.Errorf("%d requests counted as malformed, want %d", front.Malformed(), malformed)
	}
}

// TestConnectionOptions: a client must not make the node remove header fields that a server needs from an attempt, nor
// add a second value of such a field under another name.
func TestConnectionOptions(t *testing.T) {
	send := serveRaw(t)
	for line, want := range map[string]int{
		"Connection: X-Call-Id": 400, "Connection: keep-alive, x-call-ID": 400,
		"Connection: close\r\nconnection:X-Budget ,": 400,
		"Connection: X-Call-Class":                   400, "Connection: X-Caller": 400, "Connection: X-Again": 400,
		"Connection: X-Call-Info": 400,
		"Connection: Host":        400, "Connection: Content-Length": 400, "Connection: Transfer-Encoding": 400,
		"X_Call_Id: 9c": 400, "x-call_class: book": 400, "X_Budget: 9": 400, "Content_Length: 0": 400,
		"Transfer_Encoding: chunked":                              400,
		"Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX_Other: 1": 200, "Connection: Upgrade\r\nUpgrade: h2c": 200,
	} {
		resp, toServer := send(callHead + line + "\r\nContent-Length: 2\r\n\r\nhi")
		if resp.StatusCode != want || (toServer != "") != (want == 200) {
			t.Errorf("%q: status %d, want %d; to the server: %q", line, resp.StatusCode, want, toServer)
		}
		hops := strings.Contains(toServer, "X-Hop") || strings.Contains(toServer, "h2c")
		if want == 200 && (!strings.Contains(toServer, protocol.HeaderCallID) || hops) {
			t.Errorf("%q: to the server: %q", line, toServer)
		}
	}
}

// TestMethods: the class of a call determines its method, because it determines the permitted handling: a POST is never
// sent twice, and a GET has no body.
func TestMethods(t *testing.T) {
	send := serveRaw(t)
	class := func(method, class, rest string) string {
		return method + " /api?user=7f HTTP/1.1\r\nHost: h\r\nX-Call-Id: 9b\r\n" +
			"X-Call-Class: " + class + "\r\nX-Budget: 0.5\r\n" + rest
	}
	long := strings.Repeat("x", 70000) // too long to be buffered
	const empty, body = "\r\n", "Content-Length: 2\r\n\r\nhi"
	const chunk = "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
	for raw, want := range map[string]struct {
		status int
		allow  string
	}{
		class("GET", "status", empty):                       {200, ""},
		class("GET", "status", "Content-Length: 0\r\n\r\n"): {200, ""},
		class("POST", "book", body):                         {200, ""}, class("POST", "book", chunk): {200, ""},
		class("POST", "book", empty):  {200, ""},
		class("POST", "status", body): {405, "GET"}, class("GET", "book", empty): {405, "POST"},
		class("get", "status", empty):  {405, "GET"},
		class("HEAD", "status", empty): {405, "GET"}, class("OPTIONS", "status", empty): {405, "GET"},
		class("PUT", "book", body):    {405, "POST"},
		class("TRACE", "book", empty): {405, "POST"}, class("PATCH", "book", body): {405, "POST"},
		class("WORD", "book", body):  {405, "POST"},
		class("GET", "status", body): {400, ""}, class("GET", "status", chunk): {400, ""},
		class("GET", "status", "Content-Length: 70000\r\n\r\n"+long):                               {400, ""},
		class("GET", "status", "Transfer-Encoding: chunked\r\n\r\n11170\r\n"+long+"\r\n0\r\n\r\n"): {400, ""},
		"POST /health/ready HTTP/1.1\r\nHost: h\r\n" + body:                                        {405, "GET"},
		"GET /health/ready?a HTTP/1.1\r\nHost: h\r\n\r\n":                                          {200, ""},
		"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n":                                                    {400, ""},
		"GET /health/%72eady HTTP/1.1\r\nHost: h\r\n\r\n":                                          {400, ""},
		class("CONNECT", "status", empty):                                                          {405, "GET"},
	} {
		resp, toServer := send(raw)
		if resp.StatusCode != want.status || resp.Header.Get("Allow") != want.allow ||
			(toServer != "") != (want.status == 200 && !strings.Contains(raw, protocol.PathReady)) ||
			resp.Close != (want.status != 200 || strings.Contains(raw, "chunked")) {
			t.Errorf("%.300q: status %d, allow %q, want %v; to the server: %.300q",
				raw, resp.StatusCode, resp.Header.Get("Allow"), want, toServer)
		}
	}
}

// TestStrictRequestHeads: a request that is not strictly HTTP/1.1, or that can be parsed in two ways, gets an error and
// no attempt; an unusual but valid request reaches the server unchanged.
func TestStrictRequestHeads(t *testing.T) {
	send := serveRaw(t)
	const rest = " HTTP/1.1\r\nHost: h\r\nX-Call-Id: 9b\r\nX-Call-Class: status\r\nX-Budget: 0.5\r\n\r\n"
	line := func(s string) string { return strings.Replace("GET /api"+rest, "Host: h", "Host: h\r\n"+s, 1) }
	host := func(s string) string { return strings.Replace("GET /api"+rest, "Host: h\r\n", s, 1) }
	for _, target := range []string{"/api?user=a%2Fb&x=%7e", "/", "/?", "/a?x[]=1|2", "/a;b=1/c,d?x;y=z&user=7f",
		"/a!$&'()*+,;=:@-._~", "/api/%C3%A9?q=a/b?c",
		"/api?users=a&user=b", "/a/../b/./c", "/api?user=a+b&y=user", "/a//b"} {
		resp, toServer := send("GET " + target + rest)
		if resp.StatusCode != 200 || !strings.HasPrefix(toServer, "GET "+target+" HTTP/1.1\r\n") {
			t.Errorf("%s: status %d, want 200; to the server: %q", target, resp.StatusCode, toServer)
		}
	}
	for _, target := range []string{"/api#x", "/api?user=7f#x", "/#", "/api?a=\x01", "/a\x7f", "/a\x00",
		"/\xc3\xa9", "/api?user=\xe9", "/%zz", "/api?x=%zz",
		"/api?x=%", "/api?x=%4", "/api?user=%4", "/a\\b", "/a|b", "/a\"b", "/a<b>", "/a^b", "/a`b", "/{id}",
		"/a[1]", "//api", "api", "*", "?user=7f",
		"http://h//api", "h:80", "/a b", "/a\tb", "", " /api", "/api?user=a&user=b", "/api?user=a&%75ser=b",
		"/api?user&user=b"} {
		if resp, toServer := send("GET " + target + rest); resp.StatusCode != 400 || toServer != "" {
			t.Errorf("%q: status %d, want 400; to the server: %q", target, resp.StatusCode, toServer)
		}
	}
	for _, raw := range []string{line("A: b"), line("a_b: c"), line("A: b\r\nA: c"), line("A:"),
		line("A: \xe9"), line("Expect: 100-continue"),
		host("Host: h.example:8080\r\n"), host("host: [::1]:80\r\n"),
		line("Accept: */*\r\nUser-Agent: x/1 (y; z)\r\nX-Call-Info: a=1,b=2")} {
		if resp, toServer := send(raw); resp.StatusCode != 200 || toServer == "" {
			t.Errorf("%q: status %d, want 200", raw, resp.StatusCode)
		}
	}
	for _, raw := range []string{line("A : b"), line(": b"), line("A b: c"), line("A\x00: b"),
		line("A: b\x00"), line("A: b\rc"), line("A: \x7f"),
		line("A: b\r\n c"), line(" A: b"), line("A"), line("(A): b"), line("\xe9: b"), line("x-call-id: 9c"),
		line("X-CALL-ID: 9b"), line("X-Again: 1\r\nx-again: 0"),
		line("Host: h"), host(""), host("Host:\r\n"), host("Host: a b\r\n"), host("Host: a,b\r\n"),
		host("Host: a/b\r\n"), host("Host: u@h\r\n"), host("Host: h\r\n c\r\n"),
		host("Host: %zz\r\n"), host("Host: \xe9\r\n"), line("Expect: 200-ok"),
		line("Content-Length: 0\r\nContent-Length: 0"), line("Content-Length: 0, 0"),
		line("Content-Length: +0"), line("Content-Length:"), line("Transfer-Encoding: chunked, chunked"),
		line("Transfer-Encoding: identity"),
		line("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"),
		line("Transfer-Encoding:\x0bchunked"), line("Transfer-Encoding: gzip, chunked"),
		line("A: b\nC: d"), strings.Replace("GET /api"+rest, "\r\n\r\n", "\r\n\n", 1),
		strings.ReplaceAll("GET /api"+rest, "\r\n", "\n"),
		"GET  /api" + rest, "GET\t/api" + rest, "GET /api " + rest,
		strings.Replace("GET /api"+rest, "1.1", "2.0", 1),
		strings.Replace("GET /api"+rest, "HTTP/1.1", "http/1.1", 1), "G@T /api" + rest,
		"\r\n\r\nGET /api" + rest, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"GET /" + strings.Repeat("a", 40<<10) + rest} {
		if resp, toServer := send(raw); resp.StatusCode < 400 || toServer != "" {
			t.Errorf("%.300q: status %d, want at least 400; to the server: %q", raw, resp.StatusCode, toServer)
		}
	}
}

// TestAbsoluteFormTargets: originForm reduces a target in absolute form to its path and query, and keeps other targets.
func TestAbsoluteFormTargets(t *testing.T) {
	for target, want := range map[string]string{
		"/api?a=b":       "/api?a=b",
		"http://h":       "/",
		"http://h/":      "/",
		"http://h/api?a": "/api?a",
		"http://h?a":     "/?a",
		"*":              "*",
	} {
		if got := originForm(target); got != want {
			t.Errorf("originForm(%s) = %s, want %s", target, got, want)
		}
	}
}
