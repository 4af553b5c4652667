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

// probeWork is what a probe costs. It is answered beside the queue.
const probeWork = 40e-6

// call is one attempt at a request of a client.
type call struct {
	id, key string
	class   world.Class
	run     int           // how often it has come to this peer, this time included
	last    bool          // the node wants the connection's end behind the answer
	until   time.Duration // when the node stops waiting; 0: it does not say
	base    float64       // work without cache and faults, on a core of speed 1
	costly  float64       // draw: whether a costly slice has it, wherever it goes
	fate    fate
	quick   bool // it fails without its work
	long    bool // its answer is
}

// take is handed a whole request.
func (c *conn) take(m *http1.Message) {
	q := c.of
	path, query, _ := strings.Cut(m.Target, "?")
	id, ids := m.Get("X-Call-Id")
	_, hosts := m.Get("Host")
	api := path == "/api" || strings.HasPrefix(path, "/api/")
	switch {
	case hosts != 1 || ids > 1 || api && m.Method != "GET" && m.Method != "POST":
		q.p.stats.Bad++
		c.send(plain("400 Bad Request", ""), true)
	case path == "/health/live" && m.Method == "GET":
		c.probe(m.Close)
	case !api || id == "":
		q.p.stats.Unknown++
		c.send(plain("404 Not Found", ""), m.Close)
	default:
		a := q.p.call(m, id, query)
		a.last = m.Close
		c.admit(a)
	}
}

// probe answers whether the process runs, once a core has looked at it.
func (c *conn) probe(last bool) {
	c.of.p.stats.Probes++
	c.job = &job{conn: c, left: probeWork}
	c.job.done = func() {
		if c.gone {
			return
		}
		status := "200 OK"
		if c.of.draining {
			status = "503 Service Unavailable"
		}
		c.send(plain(status, ""), last)
		c.read()
	}
	c.of.cores.add(c.job)
}

// call reads an attempt from its request and draws what it is like. The same
// call costs alike at any peer, but for a little noise.
func (p *Peer) call(m *http1.Message, id, query string) *call {
	p.stats.Arrived++
	p.runs[id]++
	a := &call{id: id, run: p.runs[id]}
	name, _ := m.Get("X-Call-Class")
	var known bool
	if a.class, known = p.classes[name]; !known {
		a.class = p.unnamed[m.Method == "GET"]
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
			a.until = p.env.Loop.Now() + figure.Seconds(s)
		}
	}
	work := figure.Stream(p.env.Seed, "work of call "+id)
	a.costly = work.Float64()
	a.fate = drawFate(p.env.Seed, p.c.Name, id, a.run)
	a.base = figure.LogNormal(work, a.class.Work.D().Seconds(), a.class.Spread) * a.fate.noise
	return a
}

// admit decides what becomes of an attempt that has come whole: it runs at
// once, waits, is turned away, or takes its connection with it.
func (c *conn) admit(a *call) {
	q := c.of
	p, now := q.p, q.p.env.Loop.Now()
	// All that arrives weighs, turned away or not, by its usual work: what a
	// fault makes of it (dearer, or failing quickly) no node can know ahead.
	work := a.base * q.cache.share(a.key, now)
	if t := p.env.Attempts; t != nil {
		t.AttemptReceived(p.c.Name, a.id, a.class.Safe)
	}
	p.env.Observer.PeerAttempt(p.c.Name, a.id, work, q.capacity(now))
	if q.cold.pushed(now, work, q.capacity(now)) {
		p.stats.Falls++
		q.fall()
		return
	}
	switch {
	case q.turnsAway || a.fate.turnAway < p.faults.turnAway.share():
		c.turnAway(a)
	case a.fate.breaks < p.faults.breaks.share() && a.fate.early < 0.5:
		p.stats.Broken++
		c.reset()
	default:
		c.job = &job{conn: c, call: a}
		c.job.done = c.job.finish
		if !q.cores.offer(c.job) {
			c.turnAway(a)
		}
	}
}

func (c *conn) turnAway(a *call) {
	c.of.p.stats.TurnedAway++
	c.of.p.spares(a)
	c.send(plain("503 Service Unavailable", rejected), a.last)
}

// spares tells that an attempt is answered without ever running.
func (p *Peer) spares(a *call) {
	if t := p.env.Attempts; t != nil {
		t.AttemptRejected(p.c.Name, a.id)
	}
}

// finish is what comes of a call that has run.
func (j *job) finish() {
	a, c, q := j.call, j.conn, j.of
	p, f := q.p, &q.p.faults
	p.stats.Ran++
	if !a.quick {
		q.cold.done++
		q.cache.meet(a.key, p.env.Loop.Now())
	}
	switch {
	case c == nil:
		p.stats.Unheard++
	case a.fate.breaks < f.breaks.share() && a.fate.early >= 0.5:
		p.stats.Broken++
		c.reset()
	case a.fate.silent < f.silent.share():
		p.stats.Silent++
		c.spoil()
	case a.quick:
		p.stats.Failed++
		c.send(failure(a.fate.wording), a.last)
	case a.fate.errors < p.c.Errors:
		p.stats.Errors++
		c.send(failure(a.fate.wording), a.last)
	case a.fate.spoil < f.spoil.share():
		p.stats.Spoilt++
		c.spoil()
		c.spoilt(a)
	case a.fate.surplus < f.surplus.share():
		p.stats.Served++
		p.stats.Surplus++
		c.send(p.surplus(a))
	default:
		p.stats.Served++
		c.send(p.answer(a))
	}
	if c != nil {
		c.read()
	}
	q.mayLeave()
}
