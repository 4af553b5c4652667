package transport

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"syscall"
	"time"

	"olivebridge/internal/routing"
)

const (
	// reuseDelay is how long a connection rests before it carries another attempt. A second response is known to come
	// some milliseconds late: it is there by then, and shows, and would else be served to whoever is next.
	reuseDelay = 10 * time.Millisecond
	// shortageLogInterval is how often at most the log tells that connections cannot be opened.
	shortageLogInterval = time.Second
	// sweepsPerIdleTimeout is how often idle connections are swept within their idle timeout.
	sweepsPerIdleTimeout = 8
)

// errConnLimit says that this node may open no further connection, for want of descriptors or as it ends.
var errConnLimit = errors.New("no room for a connection")

// upstreamPool holds the connections to servers. The one in http.Transport gives a connection out again before it
// looks for bytes behind the response, and takes these for the next response.
//
// Connections belong to a server, not to its address: one to a server that has left the upstream group must not
// carry an attempt for its successor at that address.
type upstreamPool struct {
	reuseDelay time.Duration
	log        *slog.Logger
	dial       Dialer

	mu sync.Mutex
	// connectTimeout is how long a connection may take to come up.
	connectTimeout time.Duration
	// idleTimeout is how long a connection may be idle.
	idleTimeout time.Duration
	// maxConns bounds open.
	maxConns int
	// open counts the connections, those being opened included.
	open int
	// idle are the idle connections, the longest idle first. The sweep drops empty lists.
	idle map[*routing.Upstream][]*upstreamConn
	// sweeper is the sweep that is due; nil: none is.
	sweeper *time.Timer
	// closed: no connection is opened or kept any more.
	closed bool
	// lastShortageLog is when the last line of noteLocalShortage was written.
	lastShortageLog time.Time
}

// configure changes the limits, which hold from the next connection on.
func (p *upstreamPool) configure(connectTimeout, idleTimeout time.Duration, maxConns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectTimeout = connectTimeout
	p.idleTimeout = idleTimeout
	p.maxConns = maxConns
}

// get returns an idle connection, or a new one, which must be up by until.
func (p *upstreamPool) get(ctx context.Context, server *routing.Upstream, until time.Time) (*upstreamConn, error) {
	for c := p.take(server); c != nil; c = p.take(server) {
		reason := c.staleReason()
		if reason == reasonNone {
			return c, nil
		}
		c.closeFor(reason)
	}
	for {
		c, err := p.connect(ctx, server, until)
		if err == nil || ctx.Err() != nil || !isLocalShortage(err) || !p.evict() {
			return c, err
		}
	}
}

// connect opens a new connection.
func (p *upstreamPool) connect(ctx context.Context, server *routing.Upstream, until time.Time) (*upstreamConn, error) {
	timeout, ok := p.reserveConn()
	if !ok {
		return nil, errConnLimit
	}
	ctx, stop := context.WithTimeout(ctx, min(timeout, time.Until(until)))
	defer stop()
	conn, err := p.dial.dial(ctx, server.Addr)
	if err != nil {
		p.releaseConn()
		return nil, err
	}
	return &upstreamConn{Conn: conn, server: server, log: newConnLog(p.log, "peer", server.Addr, p.releaseConn)}, nil
}

// take takes the last used idle connection to a server that has settled, and has not been idle for too long; nil if
// there is none. The sweep may be late for that, or still go by the timeout before a reload.
func (p *upstreamPool) take(server *routing.Upstream) *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[server]
	now := time.Now()
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		idle := now.Sub(c.idleSince)
		if idle >= p.reuseDelay && idle < p.idleTimeout {
			p.idle[server] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// put takes a connection back that carries nothing any more.
func (p *upstreamPool) put(c *upstreamConn) {
	if !p.putIdle(c) {
		c.closeFor(reasonIdle)
	}
}

// putIdle keeps an idle connection, and reports whether the pool still does so.
func (p *upstreamPool) putIdle(c *upstreamConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	c.idleSince = time.Now()
	p.idle[c.server] = append(p.idle[c.server], c)
	if p.sweeper == nil {
		p.scheduleSweep()
	}
	return true
}

// reserveConn counts a connection to be opened and says how long that may take. At the limit an idle one makes room.
func (p *upstreamPool) reserveConn() (timeout time.Duration, ok bool) {
	for {
		p.mu.Lock()
		full := p.open >= p.maxConns
		closed := p.closed
		if !full && !closed {
			p.open++
		}
		timeout = p.connectTimeout
		p.mu.Unlock()
		if !full || closed {
			return timeout, !closed
		}
		if !p.evict() {
			return 0, false
		}
	}
}

// releaseConn counts a connection that has ended.
func (p *upstreamPool) releaseConn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// count is how many connections there are, those being opened included.
func (p *upstreamPool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// evict closes the connection that has been idle for the longest, to whichever server, and reports whether there
// was one: a further handshake costs less than a failed attempt.
func (p *upstreamPool) evict() bool {
	p.mu.Lock()
	var oldest *upstreamConn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
			oldest = list[0]
		}
	}
	if oldest != nil {
		p.idle[oldest.server] = slices.Delete(p.idle[oldest.server], 0, 1)
	}
	p.mu.Unlock()
	if oldest == nil {
		return false
	}
	oldest.closeFor(reasonIdle)
	return true
}

// scheduleSweep has the pool swept. The lock is held.
func (p *upstreamPool) scheduleSweep() {
	p.sweeper = time.AfterFunc(p.idleTimeout/sweepsPerIdleTimeout, p.sweep)
}

// sweep closes connections that have been idle for too long, or were closed by their server, as long as any is idle.
func (p *upstreamPool) sweep() {
	p.closeMatching(func(c *upstreamConn) closeReason { // the lock is held
		if reason := c.staleReason(); reason != reasonNone || time.Since(c.idleSince) < p.idleTimeout {
			return reason
		}
		return reasonIdle
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweeper = nil
	if len(p.idle) > 0 {
		p.scheduleSweep()
	}
}

// close closes the idle connections, and from then on whatever is put back.
func (p *upstreamPool) close() {
	p.mu.Lock()
	p.closed = true
	if p.sweeper != nil {
		p.sweeper.Stop()
	}
	p.mu.Unlock()
	p.closeMatching(func(*upstreamConn) closeReason { return reasonIdle })
}

// closeMatching closes each idle connection for which match gives a reason. It calls match under the lock.
func (p *upstreamPool) closeMatching(match func(*upstreamConn) closeReason) {
	ended := map[*upstreamConn]closeReason{}
	p.mu.Lock()
	for server, list := range p.idle {
		list = slices.DeleteFunc(list, func(c *upstreamConn) bool {
			reason := match(c)
			if reason != reasonNone {
				ended[c] = reason
			}
			return reason != reasonNone
		})
		p.idle[server] = list
		if len(list) == 0 {
			delete(p.idle, server)
		}
	}
	p.mu.Unlock()
	for c, reason := range ended {
		c.closeFor(reason)
	}
}

// isLocalShortage reports whether this node is why there is no connection, and not the server: descriptors, ports or
// memory are short.
func isLocalShortage(err error) bool {
	for _, errno := range [...]syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL,
		syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return errors.Is(err, errConnLimit)
}

// noteLocalShortage reports whether an error is a shortage of this node, and logs it. It guards sound servers, all of
// which would seem to fail together.
func (p *upstreamPool) noteLocalShortage(err error, now time.Time) bool {
	if !isLocalShortage(err) {
		return false
	}
	p.mu.Lock()
	due := !p.closed && now.Sub(p.lastShortageLog) >= shortageLogInterval
	if due {
		p.lastShortageLog = now
	}
	p.mu.Unlock()
	if due {
		p.log.Warn("no connection to peers", "reason", err.Error())
	}
	return true
}
