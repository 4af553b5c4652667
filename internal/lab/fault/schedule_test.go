package fault

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/loop"
	"olivebridge/internal/lab/world"
)

// fakeTarget is a Target that logs each call and tracks the state of the processes.
type fakeTarget struct {
	t            *testing.T
	loop         *loop.Loop
	log          []string
	up           map[string]bool // whether each process runs
	hosts        map[string]string
	peerAtHost   map[string]string // the last peer started on each host
	activeFaults int               // number of effects that are not healed
	conns        []string
}

func (s *fakeTarget) record(format string, args ...any) func() {
	what := fmt.Sprintf(format, args...)
	s.log = append(s.log, fmt.Sprintf("%.1f %s", s.loop.Now().Seconds(), what))
	s.activeFaults++
	healed := false
	return func() {
		if healed {
			s.t.Errorf("%s: heal called twice", what)
		}
		healed = true
		s.activeFaults--
		s.log = append(s.log, fmt.Sprintf("%.1f end of %s", s.loop.Now().Seconds(), what))
	}
}

func (s *fakeTarget) Peer(name string) Peer   { return fakeProcess{s, name} }
func (s *fakeTarget) Node(name string) Node   { return fakeProcess{s, name} }
func (s *fakeTarget) Crowd(name string) Crowd { return fakeProcess{s, name} }
func (s *fakeTarget) Discovery() Discovery    { return fakeDiscovery{fakeProcess{s, "discovery"}} }
func (s *fakeTarget) Network() Network        { return fakeNetwork{s} }
func (s *fakeTarget) Zone(host string) string {
	if strings.HasPrefix(host, "c") {
		return ""
	}
	return "tamworth"
}

type fakeProcess struct {
	*fakeTarget
	name string
}

func (e fakeProcess) Down() bool { return !e.up[e.name] }

func (e fakeProcess) Start() {
	if e.up[e.name] {
		e.t.Errorf("%s is started while it runs", e.name)
	}
	if h := e.hosts[e.name]; h != "" {
		if other := e.peerAtHost[h]; other != "" && e.up[other] {
			e.t.Errorf("%s is started on a host on which %s runs", e.name, other)
		}
		e.peerAtHost[h] = e.name
	}
	e.up[e.name] = true
	e.record("%s start", e.name)
	e.activeFaults--
}

func (e fakeProcess) Kill() {
	if !e.up[e.name] {
		e.t.Errorf("%s is killed while it is down", e.name)
	}
	e.up[e.name] = false
	e.record("%s kill", e.name)
	e.activeFaults--
}

func (e fakeProcess) Drain(reject, exit time.Duration) {
	e.record("%s drain %v %v", e.name, reject, exit)
	e.activeFaults--
	if e.name != "p09" { // p09 never finishes a request and therefore does not exit
		e.loop.After(exit, func() { e.up[e.name] = false })
	}
}

func (e fakeProcess) Term() { e.Drain(0, time.Second) }

func (e fakeProcess) Hup(discovery string) {
	e.record("%s hup %s", e.name, discovery)
	e.activeFaults--
}

func (e fakeProcess) Operate(call, peer string) {
	e.record("%s %s %s", e.name, call, peer)
	e.activeFaults--
}

func (e fakeProcess) Stall(d time.Duration) {
	e.record("%s stall %v", e.name, d)
	e.activeFaults--
}

func (e fakeProcess) Slow(f float64) func()           { return e.record("%s slow %v", e.name, f) }
func (e fakeProcess) Fail(f float64) func()           { return e.record("%s fail %v", e.name, f) }
func (e fakeProcess) Spoil(f float64) func()          { return e.record("%s spoil %v", e.name, f) }
func (e fakeProcess) Surplus(f float64) func()        { return e.record("%s surplus %v", e.name, f) }
func (e fakeProcess) Silent(f float64) func()         { return e.record("%s silent %v", e.name, f) }
func (e fakeProcess) RejectRequests(f float64) func() { return e.record("%s turnaway %v", e.name, f) }
func (e fakeProcess) Break(f float64) func()          { return e.record("%s break %v", e.name, f) }
func (e fakeProcess) Surge(f float64) func()          { return e.record("%s surge %v", e.name, f) }
func (e fakeProcess) LeaveMore(f float64) func()      { return e.record("%s leave %v", e.name, f) }
func (e fakeProcess) Costly(c string, s, f float64) func() {
	return e.record("%s costly %s %v %v", e.name, c, s, f)
}

type fakeDiscovery struct{ fakeProcess }

func (d fakeDiscovery) Down() func()            { return d.record("discovery down") }
func (d fakeDiscovery) Stall(f float64) func()  { return d.record("discovery stall %v", f) }
func (d fakeDiscovery) Refuse(f float64) func() { return d.record("discovery refuse %v", f) }
func (d fakeDiscovery) Delay(f float64) func()  { return d.record("discovery late %v", f) }
func (d fakeDiscovery) Garble(f float64) func() { return d.record("discovery garble %v", f) }
func (d fakeDiscovery) Blind() func()           { return d.record("discovery blind") }
func (d fakeDiscovery) Vanished(name string)    { d.record("%s unheard", name); d.activeFaults-- }
func (d fakeDiscovery) Returned(name string)    { d.record("%s heard", name); d.activeFaults-- }
func (d fakeDiscovery) Move() string            { d.record("discovery move"); d.activeFaults--; return "spare" }

type fakeNetwork struct{ *fakeTarget }

func (n fakeNetwork) Vanish(host string) { n.record("vanish %s", host) }
func (n fakeNetwork) Return(host string) { n.record("return %s", host); n.activeFaults -= 2 }
func (n fakeNetwork) Cut(a, b func(string) bool) func() {
	return n.record("cut %v %v", a("p01"), b("p01"))
}
func (n fakeNetwork) HushNew(share float64, to func(string) bool) func() {
	return n.record("hushing %v %v %v", share, to("p01"), to("p02"))
}
func (n fakeNetwork) Slow(f float64, a, b func(string) bool) func() {
	return n.record("slowlink %v %v %v", f, a("p01"), b("p01"))
}
func (n fakeNetwork) Hush(pick func(string) bool) {
	var some []string
	for _, c := range n.conns {
		if pick(c) {
			some = append(some, c)
		}
	}
	n.record("hush %v", some)
	n.activeFaults--
}

// play plays a script's faults against a fakeTarget and returns it.
func play(t *testing.T, s *Script, conns ...string) *fakeTarget {
	var st *fakeTarget
	synctest.Test(t, func(t *testing.T) {
		l := loop.New(synctest.Wait)
		st = &fakeTarget{t: t, loop: l, up: map[string]bool{}, hosts: map[string]string{},
			peerAtHost: map[string]string{}, conns: conns}
		for _, n := range s.World.Nodes {
			st.up[n.Name] = true
		}
		for _, p := range s.World.Peers {
			st.up[p.Name] = !p.Late
			st.hosts[p.Name] = host(p)
			if !p.Late {
				st.peerAtHost[host(p)] = p.Name
			}
		}
		s.Schedule(l, st)
		l.Run(t.Context(), s.Length.D()+time.Microsecond, nil)
		if st.activeFaults != 0 {
			t.Errorf("%d effects are not healed at the end of the script, want 0", st.activeFaults)
		}
		l.Run(t.Context(), s.Length.D()+time.Minute, nil)
	})
	return st
}

// Verifies for drawn scripts that no process is started twice or on a host that another one uses, and that at the end
// all processes that have not been replaced run.
func TestScheduleOfDrawn(t *testing.T) {
	sc := scenario(t)
	for seed := range uint64(150) {
		s := Draw(seed, sc)
		st := play(t, s)
		replaced := map[string]bool{}
		for _, f := range s.Faults {
			if len(f.Replacements) > 0 {
				for _, p := range f.Peers {
					replaced[p] = true
				}
			}
		}
		for _, p := range s.World.Peers {
			if p.Name != "p09" && st.up[p.Name] == replaced[p.Name] {
				t.Errorf("seed %d: peer %s runs: %v, is replaced: %v\n%s", seed, p.Name, st.up[p.Name], replaced[p.Name],
					strings.Join(st.log, "\n"))
			}
		}
		for _, n := range s.World.Nodes {
			if !st.up[n.Name] {
				t.Errorf("seed %d: node %s is down\n%s", seed, n.Name, strings.Join(st.log, "\n"))
			}
		}
		if t.Failed() {
			return
		}
	}
}

func TestSchedule(t *testing.T) {
	sec := func(s float64) figure.Span { return figure.Span(figure.Seconds(s)) }
	p1, p2 := []string{"p01"}, []string{"p02"}
	for _, c := range []struct {
		name   string
		faults []Fault
		want   string
	}{
		{"two deaths of one peer", []Fault{
			{Kind: "death", At: sec(1), For: sec(3), Peers: p1},
			{Kind: "death", At: sec(2), For: sec(5), Peers: p1},
		}, "1.0 p01 kill, 7.0 p01 start"},
		{"drain", []Fault{
			{Kind: "drain", At: sec(1), For: sec(2), TurnAway: sec(1), Back: sec(1), Pause: sec(0.5),
				Peers: []string{"p01", "p02"}},
		}, "1.0 p01 drain 1s 2s, 1.5 p02 drain 1s 2s, 4.0 p01 start, 4.5 p02 start"},
		{"a drain that does not finish", []Fault{
			{Kind: "drain", At: sec(1), For: sec(2), Back: sec(1), Peers: []string{"p09"}},
		}, "1.0 p09 drain 0s 2s, 6.0 p09 kill, 7.0 p09 start"},
		{"a death during a release, and one after it", []Fault{
			{Kind: "release", At: sec(1), For: sec(2), Back: sec(1), Peers: p1, Replacements: []string{"p01r1"}},
			{Kind: "death", At: sec(2), For: sec(5), Peers: p1},
			{Kind: "death", At: sec(8), For: sec(1), Peers: p1},
		}, "1.0 p01 drain 0s 2s, 2.0 p01 kill, 4.0 p01r1 start"},
		{"replace", []Fault{
			{Kind: "replace", At: sec(1), For: sec(1), Peers: p1, Replacements: []string{"p01r1"}},
		}, "1.0 p01 kill, 2.0 p01r1 start"},
		{"move and reload", []Fault{
			{Kind: "node-kill", At: sec(1), For: sec(3), Nodes: []string{"n2"}},
			{Kind: "move", At: sec(2), Pause: sec(0.5)},
			{Kind: "node-reload", At: sec(5), Nodes: []string{"n1", "n2"}},
		}, "1.0 n2 kill, 2.0 discovery move, 2.5 n1 hup spare, 4.0 n2 start, 5.0 n1 hup , 5.0 n2 hup "},
		{"restart", []Fault{{Kind: "node-restart", At: sec(1), For: sec(3), Nodes: []string{"n1"}}},
			"1.0 n1 drain 0s 1s, 4.0 n1 start"},
		{"a vanished peer that dies", []Fault{
			{Kind: "vanish", At: sec(1), For: sec(3), Peers: p2}, {Kind: "death", At: sec(2), For: sec(4), Peers: p2},
		}, "1.0 vanish p02, 1.0 p02 unheard, 2.0 p02 kill, 4.0 return p02, 6.0 p02 start"},
		{"hush and mute", []Fault{
			{Kind: "hush", At: sec(1), Share: 1, Peers: p2}, {Kind: "mute", At: sec(2), Share: 1, Nodes: []string{"n1"}},
			{Kind: "hush", At: sec(3), Share: 0.5, Peers: []string{"p01", "p02"}},
		}, "1.0 hush [n1>p02#1], 2.0 hush [c1>n1#2], 3.0 hush [n1>p01#2]"},
		{"network", []Fault{
			{Kind: "cut", At: sec(1), For: sec(1), Zone: "tamworth"},
			{Kind: "hushing", At: sec(3), For: sec(1), Share: 0.5, Peers: p1},
			{Kind: "slowlink", At: sec(5), For: sec(1), Factor: 4, Peers: p1},
		}, "1.0 cut true false, 2.0 end of cut true false, 3.0 hushing 0.5 true false, " +
			"4.0 end of hushing 0.5 true false, 5.0 slowlink 4 true false, 6.0 end of slowlink 4 true false"},
		{"two replacements of one peer", []Fault{
			{Kind: "release", At: sec(1), For: sec(2), Back: sec(1), Peers: p1, Replacements: []string{"p01r1"}},
			{Kind: "replace", At: sec(2), For: sec(1), Peers: p1, Replacements: []string{"p01r2"}},
		}, "1.0 p01 drain 0s 2s, 2.0 p01 kill, 3.0 p01r2 start"},
		{"two restarts of one node, and a reload", []Fault{
			{Kind: "node-restart", At: sec(1), For: sec(3), Nodes: []string{"n1"}},
			{Kind: "node-reload", At: sec(1.2), Nodes: []string{"n1", "n2"}},
			{Kind: "node-restart", At: sec(1.5), For: sec(3), Nodes: []string{"n1"}},
		}, "1.0 n1 drain 0s 1s, 1.2 n2 hup , 4.5 n1 start"},
		{"a move and a stuck drain at the end", []Fault{
			{Kind: "drain", At: sec(16), For: sec(3), Back: sec(1), Peers: []string{"p09"}},
			{Kind: "move", At: sec(19.8), Pause: sec(1)},
		}, "16.0 p09 drain 0s 3s, 19.8 discovery move, 20.0 n1 hup spare, 20.0 n2 hup spare"},
		{"until the end", []Fault{{Kind: "surge", At: sec(5), For: sec(15), Factor: 2, Clients: []string{"c1"}}},
			"5.0 c1 surge 2, 20.0 end of c1 surge 2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &Script{Seed: 5, Length: sec(20), Faults: c.faults}
			s.World.Nodes = []world.Node{{Name: "n1"}, {Name: "n2"}}
			s.World.Peers = []world.Peer{{Name: "p01"}, {Name: "p02"}, {Name: "p09"},
				{Name: "p01r1", Host: "p01", Late: true},
				{Name: "p01r2", Host: "p01", Late: true}}
			st := play(t, s, "n1>p01#1", "n1>p01#2", "n2>p01#1", "n1>p02#1", "c1>n1#2", "n1>registry#1", "front>p03#1")
			if got := strings.Join(st.log, ", "); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
		})
	}
}
