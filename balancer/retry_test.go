package balancer

import "testing"

// Guards against a request that kills whatever runs it: one whose connection broke goes no further, and its
// client is asked to stay away for long. A failed connection, which proves that it never ran, is no such sign.
func TestResetIsNotRetried(t *testing.T) {
	for _, c := range []struct {
		result Result
		shots  int
		ended  string
	}{{Reset, 1, "refuse"}, {ConnectFailed, 2, ""}, {Errored, 2, ""}} {
		g := newHarness(t, testSettings(), 1, testServers(6)...)
		id := g.request(0, 5)
		g.respond(id, 0, c.result)
		if tk := g.requests[id]; len(tk.attempts) != c.shots || tk.answer != c.ended {
			t.Errorf("after result %d: %d attempts, ended %q", c.result, len(tk.attempts), tk.answer)
		}
		if c.result == Reset && g.lastRetryAfter != g.settings.MaxRetryAfter {
			t.Errorf("advice to come back after %v", g.lastRetryAfter)
		}
	}
}
