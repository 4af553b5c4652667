package balancer

import (
	"fmt"
	"time"
)

// What a node remembers: no decisions.

type server struct {
	Server
	known, bound       bool // named by the last whole list; seen draining: DroppedStay no longer holds
	unknown, fresh     bool // no result yet; none since this node started: counts as Up for the warm-up
	counter, inflight  int
	weight, credit     int
	sent, owed         float64
	size, limit, done  float64 // done: requests since the last measure
	ease, blame        float64 // mean wait as a share of the aim; failures of real work not yet counted
	probeAt, probing   Time    // when the next probe is due; when the one out was sent, 0: none
	heard, served      Time    // last answer, or when it became busy; last good answer to real work
	newest, shut, felt Time    // when the last sent of those answered well was; nothing is sent before
	cutAt, outAt       Time    // when the limit was last cut; when it left the table, 0: it is in
	doubt, rampFrom    Time    // passed probes prove nothing before; when the ramp began
	pause, rampFor     time.Duration
	holds              Time    // when the half fall window ends that the next two are of
	spent, luck        float64 // work sent in it; in [0, 1), the fraction of a request that it needs
	next, skip         uint64  // the table entry that is tried next, and the step from it to the one after
}

type attempt struct {
	to    *server
	sent  Time
	out   bool
	never bool // proved never to have run
	lost  bool // silent: not counted as in flight any more
	mute  bool // surely so
}

type request struct {
	id                         RequestID
	class                      *class
	tenant                     *tenant
	key                        uint64
	arrived, deadline, until   Time    // until: when a wait is over
	cost, share                float64 // share: part of a server's limit it may use
	luck, blame                float64 // fraction of a window it needs; its class's or tenant's bad
	n, out                     int
	done, queued, slow, deadly bool   // deadly: its connection broke, it may have brought the server down
	as                         *Class // its class as it came, whatever Set brings: what it allows
	attempts                   [maxAttempts]attempt
}

// standing is how the outcomes of a class or tenant, and all others', went: 0 at once, 1 late or not at all.
type standing struct{ bad, rest float64 }

func (s *standing) note(bad float64, mine bool) {
	if mine {
		s.bad += badStep * (bad - s.bad)
	} else {
		s.rest += badStep / 2 * (bad - s.rest)
	}
}

type class struct {
	*Class         // never written: Set brings another
	lat    float64 // mean latency in seconds
	work   float64 // mean hint, or latency where there are none, in seconds
	base   float64 // latency as a share of the aim that nine answers in ten exceed: little of it is waiting
	standing
	share float64
}

type tenant struct {
	Tenant
	tokens float64
	standing
	at Time
}

// Balancer decides for one node. Its methods are not safe for concurrent use.
type Balancer struct {
	set                     Settings
	host                    Host
	now, started            Time
	rng                     uint64
	classes                 []class
	tenants                 []tenant
	servers                 []*server // by ID
	byID                    map[ServerID]*server
	open                    map[RequestID]*request
	waiting                 []*request // for room, the most worth first
	table, near, cold       []*server  // near: of this zone's servers alone; cold: in the table, not warm
	keep, largest           float64    // share of keys that stay in the zone; largest listed size
	full, dirty             bool       // the table holds servers; it is to be built anew
	due                     Time       // when the table may be built anew
	lat, median, hush       float64    // mean latency; median wait as a share of the aim; share overtaken
	retries, probes, copies float64    // further attempts, probes and second copies in hand
	short                   int        // where the first server stands whose probe was due and not in hand
	carried, work           float64    // requests a second on warm servers, by size; their mean work
	carryAt, askAt, logFrom Time       // logFrom: one line is free for each second since
	good, pacedAt           Time
	asking, watched         bool
	sent, weights, press    float64
}

func (b *Balancer) random() uint64 {
	b.rng += 0x9e3779b97f4a7c15
	return mix(b.rng)
}

// chance is uniform in [0, 1).
func (b *Balancer) chance() float64 { return float64(b.random()>>11) / (1 << 53) }

// mix is the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// jitter spreads d over three quarters to five quarters of itself.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(b.random()%uint64(d/2+1))
}

func (b *Balancer) log(format string, args ...any) {
	if b.logFrom = max(b.logFrom, b.now-logLines*Time(time.Second)); b.logFrom < b.now {
		b.logFrom += Time(time.Second)
		b.host.Log(fmt.Sprintf(format, args...))
	}
}
