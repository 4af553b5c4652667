package main

import (
	"net/http"
	"sync/atomic"
	"testing"
)

// TestAnswerLongerThanItsLength guards against an answer that is served without its end because its length is too small
// (review/8). The request may have run: only one that is safe to repeat is sent again.
func TestAnswerLongerThanItsLength(t *testing.T) {
	const longer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nanswer"
	for _, c := range []struct {
		method, class string
		status        int
		body          string
		received      int64
	}{
		{"GET", "status", http.StatusOK, "whole", 2},
		{"POST", "book", http.StatusBadGateway, "", 1},
	} {
		t.Run(c.class, func(t *testing.T) {
			var received atomic.Int64
			serve := func(w http.ResponseWriter, r *http.Request) {
				if received.Add(1) == 1 {
					rawResponse(longer)(w, r)
					return
				}
				w.Write([]byte("whole"))
			}
			n := prepare(t, config, unchangedList, serve, serve)
			n.markServersWarm(t)
			n.launch(t)
			status, body := n.call(t, c.method, "/api", c.class, "")
			if status != c.status || body != c.body || received.Load() != c.received {
				t.Errorf("status %d, body %q after %d attempts, want %d, %q after %d", status, body, received.Load(), c.status,
					c.body, c.received)
			}
		})
	}
}
