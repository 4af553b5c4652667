package fleet

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"olivebridge/internal/fleet/record"
	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/protocol"
)

const (
	// idleConnections bounds the idle connections of all clients to each node.
	idleConnections = 64
	// idleTimeout is for how long they are kept.
	idleTimeout = time.Second
	// maxAnswer bounds the body of an answer that is read.
	maxAnswer = 1 << 20
	// lastAnswersLength is about how much of ClientCall.LastAnswers is kept.
	lastAnswersLength = 60

	headerState = "Work-State"
	// stateUnknown is the state of a call that may have run, and whose outcome nobody knows.
	stateUnknown = "unknown"
)

// ClientCall is one call, as its client saw it.
type ClientCall struct {
	Key          string
	Began        time.Duration // by the monotonic clock
	Ended        time.Duration
	Attempts     int
	Status       int    // of the final answer; 0: there was none in time
	State        string // Work-State of that
	Body         string
	LastAnswers  string        // what the last attempts were answered, for people
	FirstAttempt time.Duration // how long the first attempt took, if that brought the outcome; else 0
}

// clientLoad is clients that make calls at a steady rate, and retry.
type clientLoad struct {
	nodes  map[string]string // addresses, by name
	retry  bool
	script *fault.Script

	client *http.Client
	names  []string // of nodes, sorted

	mu    sync.Mutex
	calls []ClientCall
}

// run begins calls as long as a client that begins still has its time, and returns when all have ended.
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

// call makes a call to one node after the other, in an order, until its outcome is known or its time is up.
func (c *clientLoad) call(ctx context.Context, key string, order []int) ClientCall {
	call := ClientCall{Key: key, Began: record.Now()}
	call.Ended = call.Began
	for call.Ended-call.Began < clientCallTime && ctx.Err() == nil {
		node := c.names[order[call.Attempts%len(order)]]
		call.Attempts++
		got, err := c.sendAttempt(ctx, c.nodes[node], key, call.Attempts)
		call.Ended = record.Now()
		call.noteAnswer(node, got, err)
		if err == nil && got.isFinal() {
			call.finish(got)
			return call
		}
		if !c.retry {
			return call
		}
		select {
		case <-time.After(max(got.retryAfter, attemptPause)):
		case <-ctx.Done():
		}
		call.Ended = record.Now()
	}
	return call
}

// noteAnswer notes an answer for people.
func (c *ClientCall) noteAnswer(node string, got answer, err error) {
	if err != nil {
		c.LastAnswers = fmt.Sprintf("%s: %.40v", node, err)
		return
	}
	earlier := c.LastAnswers[max(len(c.LastAnswers)-lastAnswersLength, 0):]
	c.LastAnswers = fmt.Sprintf("%s from %s: %d %s", earlier, node, got.status, got.state)
}

// finish notes the final answer.
func (c *ClientCall) finish(got answer) {
	c.Status = got.status
	c.State = got.state
	c.Body = got.body
	if c.Attempts == 1 {
		c.FirstAttempt = c.Ended - c.Began
	}
}

// answer is what came of one attempt.
type answer struct {
	status     int
	state      string // Work-State; "": none
	body       string
	retryAfter time.Duration // 0: none
}

// isFinal reports whether a client does not retry after an answer.
func (a answer) isFinal() bool {
	return a.status == http.StatusOK || a.status == http.StatusBadGateway && a.state == stateUnknown
}

// sendAttempt sends one attempt to a node. Each has an ID of its own, by which the node tells attempts apart; the
// call's is the key.
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
	text := "pay " + key
	body := io.NopCloser(strings.NewReader(text)) // which net/http cannot read again: it sends the request once
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/api?user="+key, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(text))
	request.Header.Set(protocol.HeaderCallID, fmt.Sprintf("%s.%d", key, attempt))
	request.Header.Set(protocol.HeaderClass, clientCallClass)
	request.Header.Set(protocol.HeaderTenant, "acme")
	request.Header.Set(protocol.HeaderTimeout, "1.5")
	request.Header.Set("Idempotency-Key", key)
	return request, nil
}
