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

// Options selects the output of a run.
type Options struct {
	Trace io.Writer   // receives one line for each event; may be nil
	Log   io.Writer   // receives the nodes' logs; may be nil
	Watch sample.Sink // receives samples until all client requests have ended; may be nil
}

const (
	// slack is the tolerance that the rules add to every time limit.
	slack = 50 * time.Millisecond
	// drainTimeout is the maximum time from the end of a script until the last open request ends.
	drainTimeout = 8 * time.Second
	// idleDuration is the time for which the world is idle after that. It exceeds the time for which a node remembers
	// removed peers, and the idle timeout of connections.
	idleDuration = 75 * time.Second
	// shutdownTimeout is the maximum time from SIGTERM to the exit of a node.
	shutdownTimeout = 12 * time.Second
)

// run is the state of a script that is being played. Its fields may be accessed only on the loop.
type run struct {
	script      *fault.Script
	options     Options
	loop        *loop.Loop
	trace       *trace
	judge       *rules.Judge
	observer    event.Observer
	net         *network.Net
	registry    *registry.Registry
	discovery   string // its current address
	front       *client.Front
	peers       map[string]*peer.Peer
	peerIndex   map[string]int     // index of each peer in the script, by name
	hosts       map[string]string  // host of each peer, by name
	zones       map[string]string  // zone of each host except those of clients
	partitioned map[[2]string]bool // pairs of a node and an address of discovery that are partitioned
	crowds      []*client.Group
	rogues      []*client.MalformedClient
	nodes       []*instance
	violations  []rules.Violation // violations that the stage itself finds
	done        chan struct{}     // closed at the end of the run
	watch       *sampler          // nil unless Options.Watch is set
}

// Play plays a script. It must be called inside a testing/synctest bubble. It returns when the run is over, and reports
// goroutines of the run that are left in the bubble as a violation.
func Play(t *testing.T, s *fault.Script, o Options) Result {
	r := &run{
		script: s, options: o, loop: loop.New(synctest.Wait), done: make(chan struct{}), peers: map[string]*peer.Peer{},
		peerIndex: map[string]int{}, hosts: map[string]string{}, zones: map[string]string{},
		partitioned: map[[2]string]bool{},
	}
	r.trace = newTrace(r.loop, o.Trace)
	res := Result{Seed: s.Seed, Kinds: s.Kinds(), Pairs: s.Pairs()}
	if kind := s.FirstFleetKind(); kind != "" {
		r.addViolation("script", "%s is played on processes alone", kind)
	} else if err := r.build(); err != nil {
		r.addViolation("crash", "%v", err)
	} else {
		r.play(t.Context())
	}
	close(r.done)
	synctest.Wait()
	if left := goroutines(); left != "" {
		r.addViolation("rest", "goroutines left: %s", left)
	}
	res.Virtual = r.loop.Now()
	if r.judge != nil {
		r.judge.Finish(r.loop.Now())
		res.Violations = append(res.Violations, r.judge.Violations()...)
	}
	res.Violations = append(res.Violations, r.violations...)
	for _, v := range res.Violations {
		r.trace.note("broken %s", v)
	}
	res.Tally = r.tally()
	r.trace.note("tally %s", res.Tally)
	res.Hash = r.trace.end()
	return res
}

// addViolation records a violation that the stage itself finds.
func (r *run) addViolation(rule, format string, args ...any) {
	r.violations = append(r.violations, rules.Violation{Rule: rule, At: r.loop.Now(), Detail: fmt.Sprintf(format, args...)})
}

// play runs the script, waits until the world is idle, checks that the nodes hold no resources, and stops them.
func (r *run) play(ctx context.Context) {
	length := r.script.Length.D()
	for _, n := range r.nodes {
		n.start(n.conf.Stale)
	}
	r.script.Schedule(r.loop, r)
	for _, c := range r.crowds {
		c.Start(length)
	}
	for _, g := range r.rogues {
		g.Start()
	}
	r.loop.Run(ctx, length, r.step)
	if !r.loop.Run(ctx, length+drainTimeout, func() bool { r.step(); return r.clientsQuiet() }) {
		r.addViolation("rest", "clients still wait %v after the end", drainTimeout)
	}
	for _, c := range r.crowds {
		c.Stop()
	}
	r.watch.end()
	for _, g := range r.rogues {
		g.Stop()
	}
	r.loop.Run(ctx, r.loop.Now()+idleDuration, r.step)
	r.checkResources()
	r.front.Stop()
	for _, n := range r.nodes {
		n.term()
	}
	r.loop.Run(ctx, r.loop.Now()+shutdownTimeout, func() bool { r.step(); return r.nodesStopped() })
	for _, n := range r.nodes {
		if n.process != nil {
			r.addViolation("rest", "node %s had not ended %v after SIGTERM", n.conf.Name, shutdownTimeout)
			n.kill()
		}
	}
	r.loop.Run(ctx, r.loop.Now()+time.Second, r.step)
	for _, n := range r.nodes {
		if held := r.net.HeldBy(n.conf.Name); len(held) > 0 {
			r.addViolation("rest", "node %s has ended and holds %d connections: %.200s", n.conf.Name, len(held), strings.Join(held, " "))
		}
	}
}

// step runs after each event: it lets the judge check for missed deadlines and the sampler take a sample.
func (r *run) step() bool {
	r.judge.Tick(r.loop.Now())
	r.watch.step()
	return false
}

func (r *run) clientsQuiet() bool {
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

func (r *run) nodesStopped() bool {
	for _, n := range r.nodes {
		if n.process != nil {
			return false
		}
	}
	return true
}

// checkResources reports nodes that do not run or still hold resources while the world is idle.
func (r *run) checkResources() {
	listed := listedIn(r.registry.ConfiguredList(false))
	for _, n := range r.nodes {
		if n.process == nil || n.process.node == nil {
			r.addViolation("rest", "node %s does not run at the end", n.conf.Name)
			continue
		}
		switch held, err := n.heldResources(listed); {
		case err != nil:
			r.addViolation("rest", "node %s: %v", n.conf.Name, err)
		case held != "":
			r.addViolation("rest", "node %s holds %s", n.conf.Name, held)
		}
	}
}

// tally adds up the outcomes of all clients' requests.
func (r *run) tally() Tally {
	var all Tally
	for _, c := range r.crowds {
		t := c.Tally()
		all.Add(Tally{
			Asked: t.Asked, Served: t.Served, Late: t.Late, Refused: t.Refused, Failed: t.Failed, Unanswered: t.Unanswered,
			Left: t.Left, Retries: t.Retries, Worth: t.ServedWorth, Whole: t.OfferedWorth,
		})
	}
	for _, p := range r.peers { // the order does not change the sum
		all.Tries += p.Stats().Arrived
	}
	return all
}

// goroutines returns the names of the functions that created this bubble's other goroutines.
func goroutines() string {
	buf := make([]byte, 1<<16)
	n := runtime.Stack(buf, true)
	for n == len(buf) { // may be truncated, since the stacks of other bubbles of this process are included
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

// versionOf returns the version of an endpoint list in discovery's encoding.
func versionOf(list []byte) int64 {
	var l struct{ Version int64 }
	json.Unmarshal(list, &l) // discovery writes valid JSON
	return l.Version
}

func listedIn(list []byte) int {
	var l struct{ Servers []json.RawMessage }
	json.Unmarshal(list, &l)
	return len(l.Servers)
}

// taps forwards each network event to several taps.
type taps []link.Tap

func (t taps) Observe(c link.Event) {
	for _, one := range t {
		one.Observe(c)
	}
}
