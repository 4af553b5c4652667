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

// errOlderVersion is a list that is older than the version it was asked from.
var errOlderVersion = errors.New("older than the one held")

// errNoAnswer ends a watch none of whose requests has brought anything yet.
var errNoAnswer = errors.New("upstream group: no answer")

// poll asks discovery for what is newer than the version held, in as many requests as it takes: a change counts as
// known to the node soon after it was due. Discovery may hold the first request for so long.
//
// A request that broke is repeated at once, on a new connection; one that discovery refused, which may be
// overloaded, after a pause. Beside a late request others are sent, which are not held, since a silent connection
// never tells that it is broken. Once discovery has refused one, the backoff is the only pause behind all that
// bring nothing. The first good list counts, but none of an older version: whether discovery has gone back, or that
// answer alone is stale, its complete list tells. After a fault no request is held for long.
func (w *EndpointWatcher) poll(ctx context.Context, hold time.Duration) (routing.EndpointList, int64, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	first := w.jitter(w.backoff)
	p := &pollState{
		watcher: w,
		hold:    hold,
		since:   w.version,
		results: make(chan pollResult, w.maxExtra+1),
		timer:   time.NewTimer(first),
		due:     time.Now().Add(first),
		err:     errNoAnswer,
	}
	defer p.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return routing.EndpointList{}, 0, ctx.Err()
		case <-p.timer.C:
			if p.exhausted() && !p.receiving() { // the silence may last, and a change is due soon
				return routing.EndpointList{}, 0, p.failure()
			}
			p.sendNext(ctx)
		case result := <-p.results:
			if group, version, done := p.take(result); done {
				return group, version, p.err
			}
		}
	}
}

// pollState is the state of one poll.
type pollState struct {
	watcher *EndpointWatcher
	hold    time.Duration // of the next request that is sent alone
	since   int64         // the version that requests ask from; -1: for the complete list
	results chan pollResult
	timer   *time.Timer // sends the next request
	due     time.Time   // when it does
	// started counts the requests sent.
	started int
	// inFlight counts those that have brought nothing yet.
	inFlight int
	// retryPause is the next pause after a request that broke.
	retryPause time.Duration
	// rejection is the last error of discovery's; nil: it has refused none.
	rejection error
	// err is the last error of any request.
	err error
}

// exhausted reports whether no further request may be sent.
func (p *pollState) exhausted() bool { return p.started > p.watcher.maxExtra }

// receiving reports whether bytes of an answer have come lately.
func (p *pollState) receiving() bool {
	last := time.Unix(0, p.watcher.lastBytes.Load())
	return time.Since(last) <= p.watcher.parallelAfter
}

// failure is the error of a poll that brought nothing.
func (p *pollState) failure() error { return cmp.Or(p.rejection, p.err) }

// schedule sends the next request after a pause.
func (p *pollState) schedule(pause time.Duration) {
	p.due = time.Now().Add(pause)
	p.timer.Reset(pause)
}

// sendNext sends a further request, or waits for an answer that is coming.
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
	p.started++
	p.inFlight++
	if w.backoff > 0 && (!p.exhausted() || p.rejection != nil) { // after the last request the balancer's own pause follows
		late = max(late, w.rejectedAfter)
	}
	p.schedule(late)
	since := p.since
	w.requests.Go(func() { p.results <- w.pollOnce(ctx, client, since, wait) })
}

// take takes the result of a request, and schedules the next one unless the poll is done: with a list, or with an
// error in p.err.
func (p *pollState) take(result pollResult) (group routing.EndpointList, version int64, done bool) {
	w := p.watcher
	p.inFlight--
	group, version, p.err = w.parseList(result)
	if errors.Is(p.err, errOlderVersion) {
		p.since = -1
	}
	p.hold = min(p.hold, defaultPollWait)
	if p.err == nil || errors.Is(p.err, syscall.ECONNREFUSED) {
		return group, version, true
	}
	refused := errors.Is(p.err, routing.ErrDiscoveryRejected)
	if refused {
		p.rejection = p.err
		w.backoff = max(w.backoff, w.lateAfter)
	}
	if p.exhausted() && p.inFlight == 0 {
		p.err = p.failure()
		return group, version, true
	}
	p.scheduleRetry(refused)
	return group, version, false
}

// scheduleRetry schedules the next request after one that brought nothing.
func (p *pollState) scheduleRetry(refused bool) {
	w := p.watcher
	pause := &p.retryPause // a request may get through a fault that breaks most of them
	longest := w.lateAfter
	if w.backoff > 0 {
		pause = &w.backoff
		longest = maxPollBackoff
	}
	in := w.jitter(*pause)
	switch {
	case p.exhausted():
	case refused && p.inFlight > 0: // the one in flight may have its turn
		p.schedule(w.rejectedAfter)
	case p.inFlight == 0 || in < time.Until(p.due):
		p.schedule(in)
	}
	*pause = min(max(2**pause, minPollRetryPause), longest)
}

// parseList reads what a request brought.
func (w *EndpointWatcher) parseList(result pollResult) (routing.EndpointList, int64, error) {
	if result.err != nil {
		return routing.EndpointList{}, 0, result.err
	}
	group, version, err := w.names.ParseEndpoints(result.data)
	group.ReceivedAt = time.Now()
	group.Version = version
	if err == nil && version < result.since {
		err = fmt.Errorf("upstream group: %w: version %d after %d", errOlderVersion, version, result.since)
	}
	return group, version, err
}
