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

// Options are the parameters of a run.
type Options struct {
	Node       string            // path of the node's program; olivefleet is in the same directory
	Dir        string            // directory for everything that the processes write
	Log        io.Writer         // receives errors of the run itself; may be nil
	Progress   func(line string) // receives a line for each event; may be nil
	Mutant     string            // mutant as which all processes run, built for mutants; "" for none
	IgnoreCuts bool              // the rig is a mutant that makes no cuts
	// ExtraTables returns the tables of the fleet files besides [member]. It may be nil.
	ExtraTables func(FileValues) string
	// Clients calls the nodes, given their addresses by name, until the script is over. It may be nil.
	Clients func(ctx context.Context, nodes map[string]string, s *fault.Script) []ClientCall
	// CopyingClients likewise sends calls and copies of them. It may be nil.
	CopyingClients func(ctx context.Context, nodes map[string]string, s *fault.Script) []CopiedCall
	// Operators calls the nodes' admin listeners until the script is over. It may be nil.
	Operators func(ctx context.Context, addresses func(node string) string, s *fault.Script) []OperatorCall
}

// rig is the environment of the processes of one run. Its exported methods implement live.Fleet and sample.Sink.
type rig struct {
	options Options
	names   []string // names of the nodes
	zones   map[string]string
	relays  *Relays

	// The state of the script so far.
	moved       map[string]bool          // nodes that use their second address
	clockErrors map[string]time.Duration // errors of the nodes' wall clocks
	starts      int                      // the number of process starts
	files       map[string]string        // fleet files by path, without Options.ExtraTables
	values      FileValues               // values that all fleet files share
	rewrites    int                      // the number of times that all fleet files were rewritten

	// Observations of the run's callbacks, which are called one at a time.
	arrivals []Arrival
	notRun   []string

	mu             sync.Mutex
	adminAddresses map[string]string // admin address of each node's newest process
	events         []Event
	cpu            map[string]time.Duration
	rss            map[string]int64
	probeCounts    []ProbeCount
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

// Play plays a script to its end and returns the account of the run.
func Play(ctx context.Context, s *fault.Script, options Options) (*Account, error) {
	g, err := newRig(s, options)
	if err != nil {
		return nil, err
	}
	defer g.relays.Close()
	run, err := g.startRun(ctx, s)
	if err != nil {
		return nil, err
	}
	a := &Account{
		Names:      g.names,
		Begin:      record.Now(),
		WallOffset: time.Duration(time.Now().UnixNano()) - record.Now(),
	}
	firstPeriod := countPeriodNow()
	clientCalls := startCallers(ctx, g.options.Clients, run.Nodes(), s)
	copiedCalls := startCallers(ctx, g.options.CopyingClients, run.Nodes(), s)
	operatorCalls := startCallers(ctx, g.options.Operators, g.adminAddress, s)
	g.reportProgress(run, s.Length.D())
	a.End = record.Now()
	a.ClientCalls = <-clientCalls
	a.CopiedCalls = <-copiedCalls
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

// countPeriodNow returns the number of the current period of length countPeriod by the wall clock.
func countPeriodNow() int {
	return int(time.Now().Unix() / int64(countPeriod.Seconds()))
}

func (g *rig) startRun(ctx context.Context, s *fault.Script) (*live.Run, error) {
	return live.Start(ctx, s, live.Options{
		Node:  g.options.Node,
		Dir:   g.options.Dir,
		Log:   g.options.Log,
		Watch: g,
		Fleet: g,
		AttemptArrived: func(peer, call string) {
			g.arrivals = append(g.arrivals, Arrival{At: record.Now(), Peer: peer, Call: call})
		},
		AttemptEnded: func(peer, call string) {
			g.arrivals = append(g.arrivals, Arrival{At: record.Now(), Peer: peer, Call: call, Done: true})
		},
		Spared: func(_, call string) { g.notRun = append(g.notRun, call) },
	})
}

// startCallers starts clients or operators, given the addresses of the nodes. The channel delivers their calls once
// they have finished; it is closed if there are none.
func startCallers[Addresses, Call any](ctx context.Context, call func(context.Context, Addresses, *fault.Script) []Call,
	addresses Addresses, s *fault.Script) chan []Call {
	calls := make(chan []Call, 1)
	if call == nil {
		close(calls)
		return calls
	}
	go func() { calls <- call(ctx, addresses, s) }()
	return calls
}

// fillAccount adds the observations of the run and of the rig to the account, once all processes have ended.
func (g *rig) fillAccount(a *Account, run *live.Run) {
	a.Broken = run.Broken()
	a.RunError = run.MachineErr()
	a.Tally = run.Table().Total
	a.Events = g.events
	a.CPU = g.cpu
	a.RSS = g.rss
	a.Traffic = g.relays.TotalTraffic()
	a.Arrivals = g.arrivals
	a.ProbeCounts = g.probeCounts
	a.NotRun = g.notRun
	a.Peers = g.peers
	for _, falls := range g.falls {
		a.Falls += falls
	}
}

// progressInterval is the interval at which new events are reported.
const progressInterval = 100 * time.Millisecond

// reportProgress reports new events until the script is over. The planned end of all processes after that is not
// judged.
func (g *rig) reportProgress(run *live.Run, length time.Duration) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	reported := 0
	for begin := time.Now(); time.Since(begin) < length; {
		select {
		case <-run.Done():
			return
		case <-ticker.C:
		}
		g.mu.Lock()
		newEvents := g.events[min(reported, len(g.events)):]
		reported = len(g.events)
		g.mu.Unlock()
		if g.options.Progress == nil {
			continue
		}
		for _, e := range newEvents {
			g.options.Progress(fmt.Sprintf("%6.2fs  %s", time.Since(begin).Seconds(), e))
		}
	}
}

// adminAddress returns the admin address of a node's newest process.
func (g *rig) adminAddress(node string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.adminAddresses[node]
}

// addEvent records an event that happens now.
func (g *rig) addEvent(e Event) {
	e.At = record.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.events = append(g.events, e)
}

// Tell implements live.Fleet.
func (g *rig) Tell(node, what string, pid int) { g.addEvent(Event{Node: node, What: what, PID: pid}) }

// Request implements sample.Sink.
func (g *rig) Request(sample.Request) {}

// Event implements sample.Sink.
func (g *rig) Event(e sample.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers = append(g.peers, PeerEvent{record.Now(), e.Name, e.Change})
}

// Reading implements sample.Sink.
func (g *rig) Reading(r sample.Reading) {
	g.mu.Lock()
	defer g.mu.Unlock()
	probes := 0
	for _, p := range r.Peers {
		probes += p.HealthChecks
		g.falls[p.Name] = p.OverloadCrashes
	}
	g.probeCounts = append(g.probeCounts, ProbeCount{record.Now(), probes})
	for _, n := range r.Nodes {
		g.cpu[n.Name] = n.CPU
		g.rss[n.Name] = max(g.rss[n.Name], n.ResidentBytes)
	}
}
