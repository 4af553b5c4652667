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
	// defaultPollWait is how long discovery may hold a request. A request that has fallen silent tells nothing until
	// then, and a change counts as known to the node 2 s after it was due, so the hold stays short.
	defaultPollWait = 800 * time.Millisecond
	// pollWaitPerNode is the time between two requests of all nodes together: discovery serves them one at a time,
	// needs up to 0.35 s for each, and refuses what is more.
	pollWaitPerNode = 400 * time.Millisecond
	// maxPollWait is the longest hold, however many nodes there are.
	maxPollWait = 2400 * time.Millisecond
	// pollLateAfter is how much later an answer may come before another request is sent beside it, and after how long a
	// refused one is repeated, the first time.
	pollLateAfter = 200 * time.Millisecond
	// maxPollBackoff is the longest pause once a request was refused: pauses double up to this, and go on in the next
	// watch. Many nodes would keep discovery crowded with shorter ones; five of these fit into the time in which a change
	// is due.
	maxPollBackoff = 850 * time.Millisecond
	// parallelPollAfter is how long a request that is not held may take before yet another is sent.
	parallelPollAfter = 450 * time.Millisecond
	// rejectedPollAfter is how long a request may take once discovery has refused one before another is sent beside it.
	// A discovery with more requests than it can serve lets one wait for up to 2 s, and refuses it along with the next
	// that its node sends meanwhile, so that a node that polls often would never be served.
	rejectedPollAfter = 2200 * time.Millisecond
	// pollReadTimeout is how much later than its hold the end of an answer may come. Other requests are sent long
	// before; it is for answers that trickle, and leaves more than half of the time in which a change is due.
	pollReadTimeout = 2400 * time.Millisecond
	// maxExtraPolls is how many requests may follow one that brings nothing before the watch ends. After a rejection the
	// next watch starts with the backoff that was due.
	maxExtraPolls = 12
	// minPollRetryPause is the pause before a broken request is repeated, from the second in a row on; it doubles up
	// to pollLateAfter. Without it all requests might break in one moment of a fault, which would end the watch.
	minPollRetryPause = 25 * time.Millisecond
	// watchConnectTimeout is how long a connection to discovery may take to come up.
	watchConnectTimeout = time.Second
	// maxListBytes bounds the bytes of an endpoint list.
	maxListBytes = 8 << 20
)

// MaxWatchRequests is how many requests a watch has in flight at most, each on a connection of its own.
const MaxWatchRequests = 1 + maxExtraPolls

// EndpointWatcher follows the endpoint list at the discovery service by long polls. It implements routing.Watcher. One
// Watch runs at a time.
type EndpointWatcher struct {
	addr  string
	names protocol.NameIndex
	// version is that of the list held; -1: none is.
	version int64

	// client sends one request at a time, on a kept connection.
	client *http.Client
	// newParallelClient makes a client for a request beside that one, which has its connection to itself.
	newParallelClient func() *http.Client

	// The times of polls; see the constants.

	wait          time.Duration
	lateAfter     time.Duration
	parallelAfter time.Duration
	rejectedAfter time.Duration
	readTimeout   time.Duration
	// maxExtra is how many requests may follow one that brings nothing.
	maxExtra int

	// backoff is the pause before the next request, where discovery has refused one since it last told a list; 0: it has
	// not.
	backoff time.Duration
	// rng draws the jitter of pauses, each node's its own.
	rng rand.PCG

	// requests waits for those in flight.
	requests sync.WaitGroup
	// lastBytes is when bytes of an answer last came, in Unix nanoseconds.
	lastBytes atomic.Int64
}

// NewEndpointWatcher makes a watcher that goes on from a known version, or from none if that is negative. A nil dialer
// dials TCP.
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
	// http.Transport may give a connection that falls idle, or one that comes up, to a request that is being given up.
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

// ForFleetSize sets how long discovery may hold a request by how many nodes poll it, and returns the watcher. The
// seed, another one at each of them, keeps their pauses apart.
func (w *EndpointWatcher) ForFleetSize(nodes int, seed uint64) *EndpointWatcher {
	w.wait = min(time.Duration(max(nodes, 1))*pollWaitPerNode, maxPollWait)
	w.rng.Seed(seed, 0)
	return w
}

// Watch implements routing.Watcher: each answer is followed at once by the next poll. It calls onList from its own
// goroutine. It returns an error once no request of a poll has brought a list, and closes its connections then.
func (w *EndpointWatcher) Watch(ctx context.Context, onList func(routing.EndpointList)) error {
	defer func() {
		w.requests.Wait()               // http.Transport goes on dialing for a request that has not noticed its end
		w.client.CloseIdleConnections() // and what is still dialed, for a request that was given up
	}()
	hold := min(w.wait, defaultPollWait) // a change may be due by the first
	for {
		group, version, err := w.poll(ctx, hold)
		if !errors.Is(err, routing.ErrDiscoveryRejected) {
			w.backoff = 0 // a list has come, or the balancer waits before the next watch
		}
		if err != nil {
			return err
		}
		w.version = version
		onList(group)
		hold = w.wait
	}
}

// jitter spreads d over three quarters to five quarters of itself.
func (w *EndpointWatcher) jitter(d time.Duration) time.Duration {
	lowest := d * 3 / 4
	spread := uint64(d/2 + 1)
	return lowest + time.Duration(w.rng.Uint64()%spread)
}

// pollResult is what one request to discovery brought.
type pollResult struct {
	since int64 // the version it asked from
	data  []byte
	err   error
}

// pollOnce sends one request: for what is newer than a version, or for the complete list.
func (w *EndpointWatcher) pollOnce(ctx context.Context, client *http.Client, since int64,
	wait time.Duration) pollResult {
	if client != w.client {
		defer client.CloseIdleConnections()
	}
	data, err := w.fetch(ctx, client, since, wait)
	if err != nil {
		err = fmt.Errorf("upstream group: %w", err)
	}
	return pollResult{since, data, err}
}

// fetch sends one request and reads the bytes of its answer.
func (w *EndpointWatcher) fetch(ctx context.Context, client *http.Client, since int64,
	wait time.Duration) ([]byte, error) {
	ctx, stop := context.WithTimeout(ctx, wait+w.readTimeout)
	defer stop()
	u := url.URL{Scheme: "http", Host: w.addr, Path: protocol.PathEndpoints}
	if since >= 0 {
		u.RawQuery = "after=" + strconv.FormatInt(since, 10) +
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
		err = fmt.Errorf("a list longer than %d bytes", maxListBytes)
	}
	return data, err
}

// timestampReader notes when something is read.
type timestampReader struct {
	io.Reader
	at *atomic.Int64 // in Unix nanoseconds
}

// Read implements io.Reader.
func (r timestampReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.at.Store(time.Now().UnixNano())
	}
	return n, err
}
