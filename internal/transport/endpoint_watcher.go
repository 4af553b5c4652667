package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

const (
	// defaultPollWait is the default duration for which discovery may hold a request. A request on a silent connection
	// reports nothing until then, and the node is expected to know a change 2 s after it is due, so the hold is short.
	defaultPollWait = 800 * time.Millisecond
	// pollWaitPerNode is the interval between two requests of all nodes together. Discovery serves requests one at a time,
	// needs up to 0.35 s for each, and rejects the excess.
	pollWaitPerNode = 400 * time.Millisecond
	// maxPollWait limits the duration of a hold, regardless of the number of nodes.
	maxPollWait = 2400 * time.Millisecond
	// pollLateAfter is the delay beyond the hold after which a response is late and a parallel request is sent. It is also
	// the first pause before the retry of a rejected request.
	pollLateAfter = 200 * time.Millisecond
	// maxPollBackoff limits the pause after a rejected request. Pauses double up to this limit, and the next watch
	// continues with the pause reached. Shorter pauses of many nodes would keep discovery overloaded; five pauses of this
	// length fit into the time in which a change is due.
	maxPollBackoff = 850 * time.Millisecond
	// parallelPollAfter is the duration after which a further request is sent if a request without hold has no response.
	parallelPollAfter = 450 * time.Millisecond
	// rejectedPollAfter replaces pollLateAfter and parallelPollAfter once discovery has rejected a request. An overloaded
	// discovery queues a request for up to 2 s. If the same node sends another request in this time, discovery rejects
	// both, so a node that polls more often would never get a list.
	rejectedPollAfter = 2200 * time.Millisecond
	// pollReadTimeout is the maximum duration from the end of the hold until the response is complete. It ends responses
	// that arrive a few bytes at a time, and leaves more than half of the time in which a change is due. Parallel requests
	// are sent long before it expires.
	pollReadTimeout = 2400 * time.Millisecond
	// maxExtraPolls is the number of requests that may follow a failed one before the watch ends. After a rejection the
	// next watch starts with the current backoff.
	maxExtraPolls = 12
	// minPollRetryPause is the pause before a broken request is retried, from the second consecutive one on; it doubles up
	// to pollLateAfter. Without a pause, all requests could break within a short fault, which would end the watch.
	minPollRetryPause = 25 * time.Millisecond
	// watchConnectTimeout limits the time to connect to discovery.
	watchConnectTimeout = time.Second
	// maxListBytes is the maximum size of an endpoint list, in bytes.
	maxListBytes = 8 << 20
)

// MaxWatchRequests is the maximum number of requests that a watch has in flight, each on its own connection.
const MaxWatchRequests = 1 + maxExtraPolls

// EndpointWatcher watches the endpoint list of the discovery service by long polling. It implements routing.Watcher.
// Only one Watch may run at a time.
type EndpointWatcher struct {
	addr  string
	names protocol.NameIndex
	// version is the version of the endpoint list held; -1: there is none.
	version int64

	// client sends one request at a time, on a persistent connection.
	client *http.Client
	// newParallelClient returns a client for one request in parallel to those of client, on its own connection.
	newParallelClient func() *http.Client

	// Times of polls: see the constants with these defaults.

	wait          time.Duration
	lateAfter     time.Duration
	parallelAfter time.Duration
	rejectedAfter time.Duration
	readTimeout   time.Duration
	// maxExtra is the number of requests that may follow a failed one.
	maxExtra int

	// backoff is the pause before the next request after a rejection by discovery; 0: discovery has rejected none since
	// the last list.
	backoff time.Duration
	// rng draws the jitter of pauses. Its seed differs between nodes.
	rng rand.PCG

	// requests tracks the goroutines of requests in flight.
	requests sync.WaitGroup
	// lastBytes is the time at which bytes of a response last arrived; nil: none have.
	lastBytes atomic.Pointer[time.Time]
}

// NewEndpointWatcher returns a watcher that requests the changes since version, or first the complete list if version
// is negative. A nil dial dials TCP.
func NewEndpointWatcher(addr string, names protocol.NameIndex, version int64, dial Dialer,
	log *slog.Logger) *EndpointWatcher {
	connect := func(ctx context.Context, _, addr string) (net.Conn, error) {
		ctx, stop := context.WithTimeout(ctx, watchConnectTimeout)
		defer stop()
		conn, err := dial.dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return &upstreamConn{Conn: conn, log: newConnLog(log, "discovery", addr, func() {})}, nil
	}
	// A parallel request needs its own client: a shared http.Transport may assign a connection that becomes idle, or a new
	// one, to a request that is being cancelled.
	newClient := func(once bool) *http.Client {
		return &http.Client{
			Transport:     &http.Transport{DialContext: connect, DisableCompression: true, DisableKeepAlives: once},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	return &EndpointWatcher{
		addr:              addr,
		names:             names,
		version:           version,
		client:            newClient(false),
		newParallelClient: func() *http.Client { return newClient(true) },
		wait:              defaultPollWait,
		lateAfter:         pollLateAfter,
		parallelAfter:     parallelPollAfter,
		rejectedAfter:     rejectedPollAfter,
		readTimeout:       pollReadTimeout,
		maxExtra:          maxExtraPolls,
	}
}

// ForFleetSize sets the duration for which discovery may hold a request from the number of nodes that poll it, and
// returns the watcher. The seed must differ between nodes, so that their pauses differ.
func (w *EndpointWatcher) ForFleetSize(nodes int, seed uint64) *EndpointWatcher {
	w.wait = min(time.Duration(max(nodes, 1))*pollWaitPerNode, maxPollWait)
	w.rng.Seed(seed, 0)
	return w
}

// Watch implements routing.Watcher. It sends the next poll as soon as one has returned a list. It calls onList from the
// calling goroutine. It returns an error once all requests of a poll have failed, after closing its connections.
func (w *EndpointWatcher) Watch(ctx context.Context, onList func(routing.EndpointList)) error {
	defer func() {
		w.requests.Wait()               // http.Transport keeps dialing for a request until that notices its cancellation
		w.client.CloseIdleConnections() // also ends dialing for requests that were cancelled
	}()
	hold := min(w.wait, defaultPollWait) // a change may be due at the first request already
	for {
		group, version, err := w.poll(ctx, hold)
		if !errors.Is(err, routing.ErrDiscoveryRejected) {
			w.backoff = 0 // there is a list, or the router pauses before the next watch
		}
		if err != nil {
			return err
		}
		w.version = version
		onList(group)
		hold = w.wait
	}
}

// jitter returns a random duration between 3/4 and 5/4 of d.
func (w *EndpointWatcher) jitter(d time.Duration) time.Duration {
	lowest := d * 3 / 4
	spread := uint64(d/2 + 1)
	return lowest + time.Duration(w.rng.Uint64()%spread)
}

// pollResult is the result of one request to discovery.
type pollResult struct {
	sinceVersion int64 // the version in the request; negative: it asked for the complete list
	data         []byte
	err          error
}

// pollOnce sends one request for the changes since a version, or for the complete list if that is negative.
func (w *EndpointWatcher) pollOnce(ctx context.Context, client *http.Client, sinceVersion int64,
	wait time.Duration) pollResult {
	if client != w.client {
		defer client.CloseIdleConnections()
	}
	data, err := w.fetch(ctx, client, sinceVersion, wait)
	if err != nil {
		err = fmt.Errorf("upstream group: %w", err)
	}
	return pollResult{sinceVersion, data, err}
}

// fetch sends one request and returns the body of the response.
func (w *EndpointWatcher) fetch(ctx context.Context, client *http.Client, sinceVersion int64,
	wait time.Duration) ([]byte, error) {
	ctx, stop := context.WithTimeout(ctx, wait+w.readTimeout)
	defer stop()
	u := url.URL{Scheme: "http", Host: w.addr, Path: protocol.PathEndpoints}
	if sinceVersion >= 0 {
		u.RawQuery = "after=" + strconv.FormatInt(sinceVersion, 10) +
			"&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", routing.ErrDiscoveryRejected, resp.StatusCode)
	}
	body := timestampReader{resp.Body, &w.lastBytes}
	data, err := io.ReadAll(io.LimitReader(body, maxListBytes+1))
	if err == nil && len(data) > maxListBytes {
		err = fmt.Errorf("endpoint list: longer than %d bytes", maxListBytes)
	}
	return data, err
}

// timestampReader records the time of the last read that returned bytes.
type timestampReader struct {
	io.Reader
	at *atomic.Pointer[time.Time] // time of that read; holds nil if there was none
}

// Read implements io.Reader.
func (r timestampReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		now := time.Now()
		r.at.Store(&now)
	}
	return n, err
}
