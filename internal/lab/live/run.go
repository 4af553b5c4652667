// Package live plays a script in real time: the world of the lab runs on loopback
// sockets, and each node is a process of the production program. Package stage plays
// the same scripts on a virtual clock and checks every step; this package shows the
// behavior under real conditions and checks little more than what clients and peers
// observe.
package live

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"olivebridge/internal/lab/event"
	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
	"olivebridge/internal/lab/sample"
	"olivebridge/internal/lab/sockets"
	"olivebridge/internal/lab/world/client"
	"olivebridge/internal/lab/world/registry"
) // Options configure a run.
type Options struct {
	Node   string        // path of the node's program
	Dir    string        // directory for the nodes' configurations and logs
	Length time.Duration // replaces the script's length; 0: the script's length
	Tap    link.Tap      // observes the world's ends of connections, on the loop; may be nil
	Log    io.Writer     // receives one line for each error of the run itself; may be nil
	Watch  sample.Sink   // receives samples, on the loop and not after the run has finished; may be nil
	Fleet  Fleet         // makes the nodes members of one fleet; may be nil
	// AttemptArrived is called on the loop for each try that reaches a peer; may be nil.
	AttemptArrived func(peer, call string)
	// AttemptEnded is called on the loop when a peer is done with a try; may be nil.
	AttemptEnded func(peer, call string)
	// Spared is called on the loop for each try that a peer rejects without running it; may be nil.
	Spared func(peer, call string)
}

const (
	// startTimeout is the duration within which all nodes must be ready for clients.
	startTimeout = 20 * time.Second
	// endTimeout is the duration within which open requests must end after the end of the script.
	endTimeout = 8 * time.Second
	// dumpTimeout is the duration for which a node that does not exit may write its stacks after SIGQUIT.
	dumpTimeout = 500 * time.Millisecond
	// exitTimeout is the duration within which a node must exit after SIGTERM.
	exitTimeout = 12 * time.Second
)

// Run is a script being played. Its methods are safe for concurrent use.
type Run struct {
	script            *fault.Script // its times are shifted by scriptStart when the script begins
	options           Options
	loop              *loop.Loop
	posts             atomic.Uint64
	net               *sockets.Net
	registry          *registry.Registry
	discovery         string // its current address
	front             *client.Front
	peers             []*peerHost
	crowds            []*client.Group
	rogues            []*client.MalformedClient
	nodes             []*instance
	zones             map[string]string // zone of each host other than clients' hosts
	listed            map[string]string // state of each peer in discovery's endpoint list
	scriptStart       time.Duration     // instant at which the nodes were ready and the script began
	undo              []undo            // effects of Do in force
	lastTable         tableState        // state at the last call of Table
	maxLag            time.Duration     // largest delay of the loop since then
	reporter          reporter
	fleetFileRevision int // number of rewrites of the fleet files
	checker           *checker

	stopRequested chan struct{} // closed by Stop
	stopOnce      sync.Once
	finished      chan struct{}  // closed when the run has finished and no process is left
	children      sync.WaitGroup // goroutines that run the nodes' processes
	finalSnapshot Snapshot       // valid once finished is closed
	mu            sync.Mutex
	firstErr      error    // first error of any kind
	machineErr    error    // first error that no node caused
	violations    []string // rule violations by the nodes' processes
}

// Start starts the world and its nodes and returns once all nodes are ready for
// clients; the script's time begins then. The run ends at the end of the script, by
// Stop, or when ctx ends.
func Start(ctx context.Context, s *fault.Script, o Options) (*Run, error) {
	if err := Playable(s); err != nil {
		return nil, err
	}
	if kind := s.FirstFleetKind(); kind != "" && o.Fleet == nil {
		return nil, fmt.Errorf("%s: the nodes here know of no others; see olivelab fleet", kind)
	}
	r := &Run{
		script: s.Clone(), options: o, loop: loop.New(nil), zones: map[string]string{}, listed: map[string]string{},
		stopRequested: make(chan struct{}), finished: make(chan struct{}),
	}
	if r.options.Length <= 0 {
		r.options.Length = s.Length.D()
	}
	r.net = sockets.New(r.loop, o.Tap)
	r.reporter = reporter{run: r, to: o.Watch}
	r.checker = newChecker(s.World.Contract.TryLimit, callRetention(s), r.reporter.now)
	r.checker.onAttempt, r.checker.onAttemptEnd, r.checker.onAttemptSpared = o.AttemptArrived, o.AttemptEnded, o.Spared
	if err := r.build(); err != nil {
		r.net.Close()
		return nil, err
	}
	ready := make(chan error, 1)
	go r.play(ctx, ready)
	if err := <-ready; err != nil {
		<-r.finished
		return nil, err
	}
	return r, nil
}

// Playable returns an error if a script is invalid or cannot be played on sockets.
func Playable(s *fault.Script) error {
	if err := s.Check(); err != nil {
		return err
	}
	for i, f := range s.Faults {
		if f.Kind == "slowlink" {
			return fmt.Errorf("fault[%d]: slowlink: not on sockets, where the way takes what loopback takes", i)
		}
	}
	return nil
}

// play runs the loop from the start of the nodes until no process is left. It sends
// the result of the start to ready.
func (r *Run) play(ctx context.Context, ready chan<- error) {
	defer close(r.finished)
	defer r.net.Close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		select {
		case <-r.stopRequested:
			stop()
		case <-ctx.Done():
		}
	}()
	for _, n := range r.nodes {
		n.start(n.c.Stale)
	}
	if err := r.waitUntilReady(ctx); err != nil {
		r.end()
		ready <- err
		return
	}
	r.begin()
	r.measureLag()
	ready <- nil
	if r.playToEnd(ctx); ctx.Err() == nil {
		if !r.loop.Run(ctx, r.loop.Now()+endTimeout, r.clientsIdle) && ctx.Err() == nil {
			r.addViolation("rest", "clients still wait %v after the end", endTimeout)
		}
	}
	r.end()
}

// playToEnd runs the loop until every event due before the end of the script has
// happened, however late the machine is. It does not wait for open requests.
func (r *Run) playToEnd(ctx context.Context) {
	over := false
	r.loop.At(r.scriptStart+r.options.Length, func() { over = true })
	for !over && ctx.Err() == nil {
		r.loop.Run(ctx, r.loop.Now()+time.Second, func() bool { return over })
	}
}

// waitUntilReady runs the loop until the front admits clients to all nodes. It
// returns an error if that takes longer than startTimeout.
func (r *Run) waitUntilReady(ctx context.Context) error {
	waits := func(n *instance) bool { return !r.front.Admitted(n.c.Name) }
	up := r.loop.Run(ctx, startTimeout, func() bool { return r.Err() != nil || !slices.ContainsFunc(r.nodes, waits) })
	switch {
	case r.Err() != nil:
		return r.Err()
	case ctx.Err() != nil:
		return ctx.Err()
	case !up:
		return fmt.Errorf("the nodes were not ready within %v; their logs are in %s", startTimeout, r.options.Dir)
	}
	return nil
}

// begin starts the script's time, the faults and the clients.
func (r *Run) begin() {
	r.scriptStart = r.loop.Now()
	r.reporter.begin()
	s, c := r.script, &r.script.World
	s.Length = figure.Span(r.scriptStart + r.options.Length)
	for i := range s.Faults {
		s.Faults[i].At += figure.Span(r.scriptStart)
	}
	s.Schedule(r.loop, r)
	for _, crowd := range r.crowds {
		crowd.Start(s.Length.D())
	}
	env := client.Env{
		Loop: r.loop, Fabric: r.net, Seed: s.Seed, Observer: event.NopObserver{}, Classes: c.Classes, Tenants: c.Tenants,
		Front: r.front, Contract: c.Contract,
	}
	for _, one := range c.Malformed {
		one.From += figure.Span(r.scriptStart)
		g := client.NewMalformedClient(one, env)
		g.Start()
		r.rogues = append(r.rogues, g)
	}
}

// end stops clients and nodes and returns when no process is left.
func (r *Run) end() {
	for _, c := range r.crowds {
		c.Stop()
	}
	for _, g := range r.rogues {
		g.Stop()
	}
	r.reporter.end()
	r.checkRogues()
	r.front.Stop()
	r.finalSnapshot = r.table()
	for _, n := range r.nodes {
		n.restart = false
		n.endDuplicate()
		n.killNext() // the wait below covers only the current process
		n.resume()
		n.Term()
	}
	all := context.Background()
	r.loop.Run(all, r.loop.Now()+exitTimeout, func() bool {
		return !slices.ContainsFunc(r.nodes, func(n *instance) bool { return n.current != nil })
	})
	for _, n := range r.nodes {
		if n.current != nil {
			r.addViolation("rest", "node %s had not ended %v after SIGTERM", n.c.Name, exitTimeout)
			n.current.signal(syscall.SIGQUIT) // makes it write the stacks of its goroutines to its log
			r.loop.Run(all, r.loop.Now()+dumpTimeout, func() bool { return n.current == nil })
			n.Kill()
		}
	}
	r.children.Wait()
	if err := r.net.FirstError(); err != nil {
		r.fail("%v", err)
	}
}

// callRetention returns the duration for which the checker keeps a call: the longest
// deadline of any class plus 10 s.
func callRetention(s *fault.Script) time.Duration {
	longest := time.Duration(0)
	for _, c := range s.World.Classes {
		longest = max(longest, c.Deadline.D())
	}
	return longest + 10*time.Second
}

// checkRogues adds a violation for each rogue whose invalid requests were served.
func (r *Run) checkRogues() {
	for i, g := range r.rogues {
		kind := r.script.World.Malformed[i].Kind
		if n := g.Results().Served; n > 0 && !client.ValidByItself(kind) {
			r.checker.addViolation("bad", "%d requests of the kind %s were served", n, kind)
		}
	}
}

// clientsIdle reports whether no client waits for a response.
func (r *Run) clientsIdle() bool {
	return !slices.ContainsFunc(r.crowds, func(c *client.Group) bool { return !c.Idle() }) &&
		!slices.ContainsFunc(r.rogues, func(g *client.MalformedClient) bool { return !g.Idle() })
}

// post schedules f on the loop.
func (r *Run) post(f func()) { r.loop.Post(loop.Key{Source: "live", Sequence: r.posts.Add(1)}, f) }

// runOnLoop runs f on the loop and waits for it. It returns false if the run has
// finished.
func (r *Run) runOnLoop(f func()) bool {
	done := make(chan struct{})
	r.post(func() {
		f()
		close(done)
	})
	select {
	case <-done:
		return true
	case <-r.finished:
		return false
	}
}

// Done returns a channel that is closed when the run has finished and no process is
// left.
func (r *Run) Done() <-chan struct{} { return r.finished }

// Wait waits until the run has finished and returns Err.
func (r *Run) Wait() error {
	<-r.finished
	return r.Err()
}

// Stop ends the run early: clients leave and nodes get SIGTERM. It returns the
// result of Wait.
func (r *Run) Stop() error {
	r.stopOnce.Do(func() { close(r.stopRequested) })
	return r.Wait()
}

// Nodes returns the real addresses of the nodes, by name.
func (r *Run) Nodes() map[string]string {
	all := map[string]string{}
	for _, n := range r.script.World.Nodes {
		all[n.Name] = r.net.Resolve(n.Name + nodePort)
	}
	return all
}

// Resolve returns the real address for an address of the world such as "n1:9000".
func (r *Run) Resolve(addr string) string { return r.net.Resolve(addr) }
