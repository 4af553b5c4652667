package transport

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

// TestEvictedRequestIsRejected: a request that is read in part and whose connection is evicted for another client gets
// one answer, also if its client goes on writing. Before, the connection was closed without an answer.
func TestEvictedRequestIsRejected(t *testing.T) {
	const longBody = protocol.MaxBufferedBody + 1
	for name, c := range map[string]struct{ first, begun, rest string }{
		"head in pieces": {"", callHead[:len(callHead)/2], callHead[len(callHead)/2:] + "Content-Length: 0\r\n\r\n"},
		"one byte after an answer": {
			callHead + "Content-Length: 0\r\n\r\n", callHead[:1], callHead[1:] + "Content-Length: 0\r\n\r\n"},
		"body in pieces": {"", callHead + "Content-Length: 4\r\n\r\nab", "cd"},
		"long body": {
			"", fmt.Sprintf("%sContent-Length: %d\r\n\r\nab", callHead, longBody), string(make([]byte, longBody-2))},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, _, _ := newTestFrontend(t, 1, func(ctx context.Context, c routing.Call) (routing.Answer, bool) {
				if c.StreamsBody { // an attempt that waits for the rest of the body
					<-ctx.Done()
					return routing.Answer{}, false
				}
				return routing.Answer{Verdict: routing.Failed}, true
			})
			stalled := dialClient(t, addr)
			if c.first != "" {
				stalled.roundTrip(t, c.first)
			}
			io.WriteString(stalled, c.begun)
			time.Sleep(stalledGrace + 100*time.Millisecond)
			other := dialClient(t, addr)
			if resp, _ := other.roundTrip(t, callHead+"Content-Length: 0\r\n\r\n"); resp.StatusCode != http.StatusBadGateway {
				t.Errorf("the other client's request: status %d, want 502", resp.StatusCode)
			}
			io.WriteString(stalled, c.rest)
			stalled.SetReadDeadline(time.Now().Add(5 * time.Second))
			resp, err := http.ReadResponse(stalled.in, nil)
			if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
				t.Fatalf("the evicted request: response %v, error %v; want 503 and the end of the connection", resp, err)
			}
			if more, _ := io.ReadAll(stalled.in); len(more) > 0 {
				t.Errorf("a second answer: %q", more)
			}
		})
	}
}
