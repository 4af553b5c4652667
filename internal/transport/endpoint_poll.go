package transport

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"olivebridge/internal/routing"
)

// errOlderVersion reports an endpoint list whose version is older than the version in the request.
var errOlderVersion = errors.New("endpoint list is older than the requested version")

// errNoResponse ends a watch if none of its requests has received a response yet.
var errNoResponse = errors.New("upstream group: no response from discovery")

// poll requests the changes since the version held from discovery and returns the first valid list. The node is
// expected to know a change soon after the change is due, so poll sends as many requests as necessary. Discovery may
// hold the first request for hold.
//
// A request whose connection broke is retried at once on a new connection. A request that discovery rejected is retried
// after a pause, since discovery may be overloaded. If a response is late, poll sends further requests in parallel,
// which discovery does not hold: a silent connection does not report that it is broken. Once discovery has rejected a
// request, the backoff is the pause after every failed request. A list of an older version does not count: poll then
// requests the complete list, which shows whether discovery has returned to an older version or only that response was
// stale. After a failed request, poll allows no hold longer than defaultPollWait.
func (w *EndpointWatcher) poll(ctx context.Context, hold time.Duration) (routing.EndpointList, int64, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	first := w.jitter(w.backoff)
	p := &pollState{
		watcher:       w,
		hold:          hold,
		sinceVersion:  w.version,
		results:       make(chan pollResult, w.maxExtra+1),
		timer:         time.NewTimer(first),
		nextRequestAt: time.Now().Add(first),
		err:           errNoResponse,
	}
	defer p.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return routing.EndpointList{}, 0, ctx.Err()
		case <-p.timer.C:
			if p.exhausted() && !p.receiving() { // the silence may last, and a change is due soon: the next poll must start
				return routing.EndpointList{}, 0, p.failure()
			}
			p.sendNext(ctx)
		case result := <-p.results:
			if group, version, done := p.handleResult(result); done {
				return group, version, p.err
			}
		}
	}
}

// pollState is the state of one call of poll.
type pollState struct {
	watcher *EndpointWatcher
	// hold is the hold duration of the next request that is sent while no other one is in flight.
	hold time.Duration
	// sinceVersion is the version after which requests ask for changes; -1: they ask for the complete list.
	sinceVersion int64
	results      chan pollResult
	// timer fires when the next request is to be sent.
	timer *time.Timer
	// nextRequestAt is the time at which timer fires.
	nextRequestAt time.Time
	// requestsSent is the number of requests sent.
	requestsSent int
	// inFlight is the number of requests that have neither returned a list nor failed yet.
	inFlight int
	// retryPause is the next pause after a request whose connection broke.
	retryPause time.Duration
	// rejection is the last error with which discovery rejected a request; nil: it has rejected none.
	rejection error
	// err is the last error of any request.
	err error
}

// exhausted reports whether the limit of requests is reached.
func (p *pollState) exhausted() bool { return p.requestsSent > p.watcher.maxExtra }

// receiving reports whether bytes of a response arrived within the last parallelAfter.
func (p *pollState) receiving() bool {
	last := p.watcher.lastBytes.Load()
	return last != nil && time.Since(*last) <= p.watcher.parallelAfter
}

// failure returns the error of a poll that received no list: the last rejection, if any, or the last error.
func (p *pollState) failure() error { return cmp.Or(p.rejection, p.err) }

// schedule sets the timer of the next request to expire after pause.
func (p *pollState) schedule(pause time.Duration) {
	p.nextRequestAt = time.Now().Add(pause)
	p.timer.Reset(pause)
}

// sendNext sends a further request. Once the limit is reached, it only extends the wait for a response that is
// arriving.
func (p *pollState) sendNext(ctx context.Context) {
	w := p.watcher
	if p.exhausted() {
		p.schedule(w.parallelAfter)
		return
	}
	client := w.client
	wait := p.hold
	late := p.hold + w.lateAfter
	if p.inFlight > 0 {
		client = w.newParallelClient()
		wait = 0
		late = w.parallelAfter
	}
	p.requestsSent++
	p.inFlight++
	// After the last request no longer wait is needed, since the router pauses before the next watch.
	if w.backoff > 0 && (!p.exhausted() || p.rejection != nil) {
		late = max(late, w.rejectedAfter)
	}
	p.schedule(late)
	sinceVersion := p.sinceVersion
	w.requests.Go(func() { p.results <- w.pollOnce(ctx, client, sinceVersion, wait) })
}

// handleResult processes the result of a request. It schedules the next request unless the poll is done: done is true
// if there is a list, or if p.err ends the poll.
func (p *pollState) handleResult(result pollResult) (group routing.EndpointList, version int64, done bool) {
	w := p.watcher
	p.inFlight--
	group, version, p.err = w.parseList(result)
	if errors.Is(p.err, errOlderVersion) {
		p.sinceVersion = -1
	}
	p.hold = min(p.hold, defaultPollWait)
	if p.err == nil || errors.Is(p.err, syscall.ECONNREFUSED) {
		return group, version, true
	}
	rejected := errors.Is(p.err, routing.ErrDiscoveryRejected)
	if rejected {
		p.rejection = p.err
		w.backoff = max(w.backoff, w.lateAfter)
	}
	if p.exhausted() && p.inFlight == 0 {
		p.err = p.failure()
		return group, version, true
	}
	p.scheduleRetry(rejected)
	return group, version, false
}

// scheduleRetry schedules the next request after one that failed. rejected reports whether discovery rejected it.
func (p *pollState) scheduleRetry(rejected bool) {
	w := p.watcher
	pause := &p.retryPause // this pause is short, since a fault that breaks most requests may let one through
	maxPause := w.lateAfter
	if w.backoff > 0 {
		pause = &w.backoff
		maxPause = maxPollBackoff
	}
	delay := w.jitter(*pause)
	switch {
	case p.exhausted():
	case rejected && p.inFlight > 0: // discovery may still serve the one in flight
		p.schedule(w.rejectedAfter)
	case p.inFlight == 0 || delay < time.Until(p.nextRequestAt):
		p.schedule(delay)
	}
	*pause = min(max(2**pause, minPollRetryPause), maxPause)
}

// parseList parses the response in the result of a request. It rejects a list that is older than the requested version.
func (w *EndpointWatcher) parseList(result pollResult) (routing.EndpointList, int64, error) {
	if result.err != nil {
		return routing.EndpointList{}, 0, result.err
	}
	group, version, err := w.names.ParseEndpoints(result.data)
	group.ReceivedAt = time.Now()
	group.Version = version
	if err == nil && version < result.sinceVersion {
		err = fmt.Errorf("upstream group: %w: version %d, requested after %d", errOlderVersion, version, result.sinceVersion)
	}
	return group, version, err
}
