package balancer

import "testing"

// TestResetIsNotRetried guards against a request that brings down every server that runs it. A request whose connection
// broke is not retried, and its client is advised to wait for MaxRetryAfter. A failed connection is no such sign, since
// it proves that the request never ran.
func TestResetIsNotRetried(t *testing.T) {
	for _, c := range []struct {
		result       Result
		wantAttempts int
		wantAnswer   string
	}{{Reset, 1, "refuse"}, {ConnectFailed, 2, ""}, {Errored, 2, ""}} {
		h := newHarness(t, testSettings(), 1, testServers(6)...)
		id := h.request(0, 5)
		h.respond(id, 0, c.result)
		if tracked := h.requests[id]; len(tracked.attempts) != c.wantAttempts || tracked.answer != c.wantAnswer {
			t.Errorf("after result %d: %d attempts and answer %q", c.result, len(tracked.attempts), tracked.answer)
		}
		if c.result == Reset && h.lastRetryAfter != h.settings.MaxRetryAfter {
			t.Errorf("advice to retry after %v, want MaxRetryAfter", h.lastRetryAfter)
		}
	}
}
