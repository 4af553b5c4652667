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

// settle is how long a connection rests before it carries another try: what
// follows behind an answer is there by then, and shows. A second answer is known
// to come some milliseconds late, and would be served to whoever is next.
const settle = 10 * time.Millisecond

// errNoRoom says that this node may open no further connection, for want of
// descriptors or as it ends.
var errNoRoom = errors.New("no room for a connection")

// pool holds the connections to peers. http.Transport has one of its own, but
// gives a connection out again before it looks for bytes behind the answer, and
// takes these for the next answer: in a probe of 20,000 tries against a peer
// that sends every answer twice, 380 calls were served with another's answer,
// and 2,167 under the race detector.
//
// Connections belong to a peer, not to its address: one to a server that has
// left the upstream group must not carry a try for its successor there.
type pool struct {
	settle time.Duration
	log    *slog.Logger
	dial   Dialer

	mu      sync.Mutex
	connect time.Duration // a connection that comes later has not come
	keep    time.Duration // how long one may lie idle
	most    int           // connections, open and being opened
	open    int
	idle    map[*routing.Upstream][]*peerConn // the longest idle first; the sweep drops lists that are empty
	sweeper *time.Timer                       // the sweep that is due; nil: none is
	closed  bool                              // none is opened or kept any more
	told    time.Time                         // when the last line of lacks was left
}

// get returns a connection that carries nothing, or a new one, which must be up by until.
func (p *pool) get(ctx context.Context, peer *routing.Upstream, until time.Time) (*peerConn, error) {
	for c := p.take(peer); c != nil; c = p.take(peer) {
		if why := c.stale(); why != "" {
			c.end(why)
			continue
		}
		return c, nil
	}
	for {
		c, err := p.connectTo(ctx, peer, until)
		if err == nil || ctx.Err() != nil || !ownLack(err) || !p.evict() {
			return c, err
		}
	}
}

// connectTo returns a new connection.
func (p *pool) connectTo(ctx context.Context, peer *routing.Upstream, until time.Time) (*peerConn, error) {
	connect, ok := p.reserve()
	if !ok {
		return nil, errNoRoom
	}
	ctx, stop := context.WithTimeout(ctx, min(connect, time.Until(until)))
	defer stop()
	conn, err := p.dial.dial(ctx, peer.Addr)
	if err != nil {
		p.release()
		return nil, err
	}
	return &peerConn{Conn: conn, peer: peer, life: newLife(p.log, "peer", peer.Addr, p.release)}, nil
}

// take takes the last used idle connection to a peer that has settled, and has
// not lain idle for too long; nil if there is none. The sweep may be late for
// that, or still go by the time before a reload.
func (p *pool) take(peer *routing.Upstream) *peerConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, now := p.idle[peer], time.Now()
	for i := len(list) - 1; i >= 0; i-- {
		if lain := now.Sub(list[i].freed); lain >= p.settle && lain < p.keep {
			c := list[i]
			p.idle[peer] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// put takes a connection back that carries nothing any more.
func (p *pool) put(c *peerConn) {
	if !p.keeps(c) {
		c.end("idle")
	}
}

func (p *pool) keeps(c *peerConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	c.freed = time.Now()
	p.idle[c.peer] = append(p.idle[c.peer], c)
	if p.sweeper == nil {
		p.sweeper = time.AfterFunc(p.keep/8, p.sweep)
	}
	return true
}

// reserve counts a connection to be opened and says how long that may take. At
// the bound an idle one makes room.
func (p *pool) reserve() (connect time.Duration, ok bool) {
	for {
		p.mu.Lock()
		full, closed := p.open >= p.most, p.closed
		if !full && !closed {
			p.open++
		}
		connect = p.connect
		p.mu.Unlock()
		if !full || closed {
			return connect, !closed
		}
		if !p.evict() {
			return 0, false
		}
	}
}

// evict ends the connection that has been idle for the longest, to whichever
// peer, and reports whether there was one: a handshake more beats a try less.
func (p *pool) evict() bool {
	p.mu.Lock()
	var oldest *peerConn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].freed.Before(oldest.freed)) {
			oldest = list[0]
		}
	}
	if oldest != nil {
		p.idle[oldest.peer] = slices.Delete(p.idle[oldest.peer], 0, 1)
	}
	p.mu.Unlock()
	if oldest == nil {
		return false
	}
	oldest.end("idle")
	return true
}

// lackEach is how often at most the log tells that connections cannot be opened.
const lackEach = time.Second

// ownLack reports whether this node is why there is no connection, and not the
// peer: descriptors, ports or memory are short.
func ownLack(err error) bool {
	for _, no := range [...]syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL,
		syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, no) {
			return true
		}
	}
	return errors.Is(err, errNoRoom)
}

// lacks reports whether it is this node's own lack, and tells it. It guards
// sound peers, all of which would seem to fail together.
func (p *pool) lacks(err error, now time.Time) bool {
	if !ownLack(err) {
		return false
	}
	p.mu.Lock()
	tell := !p.closed && now.Sub(p.told) >= lackEach
	if tell {
		p.told = now
	}
	p.mu.Unlock()
	if tell {
		p.log.Warn("no connection to peers", "reason", err.Error())
	}
	return true
}

func (p *pool) configure(connect, keep time.Duration, most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connect, p.keep, p.most = connect, keep, most
}

func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// sweep closes what has lain idle for too long, or has been ended by its peer,
// as long as any is idle.
func (p *pool) sweep() {
	p.drop(func(c *peerConn) string { // the lock is held
		if why := c.stale(); why != "" || time.Since(c.freed) < p.keep {
			return why
		}
		return "idle"
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sweeper = nil; len(p.idle) > 0 {
		p.sweeper = time.AfterFunc(p.keep/8, p.sweep)
	}
}

// close closes what is idle, and from then on whatever is put back.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	if p.sweeper != nil {
		p.sweeper.Stop()
	}
	p.mu.Unlock()
	p.drop(func(*peerConn) string { return "idle" })
}

// drop closes each idle connection for which why gives a reason.
func (p *pool) drop(why func(*peerConn) string) {
	ended := map[*peerConn]string{}
	p.mu.Lock()
	for peer, list := range p.idle {
		list = slices.DeleteFunc(list, func(c *peerConn) bool {
			reason := why(c)
			if reason != "" {
				ended[c] = reason
			}
			return reason != ""
		})
		if p.idle[peer] = list; len(list) == 0 {
			delete(p.idle, peer)
		}
	}
	p.mu.Unlock()
	for c, reason := range ended {
		c.end(reason)
	}
}
