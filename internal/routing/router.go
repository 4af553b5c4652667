package routing

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/maintenance"
)

// queueLength is how many events may wait for the decision goroutine. It is
// above what one core answers within the shortest budget.
const queueLength = 4096

// Config is what a Router is made from.
type Config struct {
	Settings         balancer.Settings
	Seed             uint64
	InitialEndpoints EndpointList // the list as this node had it last; maybe old
	Transport        Transport
	Watcher          Watcher
	Maintenance      *maintenance.Registry // what operators keep out of use; nil: nothing
	Admission        AdmissionControl      // what the fleet's budgets let through; nil: all
	Subsets          SubsetSelector        // with which servers the node works; nil: with all
	Log              *slog.Logger          // must not block
}

// Gate lets calls through before anything is decided of them. It must not wait.
type AdmissionControl interface {
	// Admit reports whether a tenant's call may go on. If not, wait is when to come back.
	Admit(tenant int) (ok bool, wait time.Duration)
	// AdmitRetry reports whether a try may leave that is not its call's first: a retry, or a second copy.
	AdmitRetry() bool
	// AdmitCold reports whether a try may leave for a peer that has just started. It costs one unit at first, and less as the
	// peer warms.
	AdmitWarmUp(peer balancer.ServerID, units float64) bool
	// Done hears that a call that was let through has its answer, or needs none any more.
	Release(tenant int)
}

// event is something the decision goroutine has to take in.
type event interface{ handle(r *Router) }

// Router owns a Balancer and is its Host. All fields below events belong to
// the goroutine of Run.
type Router struct {
	seed    uint64
	known   EndpointList
	carrier Transport
	watcher Watcher
	servers *maintenance.Registry
	gate    AdmissionControl
	log     *slog.Logger
	count   *Counters
	start   time.Time
	ready   atomic.Bool
	advice  atomic.Int64 // set.MaxRetryAfter, for Take
	events  chan event
	stopped chan struct{}
	waits   sync.Pool // of *wait

	chosen   chosen
	set      balancer.Settings
	ctx      context.Context
	balancer *balancer.Balancer
	peers    map[balancer.ServerID]*Upstream
	open     map[balancer.RequestID]*openCall
	names    map[string]struct{} // of the open calls
	lastID   balancer.RequestID
	watch    *watch // nil: none runs
	timers   map[*wakeEvent]struct{}
	tasks    sync.WaitGroup // what spawn and send started
}

// New makes a Router; Run starts its decisions.
func New(c Config) *Router {
	r := &Router{
		set: c.Settings, seed: c.Seed, known: c.InitialEndpoints, carrier: c.Transport, watcher: c.Watcher, log: c.Log,
		servers: c.Maintenance, gate: c.Admission, chosen: chosen{by: c.Subsets},
		count: new(Counters), start: time.Now(), events: make(chan event, queueLength),
		stopped: make(chan struct{}), peers: map[balancer.ServerID]*Upstream{}, open: map[balancer.RequestID]*openCall{},
		names: map[string]struct{}{}, timers: map[*wakeEvent]struct{}{},
	}
	r.advice.Store(int64(c.Settings.MaxRetryAfter))
	r.ready.Store(slices.ContainsFunc(c.InitialEndpoints.Endpoints, func(s Endpoint) bool { return s.State != balancer.Removed })) // calls wait for Run
	return r
}

// Ready reports whether calls can be decided: the upstream group is known.
func (r *Router) Ready() bool { return r.ready.Load() }

// Counters are safe to read at any time.
func (r *Router) Counters() *Counters { return r.count }

// now is the Balancer's time: the wall clock at the start, run on by the
// monotonic clock, so that it never goes back and peers' starts compare with it.
func (r *Router) now() balancer.Time { return r.balancerTime(time.Now()) }

// brainTime turns the clock's time into the Balancer's.
func (r *Router) balancerTime(t time.Time) balancer.Time {
	return balancer.Time(r.start.UnixNano()) + balancer.Time(t.Sub(r.start))
}

// instant turns it back.
func (r *Router) instant(t balancer.Time) time.Time {
	return r.start.Add(time.Duration(t - balancer.Time(r.start.UnixNano())))
}

// Run makes the decisions until ctx ends, and returns once all that it started
// has ended too. It returns an error only when the Balancer cannot be made.
func (r *Router) Run(ctx context.Context) error {
	defer r.tasks.Wait()
	defer r.stopTimers()
	defer r.callOff()
	defer close(r.stopped)
	r.ctx = ctx
	var err error
	if r.balancer, err = balancer.New(r.set, r.seed, r.now(), r); err != nil {
		return fmt.Errorf("routing: %w", err)
	}
	if r.chosen.by != nil {
		r.chosen.by.Subscribe(func(now Subset) { r.post(chooseEvent{now}) })
	}
	r.known.ReceivedAt = time.Now()
	r.known.Kind = balancer.UpdateCached
	r.learn(r.known)
	for {
		select {
		case e := <-r.events:
			r.guard(e)
		case <-ctx.Done():
			return nil
		}
	}
}

// guard keeps a panic over one event from ending the node: every other call
// would be lost with it. The calls it may have touched answer by their deadline.
func (r *Router) guard(e event) {
	defer func() {
		if p := recover(); p != nil {
			r.count.Panics.Add(1)
			r.log.Error("panic", "in", fmt.Sprintf("%T", e), "value", fmt.Sprint(p), "stack", string(debug.Stack()))
			if a, ok := e.(concerned); ok {
				r.abandon(a.call())
			}
		}
	}()
	e.handle(r)
}

// concerned is an event about one call, which fails if the event panics.
type concerned interface{ call() balancer.RequestID }

// post hands an event to the decision goroutine; it may wait, so that
// goroutine itself never calls it. Once the decisions have ended it reports false.
func (r *Router) post(e event) bool {
	select {
	case r.events <- e:
		return true
	case <-r.stopped:
		return false
	}
}

// tell hands over news on which nobody waits: whoever brings it does not wait
// either where the queue is full. It guards the guard's answer, due just then.
func (r *Router) tell(e event) {
	select {
	case r.events <- e:
	default:
		go r.post(e)
	}
}

// spawn runs f beside the decisions; on a panic, instead calls failed, so that
// whoever waits for the outcome gets one.
func (r *Router) spawn(f func(context.Context), failed func()) {
	ctx := r.ctx
	r.tasks.Add(1)
	go func() {
		defer r.tasks.Done()
		whole := false
		defer func() {
			if !whole {
				failed()
			}
		}()
		defer r.caught("task")
		f(ctx)
		whole = true
	}()
}

// wakeEvent is a timer of the Balancer's.
type wakeEvent struct {
	ref   uint64
	timer *time.Timer
}

func (e *wakeEvent) handle(r *Router) {
	delete(r.timers, e)
	r.balancer.HandleTimer(r.now(), e.ref)
}

// setEvent brings changed settings.
type setEvent struct{ set balancer.Settings }

func (e setEvent) handle(r *Router) {
	if err := r.balancer.UpdateSettings(r.now(), r.chosen.settings(e.set)); err != nil {
		r.log.Error("settings not taken", "reason", err.Error())
		return
	}
	r.set = e.set
	r.mark(time.Now())
	r.advice.Store(int64(e.set.MaxRetryAfter))
}

// Set changes the settings of a running router. Their classes and tenants must
// stand where they stood.
func (r *Router) UpdateSettings(set balancer.Settings) { r.post(setEvent{set}) }

// SetTimer implements balancer.Host.
func (r *Router) SetTimer(d time.Duration, ref uint64) {
	e := &wakeEvent{ref: ref}
	r.timers[e] = struct{}{}
	e.timer = time.AfterFunc(d, func() { r.post(e) })
}

func (r *Router) stopTimers() {
	for e := range r.timers {
		e.timer.Stop()
	}
}

// Log implements balancer.Host.
func (r *Router) Log(line string) { r.log.Info("decision", "line", line) }
