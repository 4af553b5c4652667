// Package live plays a script in real time: the world of the lab on loopback
// sockets, and each node as a process of its own, of the program that runs in
// service. What package stage plays on a virtual clock and judges step by step,
// this one plays as it would be met; it is watched, and judged by little more
// than what clients and peers see.
package live

import (
	"cmp"
	"context"
	"errors"
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
	"olivebridge/internal/lab/world"
	"olivebridge/internal/lab/world/client"
	"olivebridge/internal/lab/world/peer"
	"olivebridge/internal/lab/world/registry"
)

// Options say how a script is played.
type Options struct {
	Node   string        // the node's program
	Dir    string        // where the nodes' configurations and logs go
	Length time.Duration // in place of the script's own; 0: that
	Tap    link.Tap      // sees what crosses the world's ends of connections; may be nil. It is called on the loop
	Log    io.Writer     // gets a line for what goes wrong with the run itself; may be nil
	Watch  sample.Sink   // hears how the run goes; may be nil. It is told on the loop, and no more once the run is over
	Fleet  Fleet         // lets the nodes know of each other; may be nil
	// Came hears of each try that comes to a peer; may be nil. It is called on the loop.
	Came func(peer, call string)
	// Done hears of each that a peer is done with; may be nil.
	Done func(peer, call string)
	// Spared hears of each of them that will not run; may be nil.
	Spared func(peer, call string)
}

const (
	// starting is how long the nodes may take until clients can be sent to them.
	starting = 20 * time.Second
	// ending is how long what is open at the end of a script may take to end.
	ending = 8 * time.Second
	// dumping is how long one that does not end may take to write where it stands.
	dumping = 500 * time.Millisecond
	// leaving is how long a node may take over its planned end.
	leaving = 12 * time.Second
)

// Run is a script being played. Its methods are safe for concurrent use.
type Run struct {
	script    *fault.Script // its times begin at zero
	options   Options
	loop      *loop.Loop
	posts     atomic.Uint64
	net       *sockets.Net
	registry  *registry.Registry
	discovery string // where it is
	front     *client.Front
	peers     []*server
	crowds    []*client.Group
	rogues    []*client.MalformedClient
	nodes     []*instance
	zones     map[string]string // of machines but clients'
	listed    map[string]string // peers' states, as discovery has them
	zero      time.Duration     // when the nodes were ready, and the script began
	undo      []undo            // what Do has done
	before    watched           // of the last Table
	behind    time.Duration     // since then
	watch     watch
	amounts   int // how often those of budgets have changed
	judge     *judge

	halt     chan struct{} // closed by Stop
	halts    sync.Once
	over     chan struct{}  // closed once nothing is left
	children sync.WaitGroup // processes of nodes
	last     Snapshot       // once over
	mu       sync.Mutex
	trouble  error    // the first there was
	machine  error    // the first that is not a node's
	broken   []string // rules, by nodes' processes
}

// Start starts the world and its nodes, and returns once clients can be sent to
// all of them; the script's time begins then. The run ends at the script's end,
// by Stop, or with ctx.
func Start(ctx context.Context, s *fault.Script, o Options) (*Run, error) {
	if err := Playable(s); err != nil {
		return nil, err
	}
	if kind := s.Processes(); kind != "" && o.Fleet == nil {
		return nil, fmt.Errorf("%s: the nodes here know of no others; see olivelab fleet", kind)
	}
	r := &Run{
		script: s.Clone(), options: o, loop: loop.New(nil), zones: map[string]string{}, listed: map[string]string{},
		halt: make(chan struct{}), over: make(chan struct{}),
	}
	if r.options.Length <= 0 {
		r.options.Length = s.Length.D()
	}
	r.net = sockets.New(r.loop, o.Tap)
	r.watch = watch{run: r, to: o.Watch}
	r.judge = newJudge(s.World.Contract.TryLimit, remembered(s), r.watch.now)
	r.judge.hears, r.judge.ends, r.judge.spares = o.Came, o.Done, o.Spared
	if err := r.build(); err != nil {
		r.net.Close()
		return nil, err
	}
	ready := make(chan error, 1)
	go r.play(ctx, ready)
	if err := <-ready; err != nil {
		<-r.over
		return nil, err
	}
	return r, nil
}

// Playable reports what keeps a script from being played on sockets.
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

// build makes everything of a run; nothing has begun yet but discovery, the
// warm peers and the front.
func (r *Run) build() error {
	s, c := r.script, &r.script.World
	r.net.Seed = s.Seed
	for _, n := range c.Nodes {
		r.net.AddNode(n.Name)
	}
	r.place()
	observer := worldObserver{run: r}
	var err error
	if r.registry, err = registry.New(c.Discovery, c.Peers, registry.Env{
		Loop: r.loop, Fabric: r.net, Seed: s.Seed, Observer: observer,
	}); err != nil {
		return err
	}
	r.discovery = c.Discovery.Addr
	for _, p := range c.Peers {
		one := &server{run: r, c: p, Peer: peer.New(p, peer.Env{
			Loop: r.loop, Fabric: r.net, Seed: s.Seed, Observer: observer, Classes: c.Classes,
			Registrar: r.registry, Attempts: r.judge,
		})}
		r.peers = append(r.peers, one)
		if p.Late {
			continue
		}
		if one.begun = true; one.Peer.Start(true) != nil {
			return fmt.Errorf("peer %s did not start", p.Name)
		}
	}
	r.front = client.NewFront(c.Front, c.Nodes, client.FrontEnv{Loop: r.loop, Fabric: r.net, Seed: s.Seed})
	env := client.Env{
		Loop: r.loop, Fabric: r.net, Seed: s.Seed, Observer: observer, Classes: c.Classes, Tenants: c.Tenants,
		Front: r.front, Contract: c.Contract, OnRequestEnd: r.watch.request, OnResponse: r.judge.heard,
	}
	for _, one := range c.Clients {
		r.crowds = append(r.crowds, client.New(one, env))
	}
	for _, n := range c.Nodes {
		r.nodes = append(r.nodes, &instance{run: r, c: n, at: r.net.Resolve(n.Name + nodePort)})
	}
	return nil
}

// place gives every machine its address, and notes where it stands.
func (r *Run) place() {
	c := &r.script.World
	put := func(host, zone string) {
		r.zones[host] = zone
		r.net.Place(host)
	}
	for _, n := range c.Nodes {
		put(n.Name, n.Zone)
	}
	for _, p := range c.Peers {
		put(hostOf(p), p.Zone)
	}
	for _, addr := range []string{c.Discovery.Addr, c.Discovery.Spare} {
		put(addr[:len(addr)-len(portOf(addr))], c.Zones[0])
	}
}

// play is the run's loop, from the start of the nodes to the end of everything.
func (r *Run) play(ctx context.Context, ready chan<- error) {
	defer close(r.over)
	defer r.net.Close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		select {
		case <-r.halt:
			stop()
		case <-ctx.Done():
		}
	}()
	for _, n := range r.nodes {
		n.start(n.c.Stale)
	}
	if err := r.warm(ctx); err != nil {
		r.end()
		ready <- err
		return
	}
	r.begin()
	r.measure()
	ready <- nil
	if r.toEnd(ctx); ctx.Err() == nil {
		if !r.loop.Run(ctx, r.loop.Now()+ending, r.quiet) && ctx.Err() == nil {
			r.breaks("rest", "clients still wait %v after the end", ending)
		}
	}
	r.end()
}

// toEnd plays the script to its end, which has come when all that was due before it
// has happened, however late the machine is: what clients have to do then is theirs.
func (r *Run) toEnd(ctx context.Context) {
	over := false
	r.loop.At(r.zero+r.options.Length, func() { over = true })
	for !over && ctx.Err() == nil {
		r.loop.Run(ctx, r.loop.Now()+time.Second, func() bool { return over })
	}
}

// warm waits until the front sends clients to all nodes.
func (r *Run) warm(ctx context.Context) error {
	waits := func(n *instance) bool { return !r.front.Admitted(n.c.Name) }
	up := r.loop.Run(ctx, starting, func() bool { return r.Err() != nil || !slices.ContainsFunc(r.nodes, waits) })
	switch {
	case r.Err() != nil:
		return r.Err()
	case ctx.Err() != nil:
		return ctx.Err()
	case !up:
		return fmt.Errorf("the nodes were not ready within %v; their logs are in %s", starting, r.options.Dir)
	}
	return nil
}

// begin lets the script's time begin.
func (r *Run) begin() {
	r.zero = r.loop.Now()
	r.watch.begin()
	s, c := r.script, &r.script.World
	s.Length = figure.Span(r.zero + r.options.Length)
	for i := range s.Faults {
		s.Faults[i].At += figure.Span(r.zero)
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
		one.From += figure.Span(r.zero)
		g := client.NewMalformedClient(one, env)
		g.Start()
		r.rogues = append(r.rogues, g)
	}
}

// end ends clients and nodes, and returns once no process is left.
func (r *Run) end() {
	for _, c := range r.crowds {
		c.Stop()
	}
	for _, g := range r.rogues {
		g.Stop()
	}
	r.watch.end()
	r.misled()
	r.front.Stop()
	r.last = r.table()
	for _, n := range r.nodes {
		n.again = false
		n.endTwin()
		n.killNext() // nobody would wait for its end
		n.goOn()
		n.Term()
	}
	all := context.Background()
	r.loop.Run(all, r.loop.Now()+leaving, func() bool {
		return !slices.ContainsFunc(r.nodes, func(n *instance) bool { return n.live != nil })
	})
	for _, n := range r.nodes {
		if n.live != nil {
			r.breaks("rest", "node %s had not ended %v after SIGTERM", n.c.Name, leaving)
			n.live.signal(syscall.SIGQUIT) // its log then has where it stands
			r.loop.Run(all, r.loop.Now()+dumping, func() bool { return n.live == nil })
			n.Kill()
		}
	}
	r.children.Wait()
	if err := r.net.FirstError(); err != nil {
		r.fail("%v", err)
	}
}

// remembered is how long a call may still be of account after it came to a peer.
func remembered(s *fault.Script) time.Duration {
	longest := time.Duration(0)
	for _, c := range s.World.Classes {
		longest = max(longest, c.Deadline.D())
	}
	return longest + 10*time.Second
}

// misled finds rogues that were served what must not be.
func (r *Run) misled() {
	for i, g := range r.rogues {
		kind := r.script.World.Malformed[i].Kind
		if n := g.Results().Served; n > 0 && !client.ValidByItself(kind) {
			r.judge.breaks("bad", "%d requests of the kind %s were served", n, kind)
		}
	}
}

func (r *Run) quiet() bool {
	return !slices.ContainsFunc(r.crowds, func(c *client.Group) bool { return !c.Idle() }) &&
		!slices.ContainsFunc(r.rogues, func(g *client.MalformedClient) bool { return !g.Idle() })
}

// post lets f run on the loop.
func (r *Run) post(f func()) { r.loop.Post(loop.Key{Source: "live", Sequence: r.posts.Add(1)}, f) }

// on lets f run on the loop and waits until it has; false: the run is over.
func (r *Run) on(f func()) bool {
	done := make(chan struct{})
	r.post(func() {
		f()
		close(done)
	})
	select {
	case <-done:
		return true
	case <-r.over:
		return false
	}
}

// fail notes what goes wrong with the run itself.
func (r *Run) fail(format string, args ...any) {
	err := fmt.Errorf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine = cmp.Or(r.machine, err)
	r.note(err)
}

// note keeps the first trouble, and tells of it. It is called with the lock held.
func (r *Run) note(err error) {
	r.trouble = cmp.Or(r.trouble, err)
	if r.options.Log != nil {
		fmt.Fprintln(r.options.Log, err)
	}
}

// breaks notes that a node breaks a rule by what becomes of its process.
func (r *Run) breaks(rule, format string, args ...any) {
	err := fmt.Errorf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note(err)
	r.broken = append(r.broken, fmt.Sprintf("%s at %.6fs: %v", rule, r.watch.now().Seconds(), err))
}

// Machine is the first thing that went wrong for which no node is to blame.
func (r *Run) Machine() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine
}

// Broken are the rules that nodes broke, one line each: those of their processes
// first. It is known once the run is over.
func (r *Run) Broken() []string {
	<-r.over
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(r.broken[:len(r.broken):len(r.broken)], r.judge.all()...)
}

// Err is the first thing that went wrong with the run itself: a node that ended
// unasked, descriptors used up.
func (r *Run) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.trouble
}

// Done is closed once the run has ended and nothing of it is left.
func (r *Run) Done() <-chan struct{} { return r.over }

// Wait waits for that, and returns Err.
func (r *Run) Wait() error {
	<-r.over
	return r.Err()
}

// Stop ends the run before its time: clients leave, nodes get SIGTERM. It
// returns as Wait does.
func (r *Run) Stop() error {
	r.halts.Do(func() { close(r.halt) })
	return r.Wait()
}

// Nodes are the addresses at which nodes listen, by name.
func (r *Run) Nodes() map[string]string {
	all := map[string]string{}
	for _, n := range r.script.World.Nodes {
		all[n.Name] = r.net.Resolve(n.Name + nodePort)
	}
	return all
}

// Resolve is the real address of one of the world's: of "n1:9000", say.
func (r *Run) Resolve(addr string) string { return r.net.Resolve(addr) }

// errOver answers whoever comes too late.
var errOver = errors.New("the run is over")

func hostOf(p world.Peer) string {
	if p.Host != "" {
		return p.Host
	}
	return p.Name
}
