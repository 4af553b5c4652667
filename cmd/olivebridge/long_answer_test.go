package main

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// TestLongAnswerOfStalledServer: a long answer whose server stops in the middle is cut while it does not count as lost
// yet, and its client can tell. Before, the node waited for that server for 30 s.
func TestLongAnswerOfStalledServer(t *testing.T) {
	const length = 1 << 20
	for name, framing := range map[string]int{"with a length": length, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			n := start(t, unchangedList, func(w http.ResponseWriter, r *http.Request) {
				if framing >= 0 {
					w.Header().Set("Content-Length", strconv.Itoa(framing))
				}
				w.Write(make([]byte, length/2))
				w.(http.Flusher).Flush()
				<-release
			})
			t.Cleanup(func() { close(release) }) // before the server waits for its requests
			req, err := http.NewRequest("GET", "http://"+n.addr+"/api", nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Header = callHeader("9b1f-long-answer", "status", "1.5")
			begun := time.Now()
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			time.AfterFunc(5*time.Second, func() { resp.Body.Close() })
			got, err := io.Copy(io.Discard, resp.Body)
			elapsed := time.Since(begun)
			if got != length/2 || err == nil || elapsed < longTimeout || elapsed > longTimeout+answerSlack {
				t.Errorf("read %d bytes and error %v after %v, want half of the answer, and an error after %v to %v", got, err,
					elapsed, longTimeout, longTimeout+answerSlack)
			}
		})
	}
}
