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
	// requestTimeout bounds one request to a voter, and the dial before it.
	requestTimeout = 250 * time.Millisecond
	// redialInterval is for how long a voter is not dialled again.
	redialInterval = 200 * time.Millisecond
	// retryInterval is the pause between two attempts of a request.
	retryInterval = 25 * time.Millisecond
	// noLeaderPause is for how long nobody is asked after a voter knew of no leader: an election takes ten times as long.
	noLeaderPause = 60 * time.Millisecond
)

// ErrNoLeader says that no leader has answered. A request may have been committed all the same.
var ErrNoLeader = errors.New("nobody keeps the work")

// clientConfig is what a client is made of.
type clientConfig struct {
	name   string          // of this node
	voters func() []string // at least one
	dial   func(voter string) (net.Conn, error)
	// answer answers a request to this node in this process; false: that is not possible now.
	answer func(request) (response, bool)
}

// client sends requests to the leader, many at a time over one stream to each voter.
type client struct {
	config clientConfig
	hint   raftlog.LeaderHint

	mu         sync.Mutex
	started    bool // false: this process never had the membership
	streams    map[string]*stream
	pauseUntil time.Time // nobody is asked until then, since no voter knew of a leader

	dialing  sync.Mutex           // held while a voter is dialled
	dialedAt map[string]time.Time // by voter; guarded by dialing
}

func newClient(config clientConfig) *client {
	return &client{
		config:   config,
		streams:  map[string]*stream{},
		dialedAt: map[string]time.Time{},
	}
}

// start allows the client to dial.
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

// ask sends a request to the leader, and again until a leader has answered or the time is up: then the error is an
// ErrNoLeader.
func (c *client) ask(ctx context.Context, r request, timeout time.Duration) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	voter := c.hint.Leader()
	var got response
	var err error
	for {
		if voter == "" {
			voter = c.hint.NextVoter(c.config.voters())
		}
		if !c.isPaused() {
			got, err = c.askVoter(ctx, r, voter)
			if err == nil && got.Refusal == "" {
				c.noteAnswer(voter)
				return got, nil
			}
			c.noteRefusal(voter, got.Leader)
			voter = got.Leader
		}
		select {
		case <-ctx.Done():
			return got, noLeaderError(err, got.Refusal)
		case <-time.After(retryInterval):
		}
	}
}

// noLeaderError is an ErrNoLeader with the reason of the last attempt, if there was one.
func noLeaderError(err error, refusal string) error {
	if err == nil {
		err = errors.New(refusal)
	}
	return fmt.Errorf("%w: %w", ErrNoLeader, err)
}

func (c *client) isPaused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.pauseUntil)
}

// noteAnswer notes that a voter answered as the leader.
func (c *client) noteAnswer(voter string) {
	c.hint.Answered(voter)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pauseUntil = time.Time{}
}

// noteRefusal notes that a voter does not lead, or did not answer. If it named no leader all requests pause: hundreds
// that each ask on would keep the voters from their election.
func (c *client) noteRefusal(voter, leader string) {
	c.hint.ForgetVoter(voter)
	if leader != "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pauseUntil = time.Now().Add(noLeaderPause)
}

// askVoter sends a request to one voter, once. With an error the response is empty.
func (c *client) askVoter(ctx context.Context, r request, voter string) (response, error) {
	if voter == c.config.name {
		if got, answered := c.config.answer(r); answered {
			return got, nil
		}
	}
	s, err := c.connect(voter)
	if err != nil {
		return response{}, err
	}
	return s.ask(ctx, r)
}

// connect returns the stream to a voter. One request dials at a time, and not again within redialInterval: all that
// wait would do so together.
func (c *client) connect(voter string) (*stream, error) {
	if s := c.openStream(voter); s != nil {
		return s, nil
	}
	if !c.isStarted() {
		return nil, ErrNoLeader
	}
	c.dialing.Lock()
	defer c.dialing.Unlock()
	if s := c.openStream(voter); s != nil { // another request dialled meanwhile
		return s, nil
	}
	if time.Since(c.dialedAt[voter]) < redialInterval {
		return nil, ErrNoLeader
	}
	c.dialedAt[voter] = time.Now() // also if the dial succeeds: the stream may end at once
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

// openStream is the open stream to a voter; nil: there is none.
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
