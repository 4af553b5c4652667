package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"olivebridge/internal/fleet/record"
	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/protocol"
)

// The work that a crowd of its own asks for: calls of a class that must never run twice, each under a key.
const (
	workRate    = 100.0            // a second
	workClass   = "order"          // of live.Sample
	workTime    = 12 * time.Second // for which a client keeps asking: beyond detection, an election and the sweep
	workTimeout = 2 * time.Second  // of one question
	workPause   = 40 * time.Millisecond
	workWindow  = "10m"
)

// Asked is one piece of work, as its client saw it.
type Asked struct {
	Key    string
	Began  time.Duration // by the monotonic clock
	Ended  time.Duration
	Times  int    // how often it asked
	Status int    // of the final answer; 0: it got none in its time
	State  string // Work-State of that
	Body   string
	Last   string        // what it heard last, in a word
	First  time.Duration // how long the first question took, if that brought the outcome
}

// takeoverWorld is a script without faults whose own clients ask for little.
func takeoverWorld(seed uint64, nodes int, length time.Duration) *fault.Script {
	s := world(seed, nodes, length)
	for i := range s.World.Tenants {
		s.World.Tenants[i].Quota = 0
	}
	for i := range s.World.Peers { // which are no bottleneck
		s.World.Peers[i].Cores, s.World.Peers[i].Slots = 8, 8
	}
	for i := range s.World.Clients { // the crowd's calls are those that are looked at
		s.World.Clients[i].Mix = map[string]float64{"status": 1}
	}
	return s
}

// takeoverDrama is the script that shows it: one process after the other is killed, and starts again.
func takeoverDrama(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
	if nodes < 3 || length < 20*time.Second {
		return nil, fmt.Errorf("%d nodes and %v: at least 3 and 20s are wanted", nodes, length)
	}
	s := takeoverWorld(seed, nodes, length)
	g := figure.Stream(seed, "drama")
	for at := 5 * time.Second; at+settle <= length; at += 5 * time.Second {
		s.Faults = append(s.Faults, fault.Fault{Kind: "node-kill", At: figure.Span(at), For: figure.Span(figure.Seconds(figure.Uniform(g, 0.6, 4))),
			Nodes: []string{s.World.Nodes[g.IntN(nodes)].Name}})
	}
	return s, s.Check()
}

// takeoverDraw is the script of a seed: faults of all kinds of processes and what lies between them.
func takeoverDraw(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
	drawn, err := Draw(seed, nodes, length)
	if err != nil {
		return nil, err
	}
	s := takeoverWorld(seed, nodes, length)
	s.Faults = drawn.Faults
	return s, s.Check()
}

// TakeoverSubject is whether work survives its node, and runs once. Without keep the nodes keep none; without again clients do
// not ask again.
func TakeoverSubject(keep, again bool) Subject {
	more := func(s Says) string {
		if !keep {
			return ""
		}
		return fmt.Sprintf("\n[work]\nclasses = [%q]\n%swindow = %q\n", workClass, s.voters(), workWindow)
	}
	return Subject{"takeover", takeoverDrama, takeoverDraw, takeoverWorld, []Case{votersCase(), upgradesCase(), stepsCase()}, more,
		func(_ *fault.Script, a *Account) Outcome { return JudgeTakeover(a, keep && again) },
		func(ctx context.Context, nodes map[string]string, s *fault.Script) []Asked {
			return (&crowd{nodes: nodes, again: again, script: s}).ask(ctx)
		}, nil}
}

// crowd asks for work, and keeps asking.
type crowd struct {
	nodes  map[string]string
	again  bool
	script *fault.Script

	mu  sync.Mutex
	all []Asked
}

// ask begins work at a steady rate, as long as a client that begins still has its time, and returns when all have ended.
func (c *crowd) ask(ctx context.Context) []Asked {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Second}, Timeout: workTimeout}
	defer client.CloseIdleConnections()
	var names []string
	for n := range c.nodes {
		names = append(names, n)
	}
	slices.Sort(names)
	g := figure.Stream(c.script.Seed, "work")
	each := time.NewTicker(time.Duration(float64(time.Second) / workRate))
	defer each.Stop()
	var open sync.WaitGroup
	for begun, n := time.Now(), 0; time.Since(begun) < c.script.Length.D()-settle+time.Second; n++ {
		select {
		case <-ctx.Done():
			open.Wait()
			return c.all
		case <-each.C:
		}
		key, order := fmt.Sprintf("w%d-%d", c.script.Seed, n), g.Perm(len(names))
		open.Go(func() {
			one := c.work(ctx, client, key, names, order)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.all = append(c.all, one)
		})
	}
	open.Wait()
	return c.all
}

// work asks for one piece of work, of one node after the other, until its outcome is known or its time is up.
func (c *crowd) work(ctx context.Context, client *http.Client, key string, names []string, order []int) Asked {
	one := Asked{Key: key, Began: record.Now()}
	for one.Ended = one.Began; one.Ended-one.Began < workTime && ctx.Err() == nil; {
		node := names[order[one.Times%len(order)]]
		one.Times++
		status, state, body, pause, err := question(ctx, client, c.nodes[node], key, one.Times)
		one.Ended = record.Now()
		if one.Last = fmt.Sprintf("%s from %s: %d %s", one.Last[max(len(one.Last)-60, 0):], node, status, state); err != nil {
			one.Last = fmt.Sprintf("%s: %.40v", node, err)
		}
		switch {
		case err == nil && (status == 200 || status == 502 && state == "unknown"):
			one.Status, one.State, one.Body = status, state, body
			if one.Times == 1 {
				one.First = one.Ended - one.Began
			}
			return one
		case !c.again:
			return one
		}
		select {
		case <-time.After(max(pause, workPause)):
		case <-ctx.Done():
		}
		one.Ended = record.Now()
	}
	return one
}

// question asks one node once. Each has a name of its own, by which the node tells calls apart; the work's is the key.
func question(ctx context.Context, client *http.Client, addr, key string, times int) (status int, state, body string, pause time.Duration, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/api?user="+key, io.NopCloser(bytes.NewReader([]byte("pay "+key))))
	if err != nil {
		return 0, "", "", 0, err
	}
	r.ContentLength = int64(len("pay " + key)) // a body that cannot be read again: net/http asks once
	for name, v := range map[string]string{protocol.HeaderCallID: fmt.Sprintf("%s.%d", key, times), protocol.HeaderClass: workClass,
		protocol.HeaderTenant: "acme", protocol.HeaderTimeout: "1.5", "Idempotency-Key": key} {
		r.Header.Set(name, v)
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0, "", "", 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if s, bad := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); bad == nil {
		pause = figure.Seconds(s)
	}
	return resp.StatusCode, resp.Header.Get("Work-State"), string(data), pause, err
}

// Takeover is what came of work.
type Takeover struct {
	Nodes    int      `json:"nodes"`
	Seconds  float64  `json:"seconds"`
	Taken    int      `json:"taken"` // pieces of work that clients asked for
	Answered int      `json:"answered"`
	Unknown  int      `json:"unknown"`
	Lost     int      `json:"lost"`       // clients kept asking, and got nothing by their time
	Twice    int      `json:"twice"`      // keys whose effect ran more than once
	NotOut   int      `json:"not_out"`    // of Unknown, those of which nothing had come to any peer
	Over     int      `json:"taken_over"` // answered only after the first node was lost, or had refused
	Takeover Times    `json:"takeover_s"` // of those, from the beginning to the outcome
	Added    Times    `json:"first_s"`    // how long a first question took that brought the outcome
	Kills    int      `json:"kills"`
	Broken   []Broken `json:"broken"`
}

// JudgeTakeover counts what ran, by what came to peers, and what clients got. Where nothing is kept nothing is held against it.
func JudgeTakeover(a *Account, strict bool) *Takeover {
	t := &Takeover{Nodes: len(a.Names), Seconds: (a.End - a.Begin).Seconds(), Taken: len(a.Asked), Broken: []Broken{}}
	breaks := func(rule string, at time.Duration, format string, args ...any) {
		if strict && len(t.Broken) < 20 {
			t.Broken = append(t.Broken, Broken{rule, at - a.Begin, fmt.Sprintf(format, args...)})
		}
	}
	for _, w := range a.Broken {
		t.Broken = append(t.Broken, Broken{"world", 0, w})
	}
	if a.Machine != nil {
		t.Broken = append(t.Broken, Broken{"rig", 0, a.Machine.Error()})
	}
	for _, e := range a.Events {
		if e.What == "killed" {
			t.Kills++
		}
	}
	notMet(a, breaks)
	ran, last := ranByKey(a)
	for _, one := range a.Asked {
		switch {
		case one.Status == 200:
			t.Answered++
			if !strings.Contains(one.Body, "call="+one.Key+".") {
				breaks("outcome", one.Ended, "%s got the outcome of other work: %.60q", one.Key, one.Body)
			}
			if ran[one.Key] == 0 {
				breaks("outcome", one.Ended, "%s got an outcome, and nothing of it came to any peer", one.Key)
			}
		case one.Status != 0:
			t.Unknown++
			if ran[one.Key] == 0 {
				t.NotOut++
			}
		default:
			t.Lost++
			breaks("lost", one.Ended, "%s got nothing in %.1fs, asked %d times, and heard last: %s", one.Key, (one.Ended - one.Began).Seconds(),
				one.Times, one.Last)
		}
		if one.Status == 200 && one.Times > 1 {
			t.Over++
			t.Takeover.add(one.Ended - one.Began)
		}
		if one.First > 0 && one.Status == 200 {
			t.Added.add(one.First)
		}
		if n := ran[one.Key]; n > 1 {
			t.Twice++
			breaks("twice", last[one.Key], "%s came to peers %d times that may all have run", one.Key, n)
		}
	}
	t.Takeover.done()
	t.Added.done()
	if t.Taken == 0 {
		t.Broken = append(t.Broken, Broken{"use", a.End - a.Begin, "nobody asked for work"})
	}
	return t
}

// ranByKey is how many tries of each key came whole to peers, but for those that peers say they spared.
func ranByKey(a *Account) (ran map[string]int, last map[string]time.Duration) {
	ran, last = map[string]int{}, map[string]time.Duration{}
	keyOf := func(call string) string {
		key, _, _ := strings.Cut(call, ".")
		return key
	}
	for _, c := range a.Came {
		if !c.Done {
			ran[keyOf(c.Call)]++
			last[keyOf(c.Call)] = c.At
		}
	}
	for _, call := range a.Spared {
		ran[keyOf(call)]--
	}
	return ran, last
}

// Verdict are the rules that did not hold.
func (t *Takeover) Verdict() []Broken { return t.Broken }

// Text is the result for people.
func (t *Takeover) Text(*Account) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d processes, %d kills, %.0f s: clients asked for %d pieces of work, got %d outcomes, %d unknown, %d nothing\n", t.Nodes,
		t.Kills, t.Seconds, t.Taken, t.Answered, t.Unknown, t.Lost)
	fmt.Fprintf(&b, "ran twice %d; of the unknown nothing had come to a peer of %d; %d had their outcome at a later question, after %.2f s "+
		"(median), %.2f s at worst\n", t.Twice, t.NotOut, t.Over, t.Takeover.Median, t.Takeover.Worst)
	fmt.Fprintf(&b, "a first question took %.1f ms (median), %.1f ms at worst\n", 1000*t.Added.Median, 1000*t.Added.Worst)
	for _, one := range t.Broken {
		fmt.Fprintf(&b, "  %s\n", one)
	}
	return b.String()
}

// Line is the result in one line.
func (t *Takeover) Line(s *fault.Script) string {
	return fmt.Sprintf("seed %d: %s; taken %d, answered %d, unknown %d (%d not out), lost %d, twice %d, later %d; %s", s.Seed,
		strings.Join(s.Kinds(), " "), t.Taken, t.Answered, t.Unknown, t.NotOut, t.Lost, t.Twice, t.Over, verdict(t.Broken))
}
