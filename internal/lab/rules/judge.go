package rules

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/world"
)

// Config configures a Judge.
type Config struct {
	// Contract holds the limits that nodes must keep.
	Contract world.Contract
	// Classes are the classes of calls, with their deadlines.
	Classes []world.Class
	// Nodes are the host names of the nodes. A node listens at NAME:9000.
	Nodes []string
	// Discovery holds the addresses of discovery.
	Discovery []string
	// Peers maps the addresses of peers at the start of the run to their
	// names. Further ones become known by the event PeerStarted.
	Peers map[string]string
	// Known is called with each version of the list that a node receives on the
	// wire. It may be nil.
	Known func(version int64)
	// Now is the time of events, since the start of the run. If it is nil, an
	// event has the time of the last link.Event or Tick.
	Now func() time.Duration
	// Slack is added to every time limit; 0 stands for 50 ms.
	Slack time.Duration
}

const (
	nodePort     = ":9000"
	defaultSlack = 50 * time.Millisecond
	// instant is how far apart two things may lie that a node does at once: what
	// one decision causes is spread by some nanoseconds.
	instant = time.Millisecond
	// retention is how long a finished connection or call is remembered, for
	// bytes still under way.
	retention = 10 * time.Second
	// maxViolations bounds the violations that are stored.
	maxViolations = 20
)

// Judge checks a run. It is a link.Tap and an event.Observer, and belongs to
// the goroutine of the run's loop.Loop.
type Judge struct {
	config      Config
	classes     map[string]*world.Class // by name
	maxWork     float64                 // the largest mean work of a class, in seconds
	maxDeadline time.Duration           // the longest deadline of a class

	now             time.Duration
	timers          timerQueue
	timersScheduled uint64
	violations      []Violation
	omitted         int // violations beyond maxViolations

	nodes    map[string]*node // by host
	conns    map[string]*conn // by ID
	expiring []expiry         // finished connections and calls, the oldest first
	attempts int              // sent to any peer so far

	// sentAttempts are those written completely that no PeerAttempt event has
	// matched yet, by call.
	sentAttempts map[string][]*attempt
	// malformedConns are the connections with malformed input that have not
	// been dialed yet, by ID.
	malformedConns map[string]malformedInput

	peerNames   map[string]string        // names of peers, by address
	coldStarts  map[string]*coldStart    // by peer
	lastUsed    map[string]time.Duration // when any node last began an attempt, by peer
	listings    listingLog
	unreachable map[route]bool // routes on which polls are not served
}

// New makes a Judge.
func New(c Config) *Judge {
	if c.Slack == 0 {
		c.Slack = defaultSlack
	}
	j := &Judge{
		config:         c,
		classes:        map[string]*world.Class{},
		nodes:          map[string]*node{},
		conns:          map[string]*conn{},
		sentAttempts:   map[string][]*attempt{},
		malformedConns: map[string]malformedInput{},
		peerNames:      map[string]string{},
		coldStarts:     map[string]*coldStart{},
		lastUsed:       map[string]time.Duration{},
		listings:       newListingLog(),
		unreachable:    map[route]bool{},
	}
	for addr, name := range c.Peers {
		j.peerNames[addr] = name
	}
	for i := range c.Classes {
		class := &c.Classes[i]
		j.classes[class.Name] = class
		j.maxWork = max(j.maxWork, class.Work.D().Seconds())
		j.maxDeadline = max(j.maxDeadline, class.Deadline.D())
	}
	for _, name := range c.Nodes {
		n := &node{name: name}
		n.reset()
		j.nodes[name] = n
	}
	return j
}

// report stores a violation.
func (j *Judge) report(rule string, at time.Duration, format string, args ...any) {
	if len(j.violations) == maxViolations {
		j.omitted++
		return
	}
	j.violations = append(j.violations, Violation{Rule: rule, At: at, What: fmt.Sprintf(format, args...)})
}

// Violations returns the first 20 violations that were found, in order of time.
func (j *Judge) Violations() []Violation {
	violations := slices.Clone(j.violations)
	slices.SortStableFunc(violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return violations
}

// More returns how many violations were found beyond those.
func (j *Judge) More() int { return j.omitted }

// Tick runs the checks that are due and forgets what finished long ago. It is
// called regularly during a run.
func (j *Judge) Tick(now time.Duration) {
	j.advance(now)
	for len(j.expiring) > 0 && j.expiring[0].at < now-retention {
		expired := j.expiring[0]
		j.expiring = j.expiring[1:]
		switch {
		case expired.conn != nil:
			delete(j.conns, expired.conn.id)
			delete(expired.conn.node.conns, expired.conn)
		case expired.call.busy():
			j.expireLater(now, expiry{call: expired.call})
		default:
			j.dropCall(expired.call)
		}
	}
}

// expiry is a finished connection or call that is to be forgotten.
type expiry struct {
	at   time.Duration // when it finished
	conn *conn         // nil: it is a call
	call *call         // nil: it is a connection
}

func (j *Judge) expireLater(now time.Duration, e expiry) {
	e.at = now
	j.expiring = append(j.expiring, e)
}

// Finish ends the run: every request must have its answer by now.
func (j *Judge) Finish(now time.Duration) {
	j.advance(now + 1)
	var open []*conn
	for _, k := range j.conns {
		if k.kind == fromClient {
			open = append(open, k)
		}
	}
	slices.SortFunc(open, byID)
	for _, k := range open {
		for _, r := range k.client.queue {
			if r.owed() && r.arrived && !r.reported {
				r.reported = true
				j.report(Lost, now, "%s: call %s unaccounted for at the end", k.id, r.id)
			}
		}
	}
}

// Observe implements link.Tap.
func (j *Judge) Observe(c link.Event) {
	j.advance(c.At)
	k := j.conns[c.Conn]
	if k == nil {
		if c.Kind != link.Dial && c.Kind != link.Open {
			return // the connection finished long ago, or is not a node's
		}
		k = j.track(c)
		if k == nil {
			return
		}
	}
	if k.node.incarnation == k.incarnation {
		k.observe(c)
	}
}
