package transport

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// TestRequestLongerThanItsLength guards against a request that is run without the end of its body because its announced
// length is too small. A further request behind a body is served.
func TestRequestLongerThanItsLength(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	body := func(missing int, text string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", callHead, len(text)-missing, text)
	}
	chunked := callHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
	for name, c := range map[string]struct {
		raw    string
		status int
		ran    int
	}{
		"four bytes longer":        {body(4, `{"job":"a-17","copies":125}`), 400, 0},
		"one byte longer":          {body(1, `{"job":"a-17"}`), 400, 0},
		"length of 0":              {body(6, "copies"), 400, 0},
		"long, six bytes longer":   {body(6, long), 400, 0},
		"chunked, noise behind":    {chunked + "\x16noise", 200, 1}, // the last chunk is its end
		"further request":          {body(0, "copies") + body(0, "copies"), 200, 2},
		"long, further request":    {body(0, long) + body(0, "copies"), 200, 2},
		"empty line behind":        {body(0, "copies") + "\r\n", 200, 1},
		"beginning of a request":   {body(0, "copies") + "PO", 200, 1},
		"chunked, further request": {chunked + body(0, "copies"), 200, 2},
	} {
		t.Run(name, func(t *testing.T) {
			server, ran := startScriptedServer(t, okResponse, okResponse)
			addr, _, _, _, _ := newFrontendOverTransport(t, server, 10)
			client := dialClient(t, addr)
			resp, _ := client.roundTrip(t, c.raw)
			if c.ran == 2 {
				if _, err := http.ReadResponse(client.in, nil); err != nil {
					t.Errorf("no answer to the further request: %v", err)
				}
			}
			if resp.StatusCode != c.status || len(ran) != c.ran {
				t.Errorf("status %d, ran %d times, want %d and %d", resp.StatusCode, len(ran), c.status, c.ran)
			}
		})
	}
}
