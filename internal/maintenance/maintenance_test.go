package maintenance

import (
	"fmt"
	"slices"
	"testing"

	"olivebridge/balancer"
)

func server(name string, state balancer.ServerState, born balancer.Time) NamedServer {
	return NamedServer{balancer.Server{ID: balancer.ServerID(len(name)), State: state, StartedAt: born, Weight: 1}, name, "a:1"}
}

// TestRegister plays calls and lists against a server a, and looks at how the decisions see it.
func TestRegister(t *testing.T) {
	list := func(kind balancer.UpdateKind, s ...NamedServer) func(*Registry) error {
		return func(r *Registry) error { r.Update(kind, 1, s); return nil }
	}
	suspend := func(at balancer.Time) func(*Registry) error {
		return func(r *Registry) error { return r.Suspend("a", at) }
	}
	restore := func(at balancer.Time) func(*Registry) error {
		return func(r *Registry) error { return r.Restore("a", at) }
	}
	a := func(state balancer.ServerState, born balancer.Time) NamedServer { return server("a", state, born) }
	first := list(balancer.UpdateCached, a(balancer.Ready, 5))
	type steps []func(*Registry) error
	for name, c := range map[string]struct {
		steps steps
		state balancer.ServerState
		born  balancer.Time
		held  bool
	}{
		"listed":                    {steps{first}, balancer.Ready, 5, false},
		"suspended":                 {steps{first, suspend(10)}, balancer.Draining, 5, true},
		"a whole list says ready":   {steps{first, suspend(10), list(balancer.UpdateFull, a(balancer.Ready, 12))}, balancer.Draining, 12, true},
		"gone and back meanwhile":   {steps{first, suspend(10), list(balancer.UpdateFull), list(balancer.UpdateDelta, a(balancer.Ready, 12))}, balancer.Draining, 12, true},
		"suspended while gone":      {steps{first, list(balancer.UpdateFull), suspend(10)}, balancer.Draining, 5, true},
		"restored, restart unheard": {steps{first, suspend(10), restore(20)}, balancer.Ready, 20, false},
		"restored, restart heard":   {steps{first, suspend(10), list(balancer.UpdateDelta, a(balancer.Ready, 12)), restore(20)}, balancer.Ready, 12, false},
		"restart heard afterwards":  {steps{first, suspend(10), restore(20), list(balancer.UpdateDelta, a(balancer.Ready, 12))}, balancer.Ready, 20, false},
		"restarted once more":       {steps{first, suspend(10), restore(20), list(balancer.UpdateDelta, a(balancer.Ready, 30))}, balancer.Ready, 30, false},
		"twice out, once back":      {steps{first, suspend(10), suspend(15), restore(20)}, balancer.Ready, 20, false},
		"restored, never suspended": {steps{first, restore(20)}, balancer.Ready, 5, false},
		"restored while gone":       {steps{first, suspend(10), list(balancer.UpdateFull), restore(20)}, balancer.Removed, 20, false},
	} {
		r := New()
		for i, step := range c.steps {
			if err := step(r); err != nil {
				t.Errorf("%s: step %d: %v", name, i, err)
			}
		}
		s, ok := r.Effective("a")
		if held := r.SuspensionOf("a").Active(); !ok || s.State != c.state || s.StartedAt != c.born || held != c.held {
			t.Errorf("%s: shown %v %d, held %v", name, s.State, s.StartedAt, held)
		}
	}
	r := New()
	if r.Suspend("a", 1) == nil || r.Restore("a", 1) == nil || r.SuspensionOf("a").Active() {
		t.Error("a server that was never listed can be suspended")
	}
}

// TestMemory: ever new servers leave no trace but for the bound, and no ban is forgotten.
func TestMemory(t *testing.T) {
	r := New()
	r.Update(balancer.UpdateFull, 1, []NamedServer{server("kept", balancer.Ready, 0)})
	if err := r.Suspend("kept", 1); err != nil {
		t.Fatal(err)
	}
	for i := 0; i < 3*most; {
		var list []NamedServer
		for range 100 {
			list = append(list, server(fmt.Sprint("s-", i), balancer.Ready, 0))
			i++
		}
		r.Update(balancer.UpdateFull, 1, list)
	}
	if len(r.servers) > most || !slices.Equal(r.SuspendedServers(), []string{"kept"}) || r.Suspend("s-0", 1) == nil {
		t.Errorf("%d remembered, suspended %v", len(r.servers), r.SuspendedServers())
	}
	if err := r.Suspend(fmt.Sprint("s-", 3*most-9), 1); err != nil {
		t.Error(err)
	}
}
