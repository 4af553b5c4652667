package routing

import (
	"context"
	"errors"

	"olivebridge/balancer"
)

// ErrDiscoveryRejected is the error of a watch that ended because discovery rejected a request. The Router restarts the
// watch at once, because the Watcher itself pauses before its next request. After any other error the Balancer decides
// when to restart the watch.
var ErrDiscoveryRejected = errors.New("refused")

var (
	errWatchEnded    = errors.New("watch ended without an error")
	errWatchPanicked = errors.New("watch panicked")
)

// Watcher watches the endpoint list until ctx ends or the watch fails. It passes each received list to deliver, which
// may block, and returns the reason for its end. It is called on its own goroutine.
type Watcher interface {
	Watch(ctx context.Context, deliver func(EndpointList)) error
}

// watch is a running watch. Its events are ignored once it is no longer the current watch of the Router.
type watch struct{ stop context.CancelFunc }

// Watch implements balancer.Host. It starts a watch unless one is already running.
func (r *Router) Watch() {
	if r.watch != nil {
		return
	}
	ctx, stop := context.WithCancel(r.ctx)
	w := &watch{stop}
	watcher := r.watcher
	r.watch = w
	run := func(context.Context) {
		err := watcher.Watch(ctx, func(list EndpointList) { r.post(endpointsEvent{from: w, list: list}) })
		if err == nil {
			err = errWatchEnded
		}
		if ctx.Err() == nil {
			r.post(endpointsEvent{from: w, err: err})
		}
	}
	r.spawn(run, func() { r.post(endpointsEvent{from: w, err: errWatchPanicked}) })
}

// stopWatch stops the current watch, if any.
func (r *Router) stopWatch() {
	if r.watch != nil {
		r.watch.stop()
		r.watch = nil
	}
}

// endpointsEvent reports a list from a watch, or the error with which the watch ended.
type endpointsEvent struct {
	from *watch
	list EndpointList
	err  error
}

func (e endpointsEvent) handle(r *Router) {
	if e.from != r.watch {
		return // posted by a watch just before it was replaced
	}
	if e.err != nil {
		r.handleWatchEnd(e.err)
		return
	}
	r.counters.EndpointLists.Add(1)
	r.updateEndpoints(e.list)
}

func (r *Router) handleWatchEnd(reason error) {
	r.stopWatch()
	r.counters.WatchFailures.Add(1)
	r.log.Warn("upstream group watch ended", "reason", reason.Error())
	if errors.Is(reason, ErrDiscoveryRejected) {
		r.Watch() // the watcher has paused already; with a second pause the node would lose its turn among many nodes
		return
	}
	r.balancer.HandleServers(r.now(), balancer.UpdateFailed, nil)
}

// watcherEvent replaces the Watcher.
type watcherEvent struct{ watcher Watcher }

func (e watcherEvent) handle(r *Router) {
	r.stopWatch()
	r.watcher = e.watcher
	r.balancer.HandleDiscoveryMoved(r.now())
}

// ReplaceWatcher stops the current watch and starts one with w at once. Lists of the old watch that arrive later are
// ignored, and so is the error with which it ends.
func (r *Router) ReplaceWatcher(w Watcher) { r.post(watcherEvent{w}) }
