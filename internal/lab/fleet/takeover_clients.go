package fleet

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"olivebridge/internal/fleet/record"
	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
)

const (
	// idleConnections is the maximum number of idle connections of all clients to a node.
	idleConnections = 64
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = time.Second
	// maxAnswer is the maximum number of bytes that are read of a response body.
	maxAnswer = 1 << 20
	// lastAnswersLength is the approximate maximum length of the earlier text in ClientCall.LastAnswers, in bytes.
	lastAnswersLength = 60

	headerState = "Work-State"
	// stateUnknown is the value of the header for a call that may have run, but whose outcome is unknown.
	stateUnknown = "unknown"
)

// ClientCall is one call with the result that its client observed.
type ClientCall struct {
	Key          string
	Began        time.Duration // monotonic time
	Ended        time.Duration
	Attempts     int
	Status       int    // status code of the final answer; 0 if there was none in time
	State        string // its Work-State header
	Body         string
	LastAnswers  string        // the answers to the last attempts, for the output
	FirstAttempt time.Duration // duration of the first attempt if it returned the outcome, else 0
}

// clientLoad generates calls at a constant rate and retries them.
type clientLoad struct {
	nodes  map[string]string // addresses of the nodes, by name
	retry  bool
	script *fault.Script

	client *http.Client
	names  []string // names of the nodes, sorted

	mu    sync.Mutex
	calls []ClientCall
}

// run starts calls as long as a new one can use its full clientCallTime before the script ends, and returns when all
// have ended.
func (c *clientLoad) run(ctx context.Context) []ClientCall {
	c.names = slices.Sorted(maps.Keys(c.nodes))
	c.client = &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout},
		Timeout:   attemptTimeout,
	}
	defer c.client.CloseIdleConnections()
	random := figure.Stream(c.script.Seed, "work")
	ticker := time.NewTicker(time.Duration(float64(time.Second) / clientCallRate))
	defer ticker.Stop()
	var open sync.WaitGroup
	begin := time.Now()
	for n := 0; time.Since(begin) < c.script.Length.D()-settleTail+time.Second; n++ {
		select {
		case <-ctx.Done():
			open.Wait()
			return c.calls
		case <-ticker.C:
		}
		key := fmt.Sprintf("w%d-%d", c.script.Seed, n)
		order := random.Perm(len(c.names))
		open.Go(func() {
			call := c.call(ctx, key, order)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.calls = append(c.calls, call)
		})
	}
	open.Wait()
	return c.calls
}

// call sends attempts to the nodes in the given order, round robin, until the outcome is known or clientCallTime has
// passed.
func (c *clientLoad) call(ctx context.Context, key string, order []int) ClientCall {
	call := ClientCall{Key: key, Began: record.Now()}
	call.Ended = call.Began
	for call.Ended-call.Began < clientCallTime && ctx.Err() == nil {
		node := c.names[order[call.Attempts%len(order)]]
		call.Attempts++
		got, err := c.sendAttempt(ctx, c.nodes[node], key, call.Attempts)
		call.Ended = record.Now()
		call.recordAnswer(node, got, err)
		if err == nil && got.isFinal() {
			call.finish(got)
			return call
		}
		if !c.retry {
			return call
		}
		select {
		case <-time.After(max(got.retryAfter, retryPause)):
		case <-ctx.Done():
		}
		call.Ended = record.Now()
	}
	return call
}

// recordAnswer updates LastAnswers with the result of an attempt. An error replaces the earlier text.
func (c *ClientCall) recordAnswer(node string, got answer, err error) {
	if err != nil {
		c.LastAnswers = fmt.Sprintf("%s: %.40v", node, err)
		return
	}
	earlier := c.LastAnswers[max(len(c.LastAnswers)-lastAnswersLength, 0):]
	c.LastAnswers = fmt.Sprintf("%s from %s: %d %s", earlier, node, got.status, got.state)
}

// finish stores the final answer.
func (c *ClientCall) finish(got answer) {
	c.Status = got.status
	c.State = got.state
	c.Body = got.body
	if c.Attempts == 1 {
		c.FirstAttempt = c.Ended - c.Began
	}
}

// answer is the response to one attempt.
type answer struct {
	status     int
	state      string // Work-State header; "" if absent
	body       string
	retryAfter time.Duration // 0 if absent
}

// isFinal reports whether a client accepts an answer and does not retry.
func (a answer) isFinal() bool {
	return a.status == http.StatusOK || a.status == http.StatusBadGateway && a.state == stateUnknown
}

// sendAttempt sends one attempt to a node. Each attempt has its own ID, by which the node distinguishes attempts; the
// key identifies the call.
func (c *clientLoad) sendAttempt(ctx context.Context, address, key string, attempt int) (answer, error) {
	request, err := newAttempt(ctx, address, key, attempt)
	if err != nil {
		return answer{}, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	got := answer{status: response.StatusCode, state: response.Header.Get(headerState), body: string(body)}
	if seconds, parseErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); parseErr == nil {
		got.retryAfter = figure.Seconds(seconds)
	}
	return got, err
}

func newAttempt(ctx context.Context, address, key string, attempt int) (*http.Request, error) {
	request, err := newRequest(ctx, address, key, fmt.Sprintf("%s.%d", key, attempt), clientCallClass)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Idempotency-Key", key)
	return request, nil
}
