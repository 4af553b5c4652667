package transport

import (
	"cmp"
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
	"syscall"
	"time"

	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

const (
	// watchWait is how long discovery may hold a call. A call that has fallen
	// silent tells nothing until then, and what it should have told counts as
	// told 2 s after that, so it stays short.
	watchWait = 800 * time.Millisecond
	// watchEach is how often all nodes together may call: discovery serves them in turn, and has
	// been seen to need 0.35 s for each call and to refuse what is more.
	watchEach = 400 * time.Millisecond
	// watchMost is the longest hold, however many nodes there are.
	watchMost = 2400 * time.Millisecond
	// watchLate is how much later an answer may come before another call goes out beside it,
	// and after how long a refused one is made again, the first time.
	watchLate = 200 * time.Millisecond
	// watchPause is the longest pause once a call was refused: pauses double up to this, and go on in the next watch. Many
	// nodes would keep discovery crowded with shorter ones; five of these fit into the time in which a change is due.
	watchPause = 850 * time.Millisecond
	// watchBeside is how long a call that must not wait may take before yet another goes out.
	watchBeside = 450 * time.Millisecond
	// watchTurn is how long a call may take once discovery has refused one before another goes out beside it. It has
	// more calls than it can serve, and takes them in turn: it has been seen to let one wait for 2 s, and to refuse that
	// one along with the next that its node sends meanwhile, so that no node that asks often is ever served.
	watchTurn = 2200 * time.Millisecond
	// watchSlack is how much later than its wait the end of an answer may come. Others go out beside the call long
	// before; it is for answers that trickle, and leaves more than half of the time in which a change is due.
	watchSlack = 2400 * time.Millisecond
	// watchAgain is how many calls may follow one that brings nothing before the watch ends. One that discovery has refused
	// a call of is begun again behind the pause that was due.
	watchAgain = 12
	// WatchCalls is how many calls a watch has in hand at most, each on a connection of its own.
	MaxWatchRequests = 1 + watchAgain
	// watchSpread is the pause before a broken call is made once more, from the second in a row on; it doubles up
	// to watchLate. Calls that all break in one moment of trouble would end the watch, and what discovery tells
	// meanwhile counts as told.
	watchSpread = 25 * time.Millisecond
	// maxList bounds a list's bytes.
	maxList = 8 << 20
)

// watchConnect is how long a connection to discovery may take to come up.
const watchConnect = time.Second

// Watch follows the upstream group at discovery. One Watch call runs at a time.
type EndpointWatcher struct {
	addr    string
	names   protocol.NameIndex
	client  *http.Client        // for one call at a time
	other   func() *http.Client // for each one beside it, which has its connection to itself
	version int64               // of the list held; -1: none
	wait    time.Duration
	late    time.Duration
	beside  time.Duration
	turn    time.Duration
	slack   time.Duration
	again   int           // calls that may follow one that brings nothing
	pause   time.Duration // before the next call, where discovery has refused one since it last told a list; 0: it has not
	rng     rand.PCG      // draws pauses, each node's its own

	calls sync.WaitGroup // in hand
	heard atomic.Int64   // when bytes of an answer last came, in Unix nanoseconds
}

// NewWatch makes a watch that goes on from a known version, or from none if
// that is negative. A nil dialer dials TCP.
func NewEndpointWatcher(addr string, names protocol.NameIndex, version int64, dial Dialer, log *slog.Logger) *EndpointWatcher {
	connect := func(ctx context.Context, _, addr string) (net.Conn, error) {
		ctx, stop := context.WithTimeout(ctx, watchConnect)
		defer stop()
		conn, err := dial.dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return &peerConn{Conn: conn, life: newLife(log, "discovery", addr, func() {})}, nil
	}
	// http.Transport may give a connection that falls idle, or one that comes up, to a call that is being given up
	client := func(once bool) *http.Client {
		return &http.Client{
			Transport:     &http.Transport{DialContext: connect, DisableCompression: true, DisableKeepAlives: once},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	return &EndpointWatcher{addr: addr, names: names, client: client(false), version: version,
		other: func() *http.Client { return client(true) },
		wait:  watchWait, late: watchLate, beside: watchBeside, turn: watchTurn, slack: watchSlack, again: watchAgain}
}

// Among sets how long discovery may hold a call by how many nodes ask it, and returns the watch. The seed, another
// one at each of them, keeps their pauses apart.
func (w *EndpointWatcher) ForFleetSize(nodes int, seed uint64) *EndpointWatcher {
	w.wait = min(time.Duration(max(nodes, 1))*watchEach, watchMost)
	w.rng.Seed(seed, 0)
	return w
}

// errOlder is a list that was asked for what is newer than it.
var errOlder = errors.New("older than the one held")

// errSilent ends a watch none of whose calls has brought anything yet.
var errSilent = errors.New("upstream group: no answer")

// Watch implements routing.Watcher: each answer is followed at once by the next
// question. One that no call brought an answer to ends the watch, and its
// connections with it.
func (w *EndpointWatcher) Watch(ctx context.Context, told func(routing.EndpointList)) error {
	defer func() {
		w.calls.Wait()                  // http.Transport goes on dialing for a call that has not noticed its end
		w.client.CloseIdleConnections() // and what is still dialed, for a call that was given up
	}()
	for hold := min(w.wait, watchWait); ; hold = w.wait { // news may be due by the first
		g, version, err := w.ask(ctx, hold)
		if !errors.Is(err, routing.ErrDiscoveryRejected) {
			w.pause = 0 // a list has come, or the decisions pause
		}
		if err != nil {
			return err
		}
		w.version = version
		told(g)
	}
}

// outcome is what one call to discovery brought: an answer's bytes, or an error.
type outcome struct {
	since int64 // the version it asked from
	data  []byte
	err   error
}

// ask puts one question to discovery, in as many calls as it takes: what it
// should have told counts as told. A call that broke is made again at once, on
// a new connection; one that discovery refused, which may have too many in
// hand, after a pause. One that is late gets others beside it, which need not
// wait, since a connection fallen silent never tells. Once discovery has refused one, its pauses are those
// behind all that bring nothing, and the only ones. The first good answer counts,
// but none of an older version: whether discovery has gone back, or that answer
// alone is stale, its whole list tells. After trouble no call is held for long.
func (w *EndpointWatcher) ask(ctx context.Context, hold time.Duration) (g routing.EndpointList, version int64, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	came := make(chan outcome, w.again+1)
	first := w.jitter(w.pause)
	next := time.NewTimer(first)
	defer next.Stop()
	begun, out, since, broke := 0, 0, w.version, time.Duration(0) // broke: the next pause after a call that broke
	due := time.Now().Add(first)                                  // the next call
	var refusal error
	plan := func(in time.Duration) {
		due = time.Now().Add(in)
		next.Reset(in)
	}
	err = errSilent
	for {
		select {
		case <-ctx.Done():
			return g, version, ctx.Err()
		case <-next.C:
			if begun > w.again && time.Since(time.Unix(0, w.heard.Load())) > w.beside {
				return g, version, cmp.Or(refusal, err) // silence may last, and what is news by now is due soon
			}
			if begun > w.again { // an answer is coming
				plan(w.beside)
				continue
			}
			client, wait, late := w.client, hold, hold+w.late
			if out > 0 {
				client, wait, late = w.other(), 0, w.beside
			}
			begun, out = begun+1, out+1
			if w.pause > 0 && (begun <= w.again || refusal != nil) { // else the decisions' pause follows the last one
				late = max(late, w.turn)
			}
			plan(late)
			w.calls.Go(func() { came <- w.call(ctx, client, since, wait) })
		case o := <-came:
			out--
			g, version, err = w.list(o)
			if errors.Is(err, errOlder) {
				since = -1
			}
			hold = min(hold, watchWait)
			if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
				return g, version, err
			}
			refused := errors.Is(err, routing.ErrDiscoveryRejected)
			if refused {
				refusal, w.pause = err, max(w.pause, w.late)
			}
			if begun > w.again && out == 0 {
				return g, version, cmp.Or(refusal, err)
			}
			pause, most := &broke, w.late // a call may get through trouble that breaks most of them
			if w.pause > 0 {
				pause, most = &w.pause, watchPause
			}
			in := w.jitter(*pause)
			switch {
			case begun > w.again:
			case refused && out > 0: // the one in hand may have its turn
				plan(w.turn)
			case out == 0 || in < time.Until(due):
				plan(in)
			}
			*pause = min(max(2**pause, watchSpread), most)
		}
	}
}

// list reads what a call brought.
func (w *EndpointWatcher) list(o outcome) (g routing.EndpointList, version int64, err error) {
	if o.err != nil {
		return g, 0, o.err
	}
	g, version, err = w.names.ParseEndpoints(o.data)
	g.ReceivedAt, g.Version = time.Now(), version
	if err == nil && version < o.since {
		err = fmt.Errorf("upstream group: %w: version %d after %d", errOlder, version, o.since)
	}
	return g, version, err
}

// jitter spreads d over three quarters to five quarters of itself.
func (w *EndpointWatcher) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(w.rng.Uint64()%uint64(d/2+1))
}

// call asks once: for what is newer than the version held, or for the whole list.
func (w *EndpointWatcher) call(ctx context.Context, client *http.Client, since int64, wait time.Duration) outcome {
	if client != w.client {
		defer client.CloseIdleConnections()
	}
	data, err := w.fetch(ctx, client, since, wait)
	if err != nil {
		err = fmt.Errorf("upstream group: %w", err)
	}
	return outcome{since, data, err}
}

func (w *EndpointWatcher) fetch(ctx context.Context, client *http.Client, since int64, wait time.Duration) ([]byte, error) {
	ctx, stop := context.WithTimeout(ctx, wait+w.slack)
	defer stop()
	u := url.URL{Scheme: "http", Host: w.addr, Path: protocol.PathEndpoints}
	if since >= 0 {
		u.RawQuery = "after=" + strconv.FormatInt(since, 10) + "&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body := noting{resp.Body, &w.heard}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", routing.ErrDiscoveryRejected, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(body, maxList+1))
	if err == nil && len(data) > maxList {
		err = fmt.Errorf("a list longer than %d bytes", maxList)
	}
	return data, err
}

// noting notes when something is read.
type noting struct {
	io.Reader
	at *atomic.Int64
}

func (n noting) Read(b []byte) (int, error) {
	got, err := n.Reader.Read(b)
	if got > 0 {
		n.at.Store(time.Now().UnixNano())
	}
	return got, err
}
