package transport

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"olivebridge/balancer"
)

// TestResponseLongerThanItsLength guards against a body that is served without its end because its announced length is
// too small. A further response, or framing that ends by itself, proves that the body is whole.
func TestResponseLongerThanItsLength(t *testing.T) {
	const noise = "\x16\x03\x01 noise"
	const rejected = "HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
	sized := func(missing int, body string) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)-missing) + "\r\n\r\n" + body
	}
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
	asksClose := strings.Replace(sized(6, "answer"), "\r\n", "\r\nConnection: close\r\n", 1)
	long := strings.Repeat("x", 20<<10) // does not fit the buffer of a reader
	for name, c := range map[string]struct {
		raw  string
		want balancer.Result
	}{
		"six bytes longer":            {sized(6, "answer to call-000009"), balancer.Errored},
		"one byte longer":             {sized(1, "answer"), balancer.Errored},
		"length of 0":                 {sized(6, "answer"), balancer.Errored},
		"long, six bytes longer":      {sized(6, long), balancer.Errored},
		"long, much longer":           {sized(9<<10, long), balancer.Errored},
		"longer, second response":     {sized(6, "answer") + okResponse, balancer.Errored},
		"noise behind":                {okResponse + noise, balancer.Errored},
		"part of a status line":       {okResponse + okResponse[:8], balancer.Errored},
		"second response":             {okResponse + okResponse, balancer.OK},
		"long, second response":       {sized(0, long) + sized(0, long), balancer.OK},
		"empty, second response":      {sized(0, "") + okResponse, balancer.OK},
		"chunked, noise behind":       {chunked + noise, balancer.OK},
		"close asked, longer":         {asksClose, balancer.Errored},
		"rejection with noise behind": {rejected + noise, balancer.Rejected},
	} {
		server, _ := startScriptedServer(t, c.raw, okResponse)
		transport, _ := newTestTransport(time.Second)
		r := transport.RoundTrip(t.Context(), newAttempt(server, "POST", "book"))
		if r.Result != c.want || (r.Reply != nil) != (c.want == balancer.OK) {
			t.Errorf("%s: result %d, reply %v, want result %d", name, r.Result, r.Reply != nil, c.want)
		}
		if transport.Conns() != 0 {
			t.Errorf("%s: the connection is kept", name)
		}
	}
}
