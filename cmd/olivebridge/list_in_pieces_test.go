package main

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"
)

// Each answer of discovery comes in pieces, which take 1.5 s in all.
func TestListInPiecesIsApplied(t *testing.T) {
	const list = `{"version":2,"full":false,"servers":[{"id":"s-0","addr":"127.0.0.1:1","state":"Terminating"}]}`
	const pieces, told = 5, 6 * time.Second // from the change to the time at which it counts as told
	for name, framing := range map[string]string{
		"with a length": "Content-Length", "in chunks": "", "without a length": "Connection",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var attempts atomic.Int64
			n := start(t, func(w http.ResponseWriter, _ *http.Request) {
				switch framing {
				case "Content-Length":
					w.Header().Set(framing, strconv.Itoa(len(list)))
				case "Connection":
					w.Header().Set("Connection", "close")
				}
				for i := range pieces {
					io.WriteString(w, list[len(list)*i/pieces:len(list)*(i+1)/pieces])
					w.(http.Flusher).Flush()
					time.Sleep(300 * time.Millisecond)
				}
			}, func(http.ResponseWriter, *http.Request) { attempts.Add(1) })
			time.Sleep(told)
			if status, _ := n.call(t, "POST", "/api", "book", "x"); status != 503 || attempts.Load() != 0 {
				t.Errorf("got status %d after %d attempts, want 503 after none", status, attempts.Load())
			}
		})
	}
}
