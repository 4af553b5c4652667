package transport

import (
	"context"
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
		resp, _ := c.ask(t, raw)
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
