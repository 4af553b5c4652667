package balancer

import (
	"testing"
	"time"
)

func drainFirstServer(h *harness, id RequestID) {
	first := h.requests[id].attempts[0].server
	h.b.serversByID[first].State = Draining
}

func failAfterWindow(h *harness, id RequestID) {
	h.respond(id, 0, Errored)
	h.now += 300 * ms
}

func answerAfterHedge(h *harness, id RequestID) {
	h.sendHedge(id)
	h.respond(id, 0, OK)
}

// TestMayBegin covers the conditions that are checked again before the first byte of an attempt is sent, except the
// slow-start allowance.
func TestMayBegin(t *testing.T) {
	for name, c := range map[string]struct {
		class, attempt int
		want           bool
		change         func(*harness, RequestID)
	}{
		"no change": {1, 0, true, func(*harness, RequestID) {}},
		"request body is streaming": {1, 0, true, func(h *harness, id RequestID) {
			h.b.requests[id].streamsBody = true
		}},
		"server is draining": {1, 0, false, drainFirstServer},
		"client has disconnected": {0, 0, false, func(h *harness, id RequestID) {
			h.b.HandleDisconnect(h.now, id)
		}},
		"deadline has passed": {0, 0, false, func(h *harness, _ RequestID) {
			h.now += Time(time.Second)
		}},
		"attempt was never sent": {0, 1, false, func(*harness, RequestID) {}},
		"attempt has ended": {2, 0, false, func(h *harness, id RequestID) {
			h.respond(id, 0, Errored)
		}},
		"retry within the deduplication window": {2, 1, true, func(h *harness, id RequestID) {
			h.respond(id, 0, Errored)
		}},
		"retry after the deduplication window":        {2, 1, false, failAfterWindow},
		"hedged attempt":                              {0, 1, true, (*harness).sendHedge},
		"first attempt with a hedged one outstanding": {0, 0, true, (*harness).sendHedge},
		"hedged attempt of an answered request":       {0, 1, false, answerAfterHedge},
	} {
		h := newHarness(t, testSettings(), 1, testServers(6)...)
		id := h.request(c.class, 7)
		c.change(h, id)
		if got := h.b.MayBegin(h.now, id, c.attempt); got != c.want || h.b.MayBegin(h.now, id, -1) {
			t.Errorf("%s: MayBegin returned %v, want the opposite; or it allowed attempt -1", name, got)
		}
		h.assertNoViolations()
	}
}

// TestStreamedBodyCountsWhenSent: until the last byte of its body is sent, a streamed request does not count against a
// concurrency limit and is no evidence about its server. It is sent only once, even if the attempt provably never ran,
// and the latency of its answer counts from that byte.
func TestStreamedBodyCountsWhenSent(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testServers(4)...)
	startStreamed := func() (RequestID, *request) {
		id := h.request(1, 7)
		h.nextID++
		h.requests[id+1] = &trackedRequest{class: 1, deadline: 1 << 62}
		h.openRequests = append(h.openRequests, id+1)
		h.b.HandleRequest(h.now, Request{ID: id + 1, Timeout: time.Hour, AffinityKey: 7, Class: 1, StreamsBody: true})
		h.respond(id, 0, OK)
		return id + 1, h.b.requests[id+1]
	}
	id, r := startStreamed()
	s := r.attempts[0].server
	if s.load.inFlight != 0 || !r.attempts[0].silenceExplained {
		t.Fatalf("%d requests in flight while the body is streaming, want 0 and an explained silence", s.load.inFlight)
	}
	h.advance(5*time.Second, 20*time.Millisecond, func(ServerID) bool { return false })
	if h.b.overtakenShare != 0 || r.finished {
		t.Errorf("a slow request body counts as silence of the server: overtaken share %v, want 0 and an open request",
			h.b.overtakenShare)
	}
	h.b.HandleBodySent(h.now, id, 0, time.Second)
	if s.load.inFlight != 1 || r.deadline != h.now+Time(time.Second) || r.attempts[0].sentAt != h.now {
		t.Errorf("after the last byte: %d requests in flight, deadline %d at time %d; want 1 and a deadline 1 s later",
			s.load.inFlight, r.deadline, h.now)
	}
	h.respond(id, 0, OK)
	if s.load.inFlight != 0 || h.b.requests[id] != nil {
		t.Error("the request still counts as in flight or is still stored after its outcome")
	}
	id, _ = startStreamed()
	h.respond(id, 0, ConnectFailed)
	if got := h.requests[id]; got.answer != "refuse" || len(got.attempts) != 1 {
		t.Errorf("after an attempt that never ran: answer %q, %d attempts; want a rejection and 1 attempt",
			got.answer, len(got.attempts))
	}
	h.assertNoViolations()
}
