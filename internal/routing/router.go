package routing

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/maintenance"
)

// queueLength is how many events may wait for the goroutine of Run: more than one core handles within the shortest
// timeout of a call.
const queueLength = 4096

// Config is what a Router is made from.
type Config struct {
	// Settings are the Balancer's first settings.
	Settings balancer.Settings
	// Seed seeds the Balancer's random draws.
	Seed uint64
	// InitialEndpoints is the list as this node had it last. It may be stale.
	InitialEndpoints EndpointList
	// Transport brings attempts and health checks to upstream servers.
	Transport Transport
	// Watcher follows the list of endpoints.
	Watcher Watcher
	// Maintenance keeps the servers that operators have suspended. nil: they cannot suspend any.
	Maintenance *maintenance.Registry
	// Admission admits calls by the fleet's budgets. nil: there are none.
	Admission AdmissionControl
	// Subsets says with which servers the node works. nil: with all.
	Subsets SubsetSelector
	// Log must not block.
	Log *slog.Logger
}

// Router owns a Balancer and is its Host. Its exported methods but Run and those of balancer.Host are safe for
// concurrent use.
type Router struct {
	// These never change after New.
	seed             uint64
	initialEndpoints EndpointList
	transport        Transport
	maintenance      *maintenance.Registry // nil: none
	admission        AdmissionControl      // nil: none
	log              *slog.Logger
	counters         *Counters
	startedAt        time.Time

	// These are shared between goroutines.
	ready         atomic.Bool
	maxRetryAfter atomic.Int64 // of the settings, a time.Duration
	events        chan event
	stopped       chan struct{}  // closed once the decisions have ended
	waiters       sync.Pool      // of *answerWaiter
	tasks         sync.WaitGroup // attempts and what spawn has started

	decisionState
}

// decisionState belongs to the goroutine of Run.
type decisionState struct {
	ctx       context.Context // of Run
	balancer  *balancer.Balancer
	settings  balancer.Settings
	subset    subsetState
	upstreams map[balancer.ServerID]*Upstream
	calls     callTable
	watcher   Watcher
	watch     *watch // nil: none runs
	timers    map[*timerEvent]struct{}
}

var _ balancer.Host = (*Router)(nil)

// New makes a Router; Run starts its decisions. Calls may come before: they wait for Run.
func New(c Config) *Router {
	r := &Router{
		seed:             c.Seed,
		initialEndpoints: c.InitialEndpoints,
		transport:        c.Transport,
		maintenance:      c.Maintenance,
		admission:        c.Admission,
		log:              c.Log,
		counters:         new(Counters),
		startedAt:        time.Now(),
		events:           make(chan event, queueLength),
		stopped:          make(chan struct{}),
		decisionState: decisionState{
			settings:  c.Settings,
			subset:    subsetState{selector: c.Subsets},
			upstreams: map[balancer.ServerID]*Upstream{},
			calls:     newCallTable(),
			watcher:   c.Watcher,
			timers:    map[*timerEvent]struct{}{},
		},
	}
	r.maxRetryAfter.Store(int64(c.Settings.MaxRetryAfter))
	r.ready.Store(slices.ContainsFunc(c.InitialEndpoints.Endpoints, isListed))
	return r
}

func isListed(e Endpoint) bool { return e.State != balancer.Removed }

// Ready reports whether calls can be decided: some endpoints are known.
func (r *Router) Ready() bool { return r.ready.Load() }

// Counters are the node's counters.
func (r *Router) Counters() *Counters { return r.counters }

// Run makes the decisions until ctx ends, and returns once all that it started has ended too. It is called once. It
// returns an error only when the Balancer does not take the settings.
func (r *Router) Run(ctx context.Context) error {
	defer r.tasks.Wait()
	defer r.stopTimers()
	defer r.cancelAttempts()
	defer close(r.stopped)
	r.ctx = ctx
	if err := r.start(); err != nil {
		return err
	}
	for {
		select {
		case e := <-r.events:
			r.handleGuarded(e)
		case <-ctx.Done():
			return nil
		}
	}
}

// start makes the Balancer and shows it the list that the node had last.
func (r *Router) start() error {
	var err error
	r.balancer, err = balancer.New(r.settings, r.seed, r.now(), r)
	if err != nil {
		return fmt.Errorf("routing: %w", err)
	}
	if r.subset.selector != nil {
		r.subset.selector.Subscribe(func(subset Subset) { r.post(subsetEvent{subset}) })
	}
	list := r.initialEndpoints
	list.Kind = balancer.UpdateCached
	list.ReceivedAt = time.Now()
	r.updateEndpoints(list)
	return nil
}

// cancelAttempts ends the attempts of all open calls, as the node ends.
func (r *Router) cancelAttempts() { r.calls.cancelAll(errStopped) }

// Log implements balancer.Host.
func (r *Router) Log(line string) { r.log.Info("decision", "line", line) }
