package balancer

import (
	"slices"
	"testing"
	"time"
)

// TestUpdateSettings: changed settings apply from the next decision on. Learnt values stay, and the number of classes
// cannot change.
func TestUpdateSettings(t *testing.T) {
	set := testSettings()
	h := newHarness(t, set, 1, testServers(3)...)
	latency := h.b.classes[0].meanLatency
	set.MaxAttempts, set.Nodes = 1, 0
	set.Classes = slices.Clone(set.Classes)
	set.Classes[0].PriorityWeight = 99
	err := h.b.UpdateSettings(h.now, set)
	first := &h.b.classes[0]
	if err != nil || h.b.settings.Nodes != 1 || first.PriorityWeight != 99 || first.meanLatency != latency {
		t.Errorf("error %v, class %+v; want the changed settings and the learnt latency", err, h.b.classes[0])
	}
	id := h.request(0, 7)
	if h.respond(id, 0, Rejected); len(h.requests[id].attempts) != 1 {
		t.Errorf("%d attempts, want the 1 that MaxAttempts allows", len(h.requests[id].attempts))
	}
	set.Classes = set.Classes[1:]
	if err := h.b.UpdateSettings(h.now, set); err == nil || len(h.b.settings.Classes) != len(h.b.classes) {
		t.Error("settings with one class fewer were accepted")
	}
}

// TestRequestsKeepTheirIdempotency: an open request keeps the idempotency that its class had on its arrival, whatever
// the settings are at the time of its outcome. Otherwise, a reload could let a request run twice, or reject a request
// that may have run.
func TestRequestsKeepTheirIdempotency(t *testing.T) {
	const idempotent, nonIdempotent, keyedInFleet = 0, 1, 4
	for name, c := range map[string]struct{ class, newClass, wantAttempts int }{
		"non-idempotent becomes idempotent":      {nonIdempotent, idempotent, 1},
		"key of the fleet becomes idempotent":    {keyedInFleet, idempotent, 1}, // the new class has no window
		"idempotent becomes non-idempotent":      {idempotent, nonIdempotent, 2},
		"key of a cell becomes key of the fleet": {2, keyedInFleet, 1}, // no other server is in its cell
	} {
		servers := testServers(2)
		servers[1].Cell = 9
		h := newHarness(t, testSettings(), 1, servers...)
		id := h.request(c.class, 7)
		oldClass, set := h.settings.Classes[c.class], testSettings()
		set.Classes[c.class] = set.Classes[c.newClass]
		if err := h.b.UpdateSettings(h.now, set); err != nil {
			t.Fatal(err)
		}
		h.respond(id, 0, Errored) // the attempt may have run
		if n := len(h.requests[id].attempts); n != c.wantAttempts {
			t.Errorf("%s: %d attempts, want %d", name, n, c.wantAttempts)
		}
		harmless := oldClass.Idempotency == Idempotent ||
			oldClass.Idempotency == IdempotencyKeyed && oldClass.DedupScope == DedupFleet
		if c.wantAttempts == 1 && !harmless && h.requests[id].answer != "fail" {
			t.Errorf("%s: the final answer is %q, want a failure", name, h.requests[id].answer)
		}
		h.assertNoViolations()
	}
}

// TestRequestsKeepTheirDedupWindow: an open request keeps the deduplication window that its class had on its arrival,
// because the server of its first attempt may drop duplicates for only so long. If settings have shortened the window
// since, the shorter one applies.
func TestRequestsKeepTheirDedupWindow(t *testing.T) {
	const keyedInFleet = 4
	for _, c := range []struct {
		oldWindow, newWindow, wait Time
		wantAttempts               int
	}{
		{300 * ms, 300 * ms, 200 * ms, 2}, {300 * ms, 300 * ms, 400 * ms, 1},
		{300 * ms, 600 * ms, 200 * ms, 2}, {300 * ms, 600 * ms, 400 * ms, 1},
		{600 * ms, 300 * ms, 200 * ms, 2}, {600 * ms, 300 * ms, 400 * ms, 1},
	} {
		before, after := testSettings(), testSettings()
		before.Classes[keyedInFleet].DedupWindow = time.Duration(c.oldWindow)
		after.Classes[keyedInFleet].DedupWindow = time.Duration(c.newWindow)
		h := newHarness(t, before, 1, testServers(2)...)
		id := h.request(keyedInFleet, 7)
		if err := h.b.UpdateSettings(h.now, after); err != nil {
			t.Fatal(err)
		}
		h.now += c.wait
		h.respond(id, 0, Errored) // the attempt may have run
		if n := len(h.requests[id].attempts); n != c.wantAttempts {
			t.Errorf("window %d ms, then %d ms: %d attempts after %d ms, want %d",
				c.oldWindow/ms, c.newWindow/ms, n, c.wait/ms, c.wantAttempts)
		}
	}
}

// TestOutOfRangeInput: weights, classes and timeouts that are out of range cause no panic, and settings without classes
// are an error.
func TestOutOfRangeInput(t *testing.T) {
	nan := float32(0)
	nan /= nan
	h := newHarness(t, testSettings(), 1,
		Server{ID: 1, State: Ready, Weight: nan}, Server{ID: 2, State: Ready, Weight: -3},
		Server{ID: 3, State: Ready})
	h.request(0, 0)
	h.b.HandleRequest(h.now, Request{ID: 900, Class: 99})
	h.requests[901] = &trackedRequest{}
	h.b.HandleRequest(h.now, Request{ID: 901, Timeout: -time.Second})
	if h.requests[901].answer == "" && len(h.requests[901].attempts) == 0 {
		t.Error("a request past its deadline is neither answered nor sent")
	}
	if _, err := New(Settings{}, 1, 0, h); err == nil {
		t.Error("settings without classes were accepted")
	}
}
