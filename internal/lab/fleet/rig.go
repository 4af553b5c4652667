package fleet

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"olivebridge/internal/fleet/record"
	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/live"
	"olivebridge/internal/lab/sample"
)

// Options say how a script is played.
type Options struct {
	Node       string            // the node's program, with olivefleet beside it
	Dir        string            // for everything that the processes write
	Log        io.Writer         // what goes wrong with the run itself; may be nil
	Progress   func(line string) // may be nil
	Mutant     string            // of which all processes are, if they were built for mutants; "": none
	IgnoreCuts bool              // the rig is a mutant: it makes no cuts
	// ExtraTables are tables of the fleet files besides [member]; nil: none.
	ExtraTables func(FileValues) string
	// Clients call the nodes, given their addresses by name, until the script is over; nil: there are none.
	Clients func(ctx context.Context, nodes map[string]string, s *fault.Script) []ClientCall
	// Operators call the nodes' admin listeners until the script is over; nil: there are none.
	Operators func(ctx context.Context, addresses func(node string) string, s *fault.Script) []OperatorCall
}

// rig is what stands around the processes of one run. Its exported methods implement live.Fleet and sample.Sink.
type rig struct {
	options Options
	names   []string // of the nodes
	zones   map[string]string
	relays  *Relays

	// As the script was played so far.
	moved       map[string]bool          // nodes that are at their second address
	clockErrors map[string]time.Duration // by how much a node's wall clock is wrong
	starts      int                      // of processes
	files       map[string]string        // fleet files, by path, without what Options.More says
	values      FileValues               // of all fleet files
	rewrites    int                      // of all fleet files

	// Seen by the run's callbacks, which come one at a time.
	came   []Arrival
	spared []string

	mu             sync.Mutex
	adminAddresses map[string]string // of each node's newest process
	events         []Event
	cpu            map[string]time.Duration
	rss            map[string]int64
	probed         []ProbeCount
	peers          []PeerEvent
	falls          map[string]int
}

var _ live.Fleet = (*rig)(nil)

func newRig(s *fault.Script, options Options) (*rig, error) {
	if options.ExtraTables == nil {
		options.ExtraTables = func(FileValues) string { return "" }
	}
	g := &rig{
		options:        options,
		zones:          map[string]string{},
		moved:          map[string]bool{},
		clockErrors:    map[string]time.Duration{},
		files:          map[string]string{},
		adminAddresses: map[string]string{},
		cpu:            map[string]time.Duration{},
		rss:            map[string]int64{},
		falls:          map[string]int{},
	}
	for _, n := range s.World.Nodes {
		g.names = append(g.names, n.Name)
		g.zones[n.Name] = n.Zone
	}
	g.values = firstValues(g.names)
	relays, err := NewRelays(g.names, s.Seed)
	if err != nil {
		return nil, err
	}
	relays.cutsIgnored = options.IgnoreCuts
	g.relays = relays
	return g, nil
}

// Play plays a script to its end.
func Play(ctx context.Context, s *fault.Script, options Options) (*Account, error) {
	g, err := newRig(s, options)
	if err != nil {
		return nil, err
	}
	defer g.relays.Close()
	run, err := g.startProcesses(ctx, s)
	if err != nil {
		return nil, err
	}
	a := &Account{
		Names:      g.names,
		Begin:      record.Now(),
		WallOffset: time.Duration(time.Now().UnixNano()) - record.Now(),
	}
	firstPeriod := countPeriodNow()
	clientCalls := g.startClients(ctx, run, s)
	operatorCalls := g.startOperators(ctx, s)
	g.progress(run, s.Length.D())
	a.End = record.Now()
	a.ClientCalls = <-clientCalls
	a.OperatorCalls = <-operatorCalls
	a.Periods = 1 + countPeriodNow() - firstPeriod
	_ = run.Wait()
	g.fillAccount(a, run)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	a.Lines, err = readRecords(options.Dir)
	return a, err
}

// countPeriodNow is the number of the present period of countPeriod, by the wall clock.
func countPeriodNow() int {
	return int(time.Now().Unix() / int64(countPeriod.Seconds()))
}

func (g *rig) startProcesses(ctx context.Context, s *fault.Script) (*live.Run, error) {
	return live.Start(ctx, s, live.Options{
		Node:  g.options.Node,
		Dir:   g.options.Dir,
		Log:   g.options.Log,
		Watch: g,
		Fleet: g,
		AttemptArrived: func(peer, call string) {
			g.came = append(g.came, Arrival{At: record.Now(), Peer: peer, Call: call})
		},
		AttemptEnded: func(peer, call string) {
			g.came = append(g.came, Arrival{At: record.Now(), Peer: peer, Call: call, Done: true})
		},
		Spared: func(_, call string) { g.spared = append(g.spared, call) },
	})
}

// startClients starts the clients of the options. What they saw comes on the channel once they are done; nothing if
// there are none.
func (g *rig) startClients(ctx context.Context, run *live.Run, s *fault.Script) chan []ClientCall {
	calls := make(chan []ClientCall, 1)
	if g.options.Clients == nil {
		close(calls)
		return calls
	}
	go func() { calls <- g.options.Clients(ctx, run.Nodes(), s) }()
	return calls
}

// startOperators starts the operators of the options, as startClients does clients.
func (g *rig) startOperators(ctx context.Context, s *fault.Script) chan []OperatorCall {
	calls := make(chan []OperatorCall, 1)
	if g.options.Operators == nil {
		close(calls)
		return calls
	}
	go func() { calls <- g.options.Operators(ctx, g.adminAddress, s) }()
	return calls
}

// fillAccount adds what the run and the rig saw, once all processes have ended.
func (g *rig) fillAccount(a *Account, run *live.Run) {
	a.Broken = run.Broken()
	a.RunError = run.MachineErr()
	a.Tally = run.Table().Total
	a.Events = g.events
	a.CPU = g.cpu
	a.RSS = g.rss
	a.Traffic = g.relays.TotalTraffic()
	a.Arrivals = g.came
	a.ProbeCounts = g.probed
	a.NotRun = g.spared
	a.Peers = g.peers
	for _, falls := range g.falls {
		a.Falls += falls
	}
}

// progressInterval is how often progress is told.
const progressInterval = 100 * time.Millisecond

// progress tells how it goes until the script is over. What happens then, the planned end of all, is not judged.
func (g *rig) progress(run *live.Run, length time.Duration) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	told := 0
	for begin := time.Now(); time.Since(begin) < length; {
		select {
		case <-run.Done():
			return
		case <-ticker.C:
		}
		g.mu.Lock()
		fresh := g.events[min(told, len(g.events)):]
		told = len(g.events)
		g.mu.Unlock()
		if g.options.Progress == nil {
			continue
		}
		for _, e := range fresh {
			g.options.Progress(fmt.Sprintf("%6.2fs  %s", time.Since(begin).Seconds(), e))
		}
	}
}

// adminAddress is where operators call a node.
func (g *rig) adminAddress(node string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.adminAddresses[node]
}

// note notes an event that happens now.
func (g *rig) note(e Event) {
	e.At = record.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.events = append(g.events, e)
}

// Tell implements live.Fleet.
func (g *rig) Tell(node, what string, pid int) { g.note(Event{Node: node, What: what, PID: pid}) }

// Request implements sample.Sink.
func (g *rig) Request(sample.Request) {}

// Event implements sample.Sink.
func (g *rig) Event(e sample.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers = append(g.peers, PeerEvent{record.Now(), e.Who, e.What})
}

// Reading implements sample.Sink.
func (g *rig) Reading(r sample.Reading) {
	g.mu.Lock()
	defer g.mu.Unlock()
	probes := 0
	for _, p := range r.Peers {
		probes += p.Probes
		g.falls[p.Name] = p.Falls
	}
	g.probed = append(g.probed, ProbeCount{record.Now(), probes})
	for _, n := range r.Nodes {
		g.cpu[n.Name] = n.CPU
		g.rss[n.Name] = max(g.rss[n.Name], n.Resident)
	}
}
