package routing

import (
	"cmp"
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

// queueLength is the maximum number of events that wait for the event loop. It is larger than the number of events that
// one core handles within the shortest timeout of a call.
const queueLength = 4096

// Config holds the parameters of New.
type Config struct {
	// Settings are the initial settings of the Balancer.
	Settings balancer.Settings
	// Seed is the seed of the Balancer's random numbers.
	Seed uint64
	// InitialEndpoints is the last endpoint list that this node received. It may be stale.
	InitialEndpoints EndpointList
	// Transport sends attempts and health checks to upstream servers.
	Transport Transport
	// Watcher watches the endpoint list.
	Watcher Watcher
	// Maintenance records the servers that operators have suspended. If nil, operators cannot suspend servers.
	Maintenance *maintenance.Registry
	// Admission admits calls and attempts against the fleet's budgets. If nil, there are no such budgets.
	Admission AdmissionControl
	// Subsets selects the servers that the node uses. If nil, the node uses all servers.
	Subsets SubsetSelector
	// Predecessor is the process of this node from which this process takes over. EndPeer must be called at its end.
	Predecessor Predecessor
	// MaxEndedCallBytes is the maximum memory for the ids of ended calls that must not run twice; 0 means
	// DefaultEndedCallBytes. SetMaxEndedCallBytes changes it later.
	MaxEndedCallBytes int64
	// Log is the logger of the Router. Its handler must not block.
	Log *slog.Logger
}

// Router owns a Balancer and is its balancer.Host. Its exported methods are safe for concurrent use, except Run and the
// methods of balancer.Host.
type Router struct {
	// These fields are immutable after New.
	seed             uint64
	initialEndpoints EndpointList
	transport        Transport
	maintenance      *maintenance.Registry // nil if operators cannot suspend servers
	admission        AdmissionControl      // nil if there are no fleet budgets
	log              *slog.Logger
	counters         *Counters
	startedAt        time.Time
	wallClock        func() time.Time // time.Now, except in tests

	// These fields are shared between goroutines.
	ready         atomic.Bool
	maxRetryAfter atomic.Int64 // from the settings, as a time.Duration
	events        chan event
	stopped       chan struct{}  // closed when the event loop has stopped
	waiters       sync.Pool      // holds *answerWaiter
	tasks         sync.WaitGroup // running attempts and goroutines of spawn

	eventLoopState
}

// eventLoopState is the part of a Router that belongs to the event loop.
type eventLoopState struct {
	ctx       context.Context // argument of Run
	balancer  *balancer.Balancer
	settings  balancer.Settings
	subset    subsetState
	upstreams map[balancer.ServerID]*Upstream
	calls     callTable
	watcher   Watcher
	watch     *watch // nil if no watch is running
	timers    map[*timerEvent]struct{}
	peers     peerProcesses
}

var _ balancer.Host = (*Router)(nil)

// New creates a Router. Calls that arrive before Run are queued until Run starts the event loop.
func New(config Config) *Router {
	r := &Router{
		seed:             config.Seed,
		initialEndpoints: config.InitialEndpoints,
		transport:        config.Transport,
		maintenance:      config.Maintenance,
		admission:        config.Admission,
		log:              config.Log,
		counters:         new(Counters),
		startedAt:        time.Now(),
		wallClock:        time.Now,
		events:           make(chan event, queueLength),
		stopped:          make(chan struct{}),
		eventLoopState: eventLoopState{
			settings:  config.Settings,
			subset:    subsetState{selector: config.Subsets},
			upstreams: map[balancer.ServerID]*Upstream{},
			calls:     newCallTable(cmp.Or(config.MaxEndedCallBytes, DefaultEndedCallBytes)),
			watcher:   config.Watcher,
			timers:    map[*timerEvent]struct{}{},
			peers:     newPeerProcesses(config.Predecessor),
		},
	}
	r.maxRetryAfter.Store(int64(config.Settings.MaxRetryAfter))
	r.ready.Store(slices.ContainsFunc(config.InitialEndpoints.Endpoints, isListed))
	return r
}

func isListed(e Endpoint) bool { return e.State != balancer.Removed }

// Ready reports whether the Router can route calls, that is, whether it knows any endpoint.
func (r *Router) Ready() bool { return r.ready.Load() }

// Counters returns the counters of the node.
func (r *Router) Counters() *Counters { return r.counters }

// Run runs the event loop until ctx ends. It returns after all goroutines that it started have ended. It must be called
// only once. It returns an error only if the Balancer rejects the settings.
func (r *Router) Run(ctx context.Context) error {
	defer r.tasks.Wait()
	defer r.stopTimers()
	defer r.stopClaims()
	defer r.cancelAttempts()
	defer close(r.stopped)
	r.ctx = ctx
	if err := r.start(); err != nil {
		return err
	}
	for {
		select {
		case e := <-r.events:
			r.handleWithRecover(e)
		case <-ctx.Done():
			return nil
		}
	}
}

// start creates the Balancer and passes it the last endpoint list that the node received.
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

// cancelAttempts cancels the attempts of all open calls when Run returns.
func (r *Router) cancelAttempts() { r.calls.cancelAll(errStopped) }

// Log implements balancer.Host.
func (r *Router) Log(line string) { r.log.Info("decision", "line", line) }
