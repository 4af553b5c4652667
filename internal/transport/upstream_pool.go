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
	// reuseDelay is the minimum time for which a connection is idle before it carries another attempt. Faulty servers send
	// a second response some milliseconds after the first. After this delay its bytes have arrived and are detected;
	// without the delay they would be returned to the next request.
	reuseDelay = 10 * time.Millisecond
	// shortageLogInterval is the minimum interval between log lines about connections that cannot be opened.
	shortageLogInterval = time.Second
	// sweepsPerIdleTimeout is the number of sweeps of idle connections within one idle timeout.
	sweepsPerIdleTimeout = 8
)

// errConnLimit reports that this node may open no further connection: the limit set by its file descriptors is reached,
// or the pool is closed.
var errConnLimit = errors.New("connection limit reached or pool closed")

// upstreamPool holds the connections to servers. The pool of http.Transport is not used, since it reuses a connection
// before it checks for bytes after the response, and would treat these as the next response.
//
// Connections belong to a server, not to its address: a connection to a server that has left the upstream group must
// not carry an attempt for its successor at the same address.
type upstreamPool struct {
	reuseDelay time.Duration
	log        *slog.Logger
	dial       Dialer

	mu sync.Mutex
	// connectTimeout limits the time to open a connection.
	connectTimeout time.Duration
	// idleTimeout limits the time for which a connection is idle.
	idleTimeout time.Duration
	// maxConns limits open.
	maxConns int
	// open is the number of connections, including those being opened.
	open int
	// idle holds the idle connections of each server, the longest idle first. A sweep removes empty lists.
	idle map[*routing.Upstream][]*upstreamConn
	// sweeper is the timer of the next sweep; nil: none is scheduled.
	sweeper *time.Timer
	// closed is true once no connection is opened or kept any more.
	closed bool
	// lastShortageLog is the time of the last log line of logLocalShortage.
	lastShortageLog time.Time
}

// configure changes the limits. They apply from the next connection on.
func (p *upstreamPool) configure(connectTimeout, idleTimeout time.Duration, maxConns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectTimeout = connectTimeout
	p.idleTimeout = idleTimeout
	p.maxConns = maxConns
}

// get returns an idle connection, or a new one if there is none. The deadline applies to establishing a new one.
func (p *upstreamPool) get(ctx context.Context, server *routing.Upstream, deadline time.Time) (*upstreamConn, error) {
	for c := p.takeIdle(server); c != nil; c = p.takeIdle(server) {
		reason := c.staleReason()
		if reason == reasonNone {
			return c, nil
		}
		c.closeFor(reason)
	}
	for {
		c, err := p.connect(ctx, server, deadline)
		if err == nil || ctx.Err() != nil || !isLocalShortage(err) || !p.evict() {
			return c, err
		}
	}
}

// connect opens a new connection.
func (p *upstreamPool) connect(ctx context.Context, server *routing.Upstream,
	deadline time.Time) (*upstreamConn, error) {
	timeout, ok := p.reserveConn()
	if !ok {
		return nil, errConnLimit
	}
	ctx, stop := context.WithTimeout(ctx, min(timeout, time.Until(deadline)))
	defer stop()
	conn, err := p.dial.dial(ctx, server.Addr)
	if err != nil {
		p.releaseConn()
		return nil, err
	}
	return &upstreamConn{Conn: conn, server: server, log: newConnLog(p.log, "peer", server.Addr, p.releaseConn)}, nil
}

// takeIdle removes and returns the most recently used idle connection to a server that has been idle for at least
// reuseDelay and less than idleTimeout; nil if there is none. It checks the timeout itself, since a sweep may be late
// or may still be scheduled by the timeout before a reload.
func (p *upstreamPool) takeIdle(server *routing.Upstream) *upstreamConn {
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

// put returns to the pool a connection that carries no attempt any more. A closed pool closes it.
func (p *upstreamPool) put(c *upstreamConn) {
	if !p.putIdle(c) {
		c.closeFor(reasonIdle)
	}
}

// putIdle adds c to the idle connections, and reports false if the pool is closed.
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

// reserveConn counts a connection to be opened, and returns the time limit for opening it. At the limit of connections
// it evicts an idle connection first; ok is false if there is none or the pool is closed.
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

// releaseConn removes a connection that has ended, or could not be opened, from the number of open connections.
func (p *upstreamPool) releaseConn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// count returns the number of connections, including those being opened.
func (p *upstreamPool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// evict closes the connection that has been idle for the longest time, to any server, and reports whether there was
// one. Another handshake costs less than a failed attempt.
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

// scheduleSweep schedules the next sweep. The caller holds mu.
func (p *upstreamPool) scheduleSweep() {
	p.sweeper = time.AfterFunc(p.idleTimeout/sweepsPerIdleTimeout, p.sweep)
}

// sweep closes idle connections that have exceeded the idle timeout or were closed by their server. It schedules the
// next sweep as long as any connection is idle.
func (p *upstreamPool) sweep() {
	p.closeMatching(func(c *upstreamConn) closeReason { // called with mu held
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

// close closes the idle connections. Connections returned to the pool afterwards are closed as well.
func (p *upstreamPool) close() {
	p.mu.Lock()
	p.closed = true
	if p.sweeper != nil {
		p.sweeper.Stop()
	}
	p.mu.Unlock()
	p.closeMatching(func(*upstreamConn) closeReason { return reasonIdle })
}

// closeMatching closes each idle connection for which match returns a reason. It calls match with mu held.
func (p *upstreamPool) closeMatching(match func(*upstreamConn) closeReason) {
	reasons := map[*upstreamConn]closeReason{}
	p.mu.Lock()
	for server, list := range p.idle {
		list = slices.DeleteFunc(list, func(c *upstreamConn) bool {
			reason := match(c)
			if reason != reasonNone {
				reasons[c] = reason
			}
			return reason != reasonNone
		})
		p.idle[server] = list
		if len(list) == 0 {
			delete(p.idle, server)
		}
	}
	p.mu.Unlock()
	for c, reason := range reasons {
		c.closeFor(reason)
	}
}

// isLocalShortage reports whether a connection failed because of this node, not of the server: file descriptors, ports
// or memory are exhausted, or the connection limit is reached.
func isLocalShortage(err error) bool {
	for _, errno := range [...]syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL,
		syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return errors.Is(err, errConnLimit)
}

// logLocalShortage reports whether err is a shortage of this node, and logs it. Without this distinction all healthy
// servers would seem to fail at once.
func (p *upstreamPool) logLocalShortage(err error, now time.Time) bool {
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
