package member

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// ConfirmedFailures must not return a member that this process or a witness reached, and must return no member without
// a witness report.
func TestConfirmedFailures(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	rapid.Check(t, func(t *rapid.T) {
		some := rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID[string])
		silent := some.Draw(t, "silent")
		reports := rapid.SliceOfN(some, 0, maxWitnesses).Draw(t, "reports")
		failed := ConfirmedFailures(silent, reports)
		for _, name := range names {
			reached := !slices.Contains(silent, name) || len(reports) == 0
			for _, report := range reports {
				reached = reached || !slices.Contains(report, name)
			}
			if slices.Contains(failed, name) == reached {
				t.Fatalf("member %s reached: %v; got failures %v for silent members %v and reports %v",
					name, reached, failed, silent, reports)
			}
		}
	})
}

func TestIsMassFailure(t *testing.T) {
	for _, c := range []struct {
		silent, of int
		want       bool
	}{{0, 0, false}, {1, 1, false}, {1, 8, false}, {2, 2, true}, {2, 8, true}, {2, 9, false}, {8, 8, true}} {
		if got := IsMassFailure(c.silent, c.of); got != c.want {
			t.Errorf("%d silent members of %d: got mass failure %v", c.silent, c.of, got)
		}
	}
	v := viewOf(
		Member{Name: "n1", State: Alive},
		Member{Name: "n2", State: Dead, Since: second},
		Member{Name: "n3", State: Left, Since: 9 * second},
	)
	if !v.HasRecentFailure(second+recentFailureWindow) || v.HasRecentFailure(second+recentFailureWindow+1) {
		t.Error("HasRecentFailure must count n2's death for recentFailureWindow, and not count n3's planned leave")
	}
}

// A probe of one incarnation must not change the state of the next one, in the same directory or in another.
func TestEventsOfAnotherIncarnationAreStale(t *testing.T) {
	table := NewTable(Member{Name: "n1"}, 0)
	table.Apply(second, aliveEvent("n2", 2))
	next := aliveEvent("n2", 1)
	next.Incarnation.Home = "another"
	for _, e := range []Event{aliveEvent("n2", 3), next} {
		before := aliveEvent("n2", 2).Incarnation
		if m, _ := table.View().Lookup("n2"); m.Incarnation != before {
			before = m.Incarnation
		}
		table.Apply(2*second, e)
		table.Apply(2*second, Event{Kind: EventSuspect, Name: "n2", Incarnation: before})
		table.Apply(2*second, Event{Kind: EventDead, Name: "n2", Incarnation: before})
		if m, _ := table.View().Lookup("n2"); m.State != Alive || m.Incarnation != e.Incarnation {
			t.Errorf("got state %s in incarnation %v, want alive in the new incarnation", m.State, m.Incarnation)
		}
	}
}

// If most members fail at the same time, the remaining ones probe all members, and a node that joins later must not
// receive the dead ones.
func TestMassFailure(t *testing.T) {
	dir := t.TempDir()
	firstAddr := freeAddr(t)
	var services []*Service
	for i := range 12 {
		addr := firstAddr
		if i > 0 {
			addr = freeAddr(t)
		}
		services = append(services, newService(t, fmt.Sprintf("n%d", i), fmt.Sprintf("%s/%d", dir, i), addr, firstAddr))
		joinFleet(t, services[i])
	}
	for _, s := range services {
		awaitView(t, s, "all", func(view *View) bool { return len(view.Present()) == len(services) })
	}
	survivors, failed := services[:2], services[2:]
	for _, s := range failed {
		s.currentAgent().close() // all at once, without notifying other members
	}
	for _, s := range survivors {
		awaitView(t, s, "two", func(view *View) bool { return len(view.Present()) == 2 })
	}
	probes := survivors[0].counters.massProbes.Load() + survivors[1].counters.massProbes.Load()
	deaths := survivors[0].counters.massProbeDeaths.Load() + survivors[1].counters.massProbeDeaths.Load()
	if probes == 0 || deaths == 0 {
		t.Errorf("got %d probes of all members and %d deaths from them, want at least one of each", probes, deaths)
	}
	newcomer := newService(t, "late", dir+"/late", freeAddr(t), firstAddr)
	joinFleet(t, newcomer)
	view := awaitView(t, newcomer, "the two survivors", func(view *View) bool { return len(view.Present()) >= 3 })
	if len(view.Present()) != 3 {
		t.Errorf("the newcomer has dead members in its view: %s", view)
	}
	// A live member that was declared dead refutes the declaration.
	restarted := newService(t, "n5", dir+"/5", failed[3].config.Listen, firstAddr)
	joinFleet(t, restarted)
	awaitView(t, survivors[0], "n5 is alive again", hasState("n5", Alive))
	before := restarted.currentAgent().incarnation
	survivors[0].currentAgent().declareDead("n5", before)
	survivors[0].apply(Event{Kind: EventSuspect, Name: "n5"})
	survivors[0].apply(Event{Kind: EventDead, Name: "n5"})
	awaitView(t, survivors[1], "the other survivor receives the refutation of n5", hasState("n5", Alive))
	view = awaitView(t, survivors[0], "n5 refutes its death", hasState("n5", Alive))
	if m, _ := view.Lookup("n5"); m.Incarnation != before {
		t.Errorf("got incarnation %v, want %v", m.Incarnation, before)
	}
}

// A malformed request for a witness report must be counted, and a valid one must be answered.
func TestWitnessReport(t *testing.T) {
	a, b := freeAddr(t), freeAddr(t)
	n1, n2 := newService(t, "n1", t.TempDir(), a), newService(t, "n2", t.TempDir(), b, a)
	joinFleet(t, n1)
	joinFleet(t, n2)
	awaitView(t, n1, "two", hasState("n2", Alive))
	awaitView(t, n2, "two", hasState("n1", Alive))
	report, err := n2.currentAgent().massFailures.askWitness(a.String(), []string{"n1", "n2", "nobody"})
	if err != nil || !slices.Equal(report, []string{"nobody"}) {
		t.Errorf("got report %v and error %v, want the report [nobody]", report, err)
	}
	c, err := n2.currentAgent().transport.dial(a.String(), witnessChannel, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, `{"not": "names"`+strings.Repeat(" ", 10))
	c.(*stream).Conn.(countedConn).Conn.(*net.TCPConn).CloseWrite()
	c.Read(make([]byte, 1)) // blocks until the other side closes the connection
	c.Close()
	if n1.counters.rejected.Load() != 1 {
		t.Error(n1.Counters())
	}
	nobody := netip.MustParseAddrPort("127.0.0.1:1").String()
	if _, err := n2.currentAgent().massFailures.askWitness(nobody, nil); err == nil {
		t.Error("askWitness returned no error for an address without a listener")
	}
}

// A round of probes finds members that do not answer beside members that the view does not contain. Before, both were
// added to the result without a common lock, which the race detector reports.
func TestProbeOfSilentAndUnknownMembers(t *testing.T) {
	a, b := freeAddr(t), freeAddr(t)
	n1, n2 := newService(t, "n1", t.TempDir(), a), newService(t, "n2", t.TempDir(), b, a)
	joinFleet(t, n1)
	joinFleet(t, n2)
	awaitView(t, n1, "two", hasState("n2", Alive))
	n2.currentAgent().close()
	silent := n1.currentAgent().massFailures.probe([]string{"n2", "nobody"}, time.Now(), 1)
	if !slices.Equal(silent, []string{"n2", "nobody"}) {
		t.Errorf("got silent members %v, want n2 and nobody", silent)
	}
}
