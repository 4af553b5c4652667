package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

const (
	// watchWait is how long discovery may hold a call. What it tells a machine
	// that hears nothing counts as told 2 s after that, so it stays short.
	watchWait = 2 * time.Second
	// watchSlack is how much later an answer may come.
	watchSlack = time.Second
	// watchAgain is how many calls in a row may break before the watch ends.
	watchAgain = 3
	// maxList bounds a list's bytes.
	maxList = 8 << 20
)

// watchConnect is how long a connection to discovery may take to come up.
const watchConnect = time.Second

// Watch follows the upstream group at discovery. One Watch call runs at a time.
type Watch struct {
	addr    string
	names   protocol.Names
	client  *http.Client
	version int64 // of the list held; -1: none
	wait    time.Duration
	slack   time.Duration
	again   int // calls in a row that may break
}

// NewWatch makes a watch that goes on from a known version, or from none if
// that is negative. A nil dialer dials TCP.
func NewWatch(addr string, names protocol.Names, version int64, dial Dialer, log *slog.Logger) *Watch {
	connect := func(ctx context.Context, _, addr string) (net.Conn, error) {
		ctx, stop := context.WithTimeout(ctx, watchConnect)
		defer stop()
		conn, err := dial.dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return &peerConn{Conn: conn, life: newLife(log, "discovery", addr, func() {})}, nil
	}
	client := &http.Client{
		Transport:     &http.Transport{DialContext: connect, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Watch{addr: addr, names: names, client: client, version: version,
		wait: watchWait, slack: watchSlack, again: watchAgain}
}

// errRefused is an answer of discovery's that it made on purpose.
var errRefused = errors.New("refused")

// Watch implements routing.Watcher: each call follows the last answer at once.
// A call that never came back, or broke, is asked again at once, on a new
// connection, for what it should have told counts as told. One broken call too
// many in a row, or one that discovery refused, ends the watch, and its
// connections with it.
func (w *Watch) Watch(ctx context.Context, told func(routing.Group)) error {
	defer w.client.CloseIdleConnections() // and what is still dialed, for a call that was given up
	broken := 0
	for {
		g, version, err := w.call(ctx)
		if err != nil && broken < w.again && ctx.Err() == nil && !errors.Is(err, errRefused) && !errors.Is(err, syscall.ECONNREFUSED) {
			broken++
			continue
		}
		if err != nil {
			return err
		}
		broken = 0
		w.version = version
		told(g)
	}
}

// call asks once: for what is newer than the version held, or for the whole list.
func (w *Watch) call(ctx context.Context) (g routing.Group, version int64, err error) {
	ctx, stop := context.WithTimeout(ctx, w.wait+w.slack)
	defer stop()
	u := url.URL{Scheme: "http", Host: w.addr, Path: protocol.PathGroup}
	if w.version >= 0 {
		u.RawQuery = "after=" + strconv.FormatInt(w.version, 10) +
			"&wait_ms=" + strconv.FormatInt(w.wait.Milliseconds(), 10)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return g, 0, fmt.Errorf("upstream group: %w", err)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return g, 0, fmt.Errorf("upstream group: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	switch {
	case err != nil:
		return g, 0, fmt.Errorf("upstream group: %w", err)
	case resp.StatusCode != http.StatusOK:
		return g, 0, fmt.Errorf("upstream group: %w: status %d", errRefused, resp.StatusCode)
	}
	g, version, err = w.names.ParseGroup(data)
	g.At = time.Now()
	return g, version, err
}
