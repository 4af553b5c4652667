package balancer

import (
	"testing"
	"time"
)

// vast is a fleet of 60 servers, half in each zone, to which each of 80 nodes sends 20 requests a second.
func vast() (Settings, []Server) {
	set := base()
	set.Nodes, set.Zones, set.CrossZoneCost = 80, 2, 0.17
	servers := fleet(60)
	for i := range servers {
		servers[i].Zone = uint8(i % 2)
	}
	return set, servers
}

// crowd plays some of the nodes one after the other, each for d, and returns what each server was sent by all.
// One request in eight is for the hot key.
func crowd(t *testing.T, nodes int, d time.Duration) (sent map[ServerID]int, all int) {
	t.Helper()
	sent = map[ServerID]int{}
	for n := range nodes {
		set, servers := vast()
		set.Zone = uint8(n % 2)
		g := start(t, set, uint64(n+1), servers...)
		for i := range int(20 * d.Seconds()) {
			key := uint64(1000 + (i*7+n*131)%900)
			if i%8 == 0 {
				key = 7
			}
			id := g.ask(0, key)
			for _, a := range g.open[id].shots {
				sent[a.to]++
				all++
			}
			g.pass(50*time.Millisecond, 40*time.Millisecond, always)
		}
		g.check()
	}
	return sent, all
}

// TestHotKeyOfManyNodes guards against the sum over nodes: each sends a hot key's server two requests a second,
// which no limit of a node's notices, and 80 of them fill it.
func TestHotKeyOfManyNodes(t *testing.T) {
	for _, d := range []time.Duration{2 * time.Second, 12 * time.Second} {
		sent, all := crowd(t, 16, d)
		most := 0
		for _, n := range sent {
			most = max(most, n)
		}
		if mean := float64(all) / 60; float64(most) > 2.5*mean {
			t.Errorf("in %v one server is sent %d, the mean is %.0f", d, most, mean)
		}
	}
}

// TestFirstFailureOfASeldomHeardServer: while others answer, one failure of a server that is heard every few
// seconds takes it out; where nothing else answers, it tells of no one server.
func TestFirstFailureOfASeldomHeardServer(t *testing.T) {
	for _, others := range []bool{true, false} {
		set, servers := vast()
		g := start(t, set, 1, servers...)
		g.now += Time(12 * time.Second)
		if others {
			g.answer(g.ask(0, 3), 0, OK)
		}
		g.b.retryTokens = 0
		id := g.ask(1, 4)
		s := g.b.serversByID[g.open[id].shots[0].to]
		s.health.unknown, s.health.counter = false, riseThreshold+fallThreshold-1 // as probes have told
		g.answer(id, 0, Errored)
		if out := s.health.ejectedAt != 0; out != others {
			t.Errorf("others answer: %v; out after one failure: %v", others, out)
		}
		g.check()
	}
}

// TestSeldomAnswersMoveTheMeanWait: the mean wait of a server follows its last answer where answers are rare,
// so that what it is sent sinks before it jams.
func TestSeldomAnswersMoveTheMeanWait(t *testing.T) {
	for gap, seldom := range map[time.Duration]bool{20 * time.Millisecond: false, 900 * time.Millisecond: true} {
		set, servers := vast()
		g := start(t, set, 1, servers...)
		held := map[ServerID]RequestID{}
		quick, late := RequestID(0), RequestID(0)
		for key := uint64(1); late == 0; key++ { // until two of them are at one server
			id := g.ask(0, key)
			to := g.open[id].shots[0].to
			quick, late = id, held[to]
			held[to] = id
		}
		s := g.b.serversByID[g.open[late].shots[0].to]
		before := g.b.attraction(s)
		g.now += Time(950*time.Millisecond - gap)
		g.open[quick].shots[0].at = g.now - Time(10*time.Millisecond)
		g.answer(quick, 0, OK)
		g.now += Time(gap)
		g.answer(late, 0, OK)
		if lost := 1 - g.b.attraction(s)/before; seldom != (lost > 0.15) {
			t.Errorf("a late answer %v after a quick one takes %.2f of the server's pull", gap, lost)
		}
	}
}

// TestColdServersAreOwedRequests: each of 80 nodes may send a cold server less than one request in a half fall
// window, and few keys lead there: without being owed any, the cold half of a fleet stands idle for its length.
// The sum over nodes stays within what a cold server can take.
func TestColdServersAreOwedRequests(t *testing.T) {
	sent := map[ServerID]int{}
	const nodes, secs = 20, 6
	for n := range nodes {
		set, servers := vast()
		set.Nodes, set.Zone = nodes, uint8(n%2)
		g := start(t, set, uint64(n+1), servers...)
		play := func(secs int, cold bool) {
			for i := range 20 * secs {
				id := g.ask(0, uint64(1000+(i*7+n*131)%900))
				for _, a := range g.open[id].shots {
					if cold && g.list[a.to].StartedAt != 0 {
						sent[a.to]++
					}
				}
				g.pass(50*time.Millisecond, 40*time.Millisecond, always)
			}
		}
		play(10, false)
		for i := range servers {
			if i%5 == 0 {
				servers[i].StartedAt = g.now
			}
		}
		g.view(UpdateFull, servers...)
		g.pass(time.Second, 40*time.Millisecond, always)
		play(secs, true)
		g.check()
	}
	all := 0
	for id, k := range sent {
		all += k
		if most := 20 * nodes * secs / 60; k > most { // a warm one's mean, at a mean warmth of 0.5
			t.Errorf("cold server %d is sent %d, %d at most", id, k, most)
		}
	}
	if all < 12*secs {
		t.Errorf("12 cold servers are sent %d in %d s by %d nodes", all, secs, nodes)
	}
}
