package routing

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync/atomic"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/maintenance"
)

// Entry is one peer as the upstream group lists it.
type Endpoint struct {
	balancer.Server
	Name, Addr string
}

// Group is a list of the upstream group, or of its changes.
type EndpointList struct {
	Kind       balancer.UpdateKind
	Endpoints  []Endpoint
	ReceivedAt time.Time // when it arrived
	Version    int64     // as discovery numbers it
}

// Peer is a server that the upstream group has named. Its fields but the
// leaving mark, and born, never change: a new address makes a new Peer, which shares both with the old one.
type Upstream struct {
	ID            balancer.ServerID
	Name, Addr    string
	drainingSince *atomic.Pointer[time.Time] // when it was told to leave; nil: it stays
	suspension    *maintenance.Suspension    // operators keep it out of use; nil: they cannot
	startedAt     *atomic.Int64              // when it last started, a balancer.Time, as the decisions were shown it
}

// NewPeer makes a peer that stays.
func NewUpstream(id balancer.ServerID, name, addr string) *Upstream {
	return &Upstream{ID: id, Name: name, Addr: addr, drainingSince: new(atomic.Pointer[time.Time]), startedAt: new(atomic.Int64)}
}

// OpenFor reports whether the first byte of a new try may still leave at now.
// It guards the drain rule against tries that waited for a connection while the
// list changed; half of the grace is left as a margin for the way there. What
// operators keep out of use has no grace.
func (p *Upstream) MaySend(now time.Time, grace time.Duration) bool {
	if p.suspension.Active() {
		return false
	}
	told := p.drainingSince.Load()
	return told == nil || now.Sub(*told) <= grace/2
}

// watch is one watch on the upstream group. What it brings counts only while it
// is the router's.
type watch struct{ stop context.CancelFunc }

// listEvent brings a list, or the news that a watch broke.
type listEvent struct {
	from  *watch
	group EndpointList
	err   error
}

func (e listEvent) handle(r *Router) {
	switch {
	case e.from != r.watch: // guards against a list of a discovery that was left, posted just before
	case e.err != nil:
		r.endWatch()
		r.count.WatchFailures.Add(1)
		r.log.Warn("upstream group watch ended", "reason", e.err.Error())
		if errors.Is(e.err, ErrDiscoveryRejected) { // who refuses is there, and the watcher pauses: a second pause would lose a crowd's turns
			r.Watch()
			return
		}
		r.balancer.HandleServers(r.now(), balancer.UpdateFailed, nil)
	default:
		r.count.EndpointLists.Add(1)
		r.learn(e.group)
	}
}

// learn takes over addresses, then tells the Balancer.
func (r *Router) learn(g EndpointList) {
	servers := r.chosen.take(g.Kind, r.shown(g))
	for _, e := range g.Endpoints {
		p := r.peers[e.ID]
		switch {
		case p == nil:
			p = NewUpstream(e.ID, e.Name, e.Addr)
			p.suspension = r.servers.SuspensionOf(e.Name)
		case p.Addr != e.Addr && e.Addr != "":
			p = &Upstream{ID: e.ID, Name: e.Name, Addr: e.Addr, drainingSince: p.drainingSince, suspension: p.suspension, startedAt: p.startedAt}
		}
		r.peers[e.ID] = p
	}
	r.show(g.Kind, servers, g.ReceivedAt)
	maps.DeleteFunc(r.peers, func(id balancer.ServerID, _ *Upstream) bool { return !r.balancer.Knows(id) })
	if len(r.peers) > 0 {
		r.ready.Store(true)
	}
}

// show lets the decisions see servers, and notes their starts first: a try that finds another one than it was decided by asks
// behind this.
func (r *Router) show(kind balancer.UpdateKind, servers []balancer.Server, at time.Time) {
	for _, s := range servers {
		if p := r.peers[s.ID]; p != nil {
			p.startedAt.Store(int64(s.StartedAt))
		}
	}
	r.balancer.HandleServers(r.now(), kind, servers)
	r.mark(at)
}

// mark has peers leave, or stay, as the decisions have it by now: what they say of a server hangs on more than its entry.
func (r *Router) mark(at time.Time) {
	for id, p := range r.peers {
		p.SetAccepting(r.balancer.Accepts(id), at)
	}
}

// bornAt is when a peer last started.
func (p *Upstream) startTime() balancer.Time { return balancer.Time(p.startedAt.Load()) }

// Mark notes from when on a peer leaves; the first telling counts.
func (p *Upstream) SetAccepting(stays bool, at time.Time) {
	if stays {
		p.drainingSince.Store(nil)
	} else {
		p.drainingSince.CompareAndSwap(nil, &at)
	}
}

// Watch implements balancer.Host: it starts the watch unless one runs.
func (r *Router) Watch() {
	if r.watch != nil {
		return
	}
	ctx, stop := context.WithCancel(r.ctx)
	w, watcher := &watch{stop}, r.watcher
	r.watch = w
	r.spawn(func(context.Context) {
		err := watcher.Watch(ctx, func(g EndpointList) { r.post(listEvent{from: w, group: g}) })
		if err == nil {
			err = fmt.Errorf("no reason given")
		}
		if ctx.Err() == nil {
			r.post(listEvent{from: w, err: err})
		}
	}, func() { r.post(listEvent{from: w, err: fmt.Errorf("panic in the watch")}) })
}

func (r *Router) endWatch() {
	if r.watch != nil {
		r.watch.stop()
		r.watch = nil
	}
}

// followEvent brings another source of the upstream group.
type followEvent struct{ watcher Watcher }

func (e followEvent) handle(r *Router) {
	r.endWatch()
	r.watcher = e.watcher
	r.balancer.HandleDiscoveryMoved(r.now())
}

// Follow leaves the watch that runs for a new one by w, begun at once. No list
// of the old one counts any more, nor does its end.
func (r *Router) ReplaceWatcher(w Watcher) { r.post(followEvent{w}) }

// probeEvent brings a probe's result.
type probeEvent struct{ result balancer.HealthCheckResult }

func (e probeEvent) handle(r *Router) {
	if e.result.Result != balancer.OK {
		r.count.HealthChecksFailed.Add(1)
	}
	r.chosen.saw(r.peers[e.result.Server], e.result.Result, true)
	r.balancer.HandleHealthCheck(r.now(), e.result)
}

// Probe implements balancer.Host.
func (r *Router) CheckHealth(to balancer.ServerID) {
	p := r.peers[to]
	if p == nil {
		return
	}
	r.count.HealthChecks.Add(1)
	start := time.Now()
	done := func(res balancer.Result) {
		r.post(probeEvent{balancer.HealthCheckResult{Server: to, Latency: time.Since(start), Result: res}})
	}
	r.spawn(func(ctx context.Context) { done(r.carrier.CheckHealth(ctx, p)) }, func() { done(balancer.Reset) })
}
