package fleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"olivebridge/internal/fleet/record"
	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/world"
	"olivebridge/internal/protocol"
)

// The calls that are copied. Their class is not idempotent, and its work is long enough that the copy reaches the node
// while the call is open, also on a busy machine.
const (
	copiedCallRate  = 10.0 // calls per second
	copiedCallClass = "release"
	copiedCallWork  = 800 * time.Millisecond
	copiedCallTime  = 1500 * time.Millisecond // the class's deadline
	copiedKeyPrefix = "copied"
	minCopyDelay    = 0.03 // seconds from the call to its copy
	maxCopyDelay    = 0.25
)

// copiedClass returns the class of the calls that are copied.
func copiedClass() world.Class {
	return world.Class{
		Name: copiedCallClass, Work: figure.Span(copiedCallWork), Spread: 0.05, Objective: figure.Span(copiedCallTime),
		Deadline: figure.Span(copiedCallTime), Weight: 1, Body: 100, ResponseBody: 300,
	}
}

// CopiedCall is a call whose ID another client has copied while the call was open.
type CopiedCall struct {
	ID         string
	Node       string
	CopiedAt   time.Duration // monotonic time at which the copy was sent; 0 if the call had ended before
	Status     int           // of the call; 0 if there was no answer
	CopyStatus int           // of the copy; 0 if there was no answer
}

// copyingClients sends calls, and while they are open, copies with the same IDs on new connections to the same node.
// During an upgrade either process of the node accepts these.
type copyingClients struct {
	nodes  map[string]string // addresses of the nodes, by name
	script *fault.Script

	mu    sync.Mutex
	calls []CopiedCall
}

// run sends calls until the script ends, and returns when all have ended.
func (c *copyingClients) run(ctx context.Context) []CopiedCall {
	random := figure.Stream(c.script.Seed, "copies")
	names := c.nodeNames()
	if len(names) == 0 {
		return nil
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / copiedCallRate))
	defer ticker.Stop()
	var open sync.WaitGroup
	begin := time.Now()
	for n := 0; time.Since(begin) < c.script.Length.D()-2*copiedCallTime; n++ {
		select {
		case <-ctx.Done():
			open.Wait()
			return c.calls
		case <-ticker.C:
		}
		call := CopiedCall{
			ID:   fmt.Sprintf("%s%d-%d.1", copiedKeyPrefix, c.script.Seed, n),
			Node: names[random.IntN(len(names))],
		}
		delay := figure.Seconds(figure.Uniform(random, minCopyDelay, maxCopyDelay))
		open.Go(func() { c.sendBoth(ctx, call, delay) })
	}
	open.Wait()
	return c.calls
}

// nodeNames returns the nodes to which copies are sent, sorted. It leaves out nodes whose processes are stopped: when
// such a process continues, it may answer the call before it reads the copy, which then may run.
func (c *copyingClients) nodeNames() []string {
	var names []string
	for name := range c.nodes {
		stopped := slices.ContainsFunc(c.script.Faults, func(f fault.Fault) bool {
			return strings.Contains(f.Kind, "stop") && slices.Contains(f.Nodes, name)
		})
		if !stopped {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// sendBoth sends a call and, unless it has ended by then, its copy after the delay.
func (c *copyingClients) sendBoth(ctx context.Context, call CopiedCall, delay time.Duration) {
	answered := make(chan int, 1)
	go func() { answered <- c.send(ctx, call) }()
	select {
	case call.Status = <-answered:
	case <-time.After(delay):
		call.CopiedAt = record.Now()
		call.CopyStatus = c.send(ctx, call)
		call.Status = <-answered
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, call)
}

// send sends one request with the ID of the call on a new connection, and returns the status of the answer; 0: there is
// none.
func (c *copyingClients) send(ctx context.Context, call CopiedCall) int {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: attemptTimeout}
	request, err := newRequest(ctx, c.nodes[call.Node], keyOf(call.ID), call.ID, copiedCallClass)
	if err != nil {
		return 0
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// newRequest returns a request of a class that is not idempotent. The key identifies the call, the ID the attempt.
func newRequest(ctx context.Context, address, key, id, class string) (*http.Request, error) {
	text := "pay " + key
	body := io.NopCloser(strings.NewReader(text)) // net/http cannot rewind this reader, so it never resends the request
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/api?user="+key, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(text))
	request.Header.Set(protocol.HeaderCallID, id)
	request.Header.Set(protocol.HeaderClass, class)
	request.Header.Set(protocol.HeaderTenant, "acme")
	request.Header.Set(protocol.HeaderTimeout, fmt.Sprint(copiedCallTime.Seconds()))
	return request, nil
}

// checkCopies reports copied calls of which a peer worked on two attempts at one time. It returns the number of copies
// that got an error, and of those that were sent.
func checkCopies(a *Account, report reporter) (rejected, sent int) {
	working := map[string]bool{}
	for _, arrival := range a.Arrivals {
		if !strings.HasPrefix(arrival.Call, copiedKeyPrefix) {
			continue
		}
		if !arrival.Done && working[arrival.Call] {
			report("copied", arrival.At, "%s reached a peer again while it ran: its copy was passed on", arrival.Call)
		}
		working[arrival.Call] = !arrival.Done
	}
	for _, call := range a.CopiedCalls {
		if call.CopiedAt == 0 {
			continue
		}
		sent++
		if call.CopyStatus >= http.StatusBadRequest {
			rejected++
		}
	}
	return rejected, sent
}
