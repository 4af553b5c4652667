package stage

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"olivebridge/internal/lab/event"
	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
	"olivebridge/internal/lab/network"
	"olivebridge/internal/lab/rules"
	"olivebridge/internal/lab/sample"
	"olivebridge/internal/lab/world/client"
	"olivebridge/internal/lab/world/peer"
	"olivebridge/internal/lab/world/registry"
)

type (
	listener = func(addr string) (net.Listener, error)
	dialer   = func(ctx context.Context, addr string) (net.Conn, error)
)

// Options say what a run shows.
type Options struct {
	Trace io.Writer   // gets one line for each event; nil: nobody reads them
	Log   io.Writer   // gets the nodes' logs
	Watch sample.Sink // hears how the run goes until the clients have their outcomes; nil: nobody does
}

const (
	// slack is what the operators' rules leave on every limit of time.
	slack = 50 * time.Millisecond
	// ending is how long what is open at the end of a script may take to end.
	ending = 8 * time.Second
	// resting is how long the world then stands idle: above the time for which a
	// node remembers peers that are gone, and connections lie idle.
	resting = 75 * time.Second
	// leaving is how long a node may take over its planned end.
	leaving = 12 * time.Second
)

// run is a script being played. Everything in it belongs to the loop.
type run struct {
	script    *fault.Script
	options   Options
	loop      *loop.Loop
	trace     *trace
	judge     *rules.Judge
	observer  event.Observer
	net       *network.Net
	registry  *registry.Registry
	discovery string // where it is
	front     *client.Front
	peers     map[string]*peer.Peer
	places    map[string]int     // of the peers, by name
	hosts     map[string]string  // their machines
	zones     map[string]string  // of machines but clients'
	parted    map[[2]string]bool // nodes that are cut off from an address of discovery's
	crowds    []*client.Group
	rogues    []*client.MalformedClient
	nodes     []*instance
	faults    []rules.Violation // what the stage itself finds
	over      chan struct{}     // closed at the end
	watch     *watch            // nil: nobody watches
}

// Play plays a script. It must be called inside a bubble of testing/synctest,
// and returns once nothing of the run is left in it.
func Play(t *testing.T, s *fault.Script, o Options) Result {
	r := &run{
		script: s, options: o, loop: loop.New(synctest.Wait), over: make(chan struct{}), peers: map[string]*peer.Peer{},
		places: map[string]int{}, hosts: map[string]string{}, zones: map[string]string{},
		parted: map[[2]string]bool{},
	}
	r.trace = newTrace(r.loop, o.Trace)
	res := Result{Seed: s.Seed, Kinds: s.Kinds(), Pairs: s.Pairs()}
	if kind := s.Processes(); kind != "" {
		r.fail("script", "%s is played on processes alone", kind)
	} else if err := r.build(); err != nil {
		r.fail("crash", "%v", err)
	} else {
		r.play(t.Context())
	}
	close(r.over)
	synctest.Wait()
	if left := goroutines(); left != "" {
		r.fail("rest", "goroutines left: %s", left)
	}
	res.Virtual = r.loop.Now()
	if r.judge != nil {
		r.judge.Finish(r.loop.Now())
		res.Violations = append(res.Violations, r.judge.Violations()...)
	}
	res.Violations = append(res.Violations, r.faults...)
	for _, v := range res.Violations {
		r.trace.note("broken %s", v)
	}
	res.Tally = r.tally()
	r.trace.note("tally %s", res.Tally)
	res.Hash = r.trace.end()
	return res
}

// fail notes what the stage itself finds.
func (r *run) fail(rule, format string, args ...any) {
	r.faults = append(r.faults, rules.Violation{Rule: rule, At: r.loop.Now(), Detail: fmt.Sprintf(format, args...)})
}

// play lets the script happen, and the world come to rest after it.
func (r *run) play(ctx context.Context) {
	length := r.script.Length.D()
	for _, n := range r.nodes {
		n.start(n.c.Stale)
	}
	r.script.Schedule(r.loop, r)
	for _, c := range r.crowds {
		c.Start(length)
	}
	for _, g := range r.rogues {
		g.Start()
	}
	r.loop.Run(ctx, length, r.step)
	if !r.loop.Run(ctx, length+ending, func() bool { r.step(); return r.quiet() }) {
		r.fail("rest", "clients still wait %v after the end", ending)
	}
	for _, c := range r.crowds {
		c.Stop()
	}
	r.watch.end()
	for _, g := range r.rogues {
		g.Stop()
	}
	r.loop.Run(ctx, r.loop.Now()+resting, r.step)
	r.atRest()
	r.front.Stop()
	for _, n := range r.nodes {
		n.term()
	}
	r.loop.Run(ctx, r.loop.Now()+leaving, func() bool { r.step(); return r.gone() })
	for _, n := range r.nodes {
		if n.live != nil {
			r.fail("rest", "node %s had not ended %v after SIGTERM", n.c.Name, leaving)
			n.kill()
		}
	}
	r.loop.Run(ctx, r.loop.Now()+time.Second, r.step)
	for _, n := range r.nodes {
		if held := r.net.HeldBy(n.c.Name); len(held) > 0 {
			r.fail("rest", "node %s has ended and holds %d connections: %.200s", n.c.Name, len(held), strings.Join(held, " "))
		}
	}
}

// step follows each event: the judge looks for what is overdue.
func (r *run) step() bool {
	r.judge.Tick(r.loop.Now())
	r.watch.step()
	return false
}

func (r *run) quiet() bool {
	for _, c := range r.crowds {
		if !c.Idle() {
			return false
		}
	}
	for _, g := range r.rogues {
		if !g.Idle() {
			return false
		}
	}
	return true
}

func (r *run) gone() bool {
	for _, n := range r.nodes {
		if n.live != nil {
			return false
		}
	}
	return true
}

// atRest asks the nodes what they still hold.
func (r *run) atRest() {
	listed := listedIn(r.registry.ConfiguredList(false))
	for _, n := range r.nodes {
		if n.live == nil || n.live.node == nil {
			r.fail("rest", "node %s does not run at the end", n.c.Name)
			continue
		}
		switch held, err := n.rest(listed); {
		case err != nil:
			r.fail("rest", "node %s: %v", n.c.Name, err)
		case held != "":
			r.fail("rest", "node %s holds %s", n.c.Name, held)
		}
	}
}

// tally sums up what came of the clients' requests.
func (r *run) tally() Tally {
	var all Tally
	for _, c := range r.crowds {
		t := c.Tally()
		all.Add(Tally{
			Asked: t.Asked, Served: t.Served, Late: t.Late, Refused: t.Refused, Failed: t.Failed, Unanswered: t.Unanswered,
			Left: t.Left, Retries: t.Retries, Worth: t.ServedWorth, Whole: t.OfferedWorth,
		})
	}
	for _, p := range r.peers { // a sum: in any order
		all.Tries += p.Stats().Arrived
	}
	return all
}

// goroutines names the functions of this bubble's other goroutines.
func goroutines() string {
	buf := make([]byte, 1<<16)
	n := runtime.Stack(buf, true)
	for n == len(buf) { // it may have been cut: other bubbles of this process are in it too
		buf = make([]byte, 2*len(buf))
		n = runtime.Stack(buf, true)
	}
	buf = buf[:n]
	stacks := strings.Split(string(buf), "\n\n")
	_, own, _ := strings.Cut(strings.SplitN(stacks[0], "\n", 2)[0], "synctest bubble ")
	own = strings.TrimRight(own, "]:")
	var left []string
	for _, g := range stacks[1:] {
		head, rest, _ := strings.Cut(g, "\n")
		name, _, _ := strings.Cut(rest[strings.LastIndex(rest, "created by ")+len("created by "):], " ")
		if !strings.Contains(head, "synctest bubble "+own+"]") || strings.HasPrefix(name, "testing") {
			continue
		}
		left = append(left, name)
	}
	return strings.Join(left, ", ")
}

// versionOf and listedIn read a list as discovery writes it.
func versionOf(list []byte) int64 {
	var l struct{ Version int64 }
	json.Unmarshal(list, &l) // discovery's own
	return l.Version
}

func listedIn(list []byte) int {
	var l struct{ Servers []json.RawMessage }
	json.Unmarshal(list, &l)
	return len(l.Servers)
}

// taps lets the trace and the judge both see what crosses the network.
type taps []link.Tap

func (t taps) Observe(c link.Event) {
	for _, one := range t {
		one.Observe(c)
	}
}
