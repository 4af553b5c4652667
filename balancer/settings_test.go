package balancer

import (
	"slices"
	"testing"
	"time"
)

// Changed settings hold from the next decision on; what was learnt stays, and so do the lists' lengths.
func TestUpdateSettings(t *testing.T) {
	set := testSettings()
	g := newHarness(t, set, 1, testServers(3)...)
	lat := g.b.classes[0].meanLatency
	set.MaxAttempts, set.Nodes = 1, 0
	set.Classes = slices.Clone(set.Classes)
	set.Classes[0].PriorityWeight = 99
	err := g.b.UpdateSettings(g.now, set)
	first := &g.b.classes[0]
	if err != nil || g.b.settings.Nodes != 1 || first.PriorityWeight != 99 || first.meanLatency != lat {
		t.Errorf("%v, %+v", err, g.b.classes[0])
	}
	id := g.request(0, 7)
	if g.respond(id, 0, Rejected); len(g.requests[id].attempts) != 1 {
		t.Errorf("%d attempts of one allowed", len(g.requests[id].attempts))
	}
	set.Classes = set.Classes[1:]
	if err := g.b.UpdateSettings(g.now, set); err == nil || len(g.b.settings.Classes) != len(g.b.classes) {
		t.Error("a class fewer was taken")
	}
}

// A request in hand keeps what its class allowed as it came, whatever settings say by the time of its outcome: else a
// reload would let it run twice, or refuse what may have run.
func TestRequestsKeepTheirIdempotency(t *testing.T) {
	const safe, unsafe, everywhere = 0, 1, 4
	for name, c := range map[string]struct{ class, as, shots int }{
		"a side effect that turns safe":    {unsafe, safe, 1},
		"a token of all that turns safe":   {everywhere, safe, 1}, // a class without a window leaves it none
		"a safe one that turns unsafe":     {safe, unsafe, 2},
		"a token of a cell that turns all": {2, everywhere, 1}, // alone in its cell
	} {
		servers := testServers(2)
		servers[1].Cell = 9
		g := newHarness(t, testSettings(), 1, servers...)
		id := g.request(c.class, 7)
		was, set := g.settings.Classes[c.class], testSettings()
		set.Classes[c.class] = set.Classes[c.as]
		if err := g.b.UpdateSettings(g.now, set); err != nil {
			t.Fatal(err)
		}
		g.respond(id, 0, Errored) // it may have run
		if n := len(g.requests[id].attempts); n != c.shots {
			t.Errorf("%s: %d attempts, want %d", name, n, c.shots)
		}
		harmless := was.Idempotency == Idempotent || was.Idempotency == IdempotencyKeyed && was.DedupScope == DedupFleet
		if c.shots == 1 && !harmless && g.requests[id].answer != "fail" {
			t.Errorf("%s: it ended by %q", name, g.requests[id].answer)
		}
		g.assertNoViolations()
	}
}

// A request in hand keeps its class's window, too: whoever got its first attempt may drop repeats for as long only. One
// that settings have shortened meanwhile holds at once.
func TestRequestsKeepTheirDedupWindow(t *testing.T) {
	const everywhere = 4
	for _, c := range []struct {
		was, is, wait Time
		shots         int
	}{
		{300 * ms, 300 * ms, 200 * ms, 2}, {300 * ms, 300 * ms, 400 * ms, 1},
		{300 * ms, 600 * ms, 200 * ms, 2}, {300 * ms, 600 * ms, 400 * ms, 1},
		{600 * ms, 300 * ms, 200 * ms, 2}, {600 * ms, 300 * ms, 400 * ms, 1},
	} {
		before, after := testSettings(), testSettings()
		before.Classes[everywhere].DedupWindow = time.Duration(c.was)
		after.Classes[everywhere].DedupWindow = time.Duration(c.is)
		g := newHarness(t, before, 1, testServers(2)...)
		id := g.request(everywhere, 7)
		if err := g.b.UpdateSettings(g.now, after); err != nil {
			t.Fatal(err)
		}
		g.now += c.wait
		g.respond(id, 0, Errored) // it may have run
		if n := len(g.requests[id].attempts); n != c.shots {
			t.Errorf("%d ms, then %d ms: %d attempts after %d ms, want %d", c.was/ms, c.is/ms, n, c.wait/ms, c.shots)
		}
	}
}

func TestOutOfRangeInput(t *testing.T) {
	nan := float32(0)
	nan /= nan
	g := newHarness(t, testSettings(), 1,
		Server{ID: 1, State: Ready, Weight: nan}, Server{ID: 2, State: Ready, Weight: -3},
		Server{ID: 3, State: Ready})
	g.request(0, 0)
	g.b.HandleRequest(g.now, Request{ID: 900, Class: 99})
	g.requests[901] = &trackedRequest{}
	g.b.HandleRequest(g.now, Request{ID: 901, Timeout: -time.Second})
	if g.requests[901].answer == "" && len(g.requests[901].attempts) == 0 {
		t.Error("a request past its deadline is held")
	}
	if _, err := New(Settings{}, 1, 0, g); err == nil {
		t.Error("settings without classes were taken")
	}
}
