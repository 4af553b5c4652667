package peer

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/http1"
	"olivebridge/internal/lab/world"
)

// probeWork is the work of a health check, in core seconds. Health checks bypass the queue.
const probeWork = 40e-6

// attempt is one attempt of a client's request, as received by this peer.
type attempt struct {
	id, key      string
	class        world.Class
	number       int           // number of attempts of this call at this peer, including this one
	closeAfter   bool          // the request asks to close the connection after the response
	deadline     time.Duration // time at which the node stops waiting; 0: unknown
	baseWork     float64       // work without cache and faults, in seconds of a core of speed 1
	costlyDraw   float64       // decides whether a costly slice contains the call; the same at every peer
	draws        attemptDraws
	failsQuickly bool // the call fails without doing its work
	longResponse bool // the response body has at least longBodyBytes
}

// handleRequest handles a complete request.
func (c *conn) handleRequest(m *http1.Message) {
	q := c.process
	path, query, _ := strings.Cut(m.Target, "?")
	id, ids := m.Get("X-Call-Id")
	_, hosts := m.Get("Host")
	api := path == "/api" || strings.HasPrefix(path, "/api/")
	switch {
	case hosts != 1 || ids > 1 || api && m.Method != "GET" && m.Method != "POST":
		q.peer.stats.BadRequests++
		c.send(plainResponse("400 Bad Request", ""), true)
	case path == "/health/live" && m.Method == "GET":
		c.handleProbe(m.Close)
	case !api || id == "":
		q.peer.stats.NotFound++
		c.send(plainResponse("404 Not Found", ""), m.Close)
	default:
		a := q.peer.newAttempt(m, id, query)
		a.closeAfter = m.Close
		c.admit(a)
	}
}

// handleProbe answers a health check after its work is done: 200, or 503 while draining.
func (c *conn) handleProbe(last bool) {
	c.process.peer.stats.Probes++
	c.job = &job{conn: c, remaining: probeWork}
	c.job.done = func() {
		if c.closed {
			return
		}
		status := "200 OK"
		if c.process.draining {
			status = "503 Service Unavailable"
		}
		c.send(plainResponse(status, ""), last)
		c.readRequests()
	}
	c.process.cores.addInternal(c.job)
}

// newAttempt reads an attempt from its request and draws its random properties. The
// same call costs about the same work at every peer.
func (p *Peer) newAttempt(m *http1.Message, id, query string) *attempt {
	p.stats.Arrived++
	p.attemptCounts[id]++
	a := &attempt{id: id, number: p.attemptCounts[id]}
	name, _ := m.Get("X-Call-Class")
	var known bool
	if a.class, known = p.classes[name]; !known {
		a.class = p.meanClasses[m.Method == "GET"]
	}
	for pair := range strings.SplitSeq(query, "&") {
		if v, ok := strings.CutPrefix(pair, "user="); ok {
			if a.key, _ = url.QueryUnescape(v); a.key == "" {
				a.key = v
			}
		}
	}
	if text, n := m.Get("X-Budget"); n == 1 {
		if s, err := strconv.ParseFloat(text, 64); err == nil && s > 0 && s < 3600 {
			a.deadline = p.env.Loop.Now() + figure.Seconds(s)
		}
	}
	work := figure.Stream(p.env.Seed, "work of call "+id)
	a.costlyDraw = work.Float64()
	a.draws = drawAttempt(p.env.Seed, p.config.Name, id, a.number)
	a.baseWork = figure.LogNormal(work, a.class.Work.D().Seconds(), a.class.Spread) * a.draws.workFactor
	return a
}

// admit runs, queues or rejects an attempt, or resets its connection. An attempt
// that overloads a cold process crashes the process.
func (c *conn) admit(a *attempt) {
	q := c.process
	p, now := q.peer, q.peer.env.Loop.Now()
	// Every attempt counts toward the load with its usual work, whether it is
	// rejected or not. The effect of a fault on its work (higher cost, quick
	// failure) does not count, because no node can know it in advance.
	usualWork := a.baseWork * q.cache.workShare(a.key, now)
	if t := p.env.Attempts; t != nil {
		t.AttemptReceived(p.config.Name, a.id, a.class.Safe)
	}
	p.env.Observer.PeerAttempt(p.config.Name, a.id, usualWork, q.capacity(now))
	if q.warmup.overloaded(now, usualWork, q.capacity(now)) {
		p.stats.OverloadCrashes++
		q.crash()
		return
	}
	switch {
	case q.rejecting || a.draws.rejection < p.faults.rejection.probability():
		c.reject(a)
	case a.draws.breakConn < p.faults.breakConn.probability() && a.draws.breakEarly < 0.5:
		p.stats.Broken++
		c.reset()
	default:
		c.job = &job{conn: c, attempt: a}
		c.job.done = c.job.finish
		if !q.cores.offer(c.job) {
			c.reject(a)
		}
	}
}

func (c *conn) reject(a *attempt) {
	c.process.peer.stats.Rejected++
	c.process.peer.reportRejected(a)
	c.send(plainResponse("503 Service Unavailable", rejectedField), a.closeAfter)
}

// reportRejected notifies the observer that an attempt is answered without running.
func (p *Peer) reportRejected(a *attempt) {
	if t := p.env.Attempts; t != nil {
		t.AttemptRejected(p.config.Name, a.id)
	}
}

// finish responds to a call that has run, or applies a fault to its response.
func (j *job) finish() {
	a, c, q := j.attempt, j.conn, j.process
	p, f := q.peer, &q.peer.faults
	p.stats.Ran++
	if !a.failsQuickly {
		q.warmup.completed++
		q.cache.touch(a.key, p.env.Loop.Now())
	}
	switch {
	case c == nil:
		p.stats.Undeliverable++
	case a.draws.breakConn < f.breakConn.probability() && a.draws.breakEarly >= 0.5:
		p.stats.Broken++
		c.reset()
	case a.draws.silent < f.silent.probability():
		p.stats.Unanswered++
		c.markUnusable()
	case a.failsQuickly:
		p.stats.Failed++
		c.send(failureResponse(a.draws.errorKind), a.closeAfter)
	case a.draws.errors < p.config.Errors:
		p.stats.Errors++
		c.send(failureResponse(a.draws.errorKind), a.closeAfter)
	case a.draws.spoil < f.spoil.probability():
		p.stats.Unreadable++
		c.markUnusable()
		c.sendUnreadable(a)
	case a.draws.surplus < f.surplus.probability():
		p.stats.Served++
		p.stats.Surplus++
		c.send(p.surplusResponse(a))
	case p.responseDraws("parted", a).Float64() < a.class.PartedShare:
		p.stats.Served++
		c.sendInParts(a, j)
	default:
		p.stats.Served++
		c.send(p.okResponse(a))
	}
	if c != nil {
		c.readRequests()
	}
	q.exitIfIdle()
}
