package maintenance

import (
	"fmt"
	"slices"
	"testing"

	"olivebridge/balancer"
)

func namedServer(name string, state balancer.ServerState, startedAt balancer.Time) NamedServer {
	server := balancer.Server{ID: balancer.ServerID(len(name)), State: state, StartedAt: startedAt, Weight: 1}
	return NamedServer{Server: server, Name: name, Addr: "a:1"}
}

// step is an endpoint list or an operator's command.
type step func(*Registry) error

func update(kind balancer.UpdateKind, servers ...NamedServer) step {
	return func(r *Registry) error {
		r.Update(kind, 1, servers)
		return nil
	}
}

func suspend(at balancer.Time) step {
	return func(r *Registry) error { return r.Suspend("a", at) }
}

func restore(at balancer.Time) step {
	return func(r *Registry) error { return r.Restore("a", at) }
}

// readyServer returns server a as a list reports it while it is ready.
func readyServer(startedAt balancer.Time) NamedServer {
	return namedServer("a", balancer.Ready, startedAt)
}

// TestEffectiveServer applies sequences of lists and commands to server a and checks the state that the Balancer
// receives.
func TestEffectiveServer(t *testing.T) {
	first := update(balancer.UpdateCached, readyServer(5))
	removed := update(balancer.UpdateFull)
	restarted := update(balancer.UpdateDelta, readyServer(12))
	for name, c := range map[string]struct {
		steps     []step
		state     balancer.ServerState
		startedAt balancer.Time
		suspended bool
	}{
		"listed":    {[]step{first}, balancer.Ready, 5, false},
		"suspended": {[]step{first, suspend(10)}, balancer.Draining, 5, true},
		"suspended, a full list has it ready": {
			[]step{first, suspend(10), update(balancer.UpdateFull, readyServer(12))}, balancer.Draining, 12, true,
		},
		"suspended, removed, listed":   {[]step{first, suspend(10), removed, restarted}, balancer.Draining, 12, true},
		"suspended while removed":      {[]step{first, removed, suspend(10)}, balancer.Draining, 5, true},
		"restored, restart not listed": {[]step{first, suspend(10), restore(20)}, balancer.Ready, 20, false},
		"restart listed, then restored": {
			[]step{first, suspend(10), restarted, restore(20)}, balancer.Ready, 12, false,
		},
		"restored, then restart listed": {
			[]step{first, suspend(10), restore(20), restarted}, balancer.Ready, 20, false,
		},
		"restarted again after restore": {
			[]step{first, suspend(10), restore(20), update(balancer.UpdateDelta, readyServer(30))}, balancer.Ready, 30, false,
		},
		"suspended twice, restored once": {[]step{first, suspend(10), suspend(15), restore(20)}, balancer.Ready, 20, false},
		"restored, never suspended":      {[]step{first, restore(20)}, balancer.Ready, 5, false},
		"restored while removed":         {[]step{first, suspend(10), removed, restore(20)}, balancer.Removed, 20, false},
	} {
		r := New()
		for i, step := range c.steps {
			if err := step(r); err != nil {
				t.Errorf("%s: step %d returned error %v", name, i, err)
			}
		}
		server, ok := r.Effective("a")
		suspended := r.SuspensionOf("a").Active()
		if !ok || server.State != c.state || server.StartedAt != c.startedAt || suspended != c.suspended {
			t.Errorf("%s: got state %v, start time %d, suspended %v", name, server.State, server.StartedAt, suspended)
		}
	}
	r := New()
	if r.Suspend("a", 1) == nil || r.Restore("a", 1) == nil || r.SuspensionOf("a").Active() {
		t.Error("a server that was never listed can be suspended or restored")
	}
}

// TestEvictsRemovedServers checks that replaced servers do not exceed the limit of entries and that no suspension is
// lost.
func TestEvictsRemovedServers(t *testing.T) {
	const (
		servers = 3 * maxEntries
		batch   = 100
	)
	r := New()
	r.Update(balancer.UpdateFull, 1, []NamedServer{namedServer("kept", balancer.Ready, 0)})
	if err := r.Suspend("kept", 1); err != nil {
		t.Fatal(err)
	}
	for i := 0; i < servers; {
		var list []NamedServer
		for range batch {
			list = append(list, namedServer(fmt.Sprint("s-", i), balancer.Ready, 0))
			i++
		}
		r.Update(balancer.UpdateFull, 1, list)
	}
	if len(r.entries) > maxEntries || !slices.Equal(r.SuspendedServers(), []string{"kept"}) || r.Suspend("s-0", 1) == nil {
		t.Errorf("got %d entries, suspended %v; want at most maxEntries, [kept]", len(r.entries), r.SuspendedServers())
	}
	if err := r.Suspend(fmt.Sprint("s-", servers-9), 1); err != nil {
		t.Error(err)
	}
}
