package routing

import (
	"context"
	"errors"

	"olivebridge/balancer"
)

// ErrDiscoveryRejected is why a watch ended where discovery answered and rejected it. The watch is begun again at once,
// since the Watcher itself pauses before its next call. After any other end the Balancer says when to begin again.
var ErrDiscoveryRejected = errors.New("refused")

var (
	errWatchEnded    = errors.New("no reason given")
	errWatchPanicked = errors.New("panic in the watch")
)

// Watcher follows the list of endpoints until ctx ends or the watch breaks. It hands each list that comes to deliver,
// which may block, and returns why it stopped. It is called on a goroutine of its own.
type Watcher interface {
	Watch(ctx context.Context, deliver func(EndpointList)) error
}

// watch is one running watch. What it brings counts only while it is the router's.
type watch struct{ stop context.CancelFunc }

// Watch implements balancer.Host: it starts a watch unless one runs.
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

// stopWatch ends the running watch, if there is one.
func (r *Router) stopWatch() {
	if r.watch != nil {
		r.watch.stop()
		r.watch = nil
	}
}

// endpointsEvent brings a list from a watch, or the error with which the watch ended.
type endpointsEvent struct {
	from *watch
	list EndpointList
	err  error
}

func (e endpointsEvent) handle(r *Router) {
	if e.from != r.watch {
		return // guards against a list of a replaced watch, posted just before
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
		r.Watch() // the watcher has paused already: a second pause would lose its turn among many nodes
		return
	}
	r.balancer.HandleServers(r.now(), balancer.UpdateFailed, nil)
}

// watcherEvent brings another Watcher.
type watcherEvent struct{ watcher Watcher }

func (e watcherEvent) handle(r *Router) {
	r.stopWatch()
	r.watcher = e.watcher
	r.balancer.HandleDiscoveryMoved(r.now())
}

// ReplaceWatcher ends the running watch and begins one by w at once. No list of the old one counts any more, nor does
// the error with which it ends.
func (r *Router) ReplaceWatcher(w Watcher) { r.post(watcherEvent{w}) }
