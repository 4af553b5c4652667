package callstore

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"olivebridge/internal/fleet/raftlog"
)

const (
	// requestTimeout limits the time for which a voter may respond to no request while one waits, and separately the time
	// to dial or write to the voter.
	requestTimeout = 250 * time.Millisecond
	// redialInterval is the minimum interval between two dials to the same voter.
	redialInterval = 200 * time.Millisecond
	// retryInterval is the pause between two attempts of a request.
	retryInterval = 25 * time.Millisecond
	// noLeaderPause is the duration for which the client sends no requests after a voter reported no leader. An election
	// takes about ten times as long.
	noLeaderPause = 60 * time.Millisecond
)

// ErrNoLeader reports that no leader responded. The request may still have been committed.
var ErrNoLeader = errors.New("nobody keeps the work")

// errNotSent reports that a request was not written to a voter.
var errNotSent = errors.New("the request was not sent")

// noLeaderError is the error of a request to which no leader responded. It wraps ErrNoLeader.
type noLeaderError struct {
	// cause is the failure of the last attempt.
	cause error
	// mayBeCommitted is false if the request will certainly not be committed.
	mayBeCommitted bool
}

// Error implements error.
func (e *noLeaderError) Error() string { return fmt.Sprintf("%v: %v", ErrNoLeader, e.cause) }

// Unwrap returns ErrNoLeader and the cause.
func (e *noLeaderError) Unwrap() []error { return []error{ErrNoLeader, e.cause} }

// clientConfig configures a client.
type clientConfig struct {
	name   string          // name of this node
	voters func() []string // returns the names of the voters, at least one
	dial   func(voter string) (net.Conn, error)
	// handle processes a request to this node within this process. It returns false if this process cannot process
	// requests at present.
	handle func(request) (response, bool)
}

// client sends requests to the leader. It multiplexes concurrent requests over one stream per voter.
type client struct {
	config clientConfig
	hint   raftlog.LeaderHint

	mu         sync.Mutex
	started    bool               // false if this process has never held the node's membership
	streams    map[string]*stream // by voter
	pauseUntil time.Time          // no requests are sent before this time, because a voter reported no leader

	dialing  sync.Mutex           // held while dialing a voter
	dialedAt map[string]time.Time // time of the last dial, by voter; guarded by dialing
}

func newClient(config clientConfig) *client {
	return &client{
		config:   config,
		streams:  map[string]*stream{},
		dialedAt: map[string]time.Time{},
	}
}

// start allows the client to dial voters.
func (c *client) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = true
}

// closeStreams closes all streams. Later requests open new ones.
func (c *client) closeStreams() {
	c.mu.Lock()
	open := c.streams
	c.streams = map[string]*stream{}
	c.mu.Unlock()
	c.hint.Forget()
	for _, s := range open {
		s.close(ErrNoLeader)
	}
}

// sendToLeader sends a request to the leader and retries until the leader responds. After the timeout, or when ctx is
// done, it returns a *noLeaderError.
func (c *client) sendToLeader(ctx context.Context, r request, timeout time.Duration) (response, error) {
	deadline := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	voter := c.hint.Leader()
	failure := &noLeaderError{cause: errNotSent}
	for {
		if voter == "" {
			voter = c.hint.NextVoter(c.config.voters())
		}
		if !c.isPaused() {
			resp, err := c.sendToVoter(ctx, r, voter)
			if err == nil && resp.Refusal == "" {
				c.recordLeader(voter)
				return resp, nil
			}
			failure.add(resp, err)
			if !errors.Is(err, errUnproven) {
				c.recordRefusal(voter, resp.Leader)
			}
			voter = resp.Leader
		}
		select {
		case <-ctx.Done():
			return response{}, failure
		case <-time.After(retryInterval):
			if !time.Now().Before(deadline) { // both channels may be ready
				return response{}, failure
			}
		}
	}
}

// add records a failed attempt: a refusal of the voter, or err.
func (e *noLeaderError) add(resp response, err error) {
	if err == nil {
		e.cause = errors.New(resp.Refusal)
		e.mayBeCommitted = e.mayBeCommitted || !resp.NotProposed
		return
	}
	e.cause = err
	e.mayBeCommitted = e.mayBeCommitted || !errors.Is(err, errNotSent)
}

func (c *client) isPaused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.pauseUntil)
}

// recordLeader records that a voter responded as the leader, and ends the pause.
func (c *client) recordLeader(voter string) {
	c.hint.SetLeader(voter)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pauseUntil = time.Time{}
}

// recordRefusal records that a voter is not the leader or did not respond. If the voter named no leader, all requests
// pause: hundreds of requests that retry at the same time would delay the election.
func (c *client) recordRefusal(voter, leader string) {
	c.hint.ForgetVoter(voter)
	if leader != "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pauseUntil = time.Now().Add(noLeaderPause)
}

// sendToVoter sends a request to one voter, without retries. The response is empty if the error is not nil.
func (c *client) sendToVoter(ctx context.Context, r request, voter string) (response, error) {
	if voter == c.config.name {
		if resp, answered := c.config.handle(r); answered {
			return resp, nil
		}
	}
	s, err := c.connect(voter)
	if err != nil {
		return response{}, fmt.Errorf("%w: %w", errNotSent, err)
	}
	return s.roundTrip(ctx, r)
}

// connect returns the open stream to a voter, or dials the voter. Only one request dials at a time, and a voter is
// dialed at most once per redialInterval: otherwise all requests that wait for the stream would dial one after the
// other.
func (c *client) connect(voter string) (*stream, error) {
	if s := c.openStream(voter); s != nil {
		return s, nil
	}
	if !c.isStarted() {
		return nil, ErrNoLeader
	}
	c.dialing.Lock()
	defer c.dialing.Unlock()
	if s := c.openStream(voter); s != nil { // another request dialed while this one waited for the lock
		return s, nil
	}
	if time.Since(c.dialedAt[voter]) < redialInterval {
		return nil, ErrNoLeader
	}
	c.dialedAt[voter] = time.Now() // set for successful dials too, because the stream may end immediately
	conn, err := c.config.dial(voter)
	if err != nil {
		return nil, err
	}
	s := newStream(conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[voter] = s
	return s, nil
}

// openStream returns the open stream to a voter, or nil if there is none.
func (c *client) openStream(voter string) *stream {
	c.mu.Lock()
	s := c.streams[voter]
	c.mu.Unlock()
	if s == nil || s.isClosed() {
		return nil
	}
	return s
}

func (c *client) isStarted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started
}
