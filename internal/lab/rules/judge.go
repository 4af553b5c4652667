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
	// Contract holds the limits that nodes must observe.
	Contract world.Contract
	// Classes are the classes of calls, with their deadlines.
	Classes []world.Class
	// Nodes are the host names of the nodes. A node listens at NAME:9000.
	Nodes []string
	// Discovery holds the addresses of discovery.
	Discovery []string
	// Peers maps the addresses of the peers at the start of the run to their
	// names. The event PeerStarted adds further ones.
	Peers map[string]string
	// OnListReceived is called with each version of the list that a node receives on the
	// wire. It may be nil.
	OnListReceived func(version int64)
	// Now returns the time since the start of the run. If it is nil, the events of
	// event.Observer have the time of the last link.Event or Tick.
	Now func() time.Duration
	// Slack is added to every time limit; 0 means 50 ms.
	Slack time.Duration
}

const (
	nodePort     = ":9000"
	defaultSlack = 50 * time.Millisecond
	// simultaneityTolerance is the maximum time between two actions of a node that count as
	// simultaneous: the effects of one decision are some nanoseconds apart.
	simultaneityTolerance = time.Millisecond
	// retention is the duration for which a finished connection or call is kept,
	// because bytes may still be in transit.
	retention = 10 * time.Second
	// maxViolations is the maximum number of violations that are stored.
	maxViolations = 20
)

// Judge checks a run against the rules. It implements link.Tap and
// event.Observer, and must be used only on the goroutine of the run's loop.Loop.
type Judge struct {
	config      Config
	classes     map[string]*world.Class // by name
	maxWork     float64                 // the largest mean work of a class, in seconds
	maxDeadline time.Duration           // the longest deadline of a class

	now             time.Duration
	timers          timerQueue
	timersScheduled uint64
	violations      []Violation
	omitted         int // the number of violations beyond maxViolations

	nodes    map[string]*node // by host
	conns    map[string]*conn // by ID
	expiring []expiry         // finished connections and calls, oldest first
	attempts int              // the number of attempts sent to any peer so far

	// sentAttempts holds, by call ID, the completely written attempts without a
	// PeerAttempt event so far.
	sentAttempts map[string][]*attempt
	// malformedConns holds, by ID, the connections with malformed input that have
	// not been dialed yet.
	malformedConns map[string]malformedInput

	peerNames   map[string]string        // names of peers, by address
	coldStarts  map[string]*coldStart    // by peer
	misframed   map[peerCall]bool        // attempts whose answer is not the one that the peer made
	lastUsed    map[string]time.Duration // when any node last began an attempt, by peer
	listings    listingLog
	unreachable map[discoveryRoute]bool // true for routes on which polls are not served
}

// New returns a Judge for one run.
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
		misframed:      map[peerCall]bool{},
		lastUsed:       map[string]time.Duration{},
		listings:       newListingLog(),
		unreachable:    map[discoveryRoute]bool{},
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

// report stores a violation, or counts it if maxViolations are stored already.
func (j *Judge) report(rule string, at time.Duration, format string, args ...any) {
	if len(j.violations) == maxViolations {
		j.omitted++
		return
	}
	j.violations = append(j.violations, Violation{Rule: rule, At: at, Detail: fmt.Sprintf(format, args...)})
}

// Violations returns the first 20 violations found, sorted by time.
func (j *Judge) Violations() []Violation {
	violations := slices.Clone(j.violations)
	slices.SortStableFunc(violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return violations
}

// OmittedCount returns the number of further violations that Violations omits.
func (j *Judge) OmittedCount() int { return j.omitted }

// Tick runs the checks that are due and removes connections and calls that
// finished longer than the retention period ago. It must be called regularly
// during a run.
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

// expiry is a finished connection or call that is queued for removal.
type expiry struct {
	at   time.Duration // when it finished
	conn *conn         // nil for a call
	call *call         // nil for a connection
}

func (j *Judge) expireLater(now time.Duration, e expiry) {
	e.at = now
	j.expiring = append(j.expiring, e)
}

// Finish ends the run and reports requests without an answer.
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
			if r.needsAnswer() && r.arrived && !r.reported {
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
			return // the connection was removed after the retention period, or has no node at either end
		}
		k = j.addConn(c)
		if k == nil {
			return
		}
	}
	if k.node.incarnation == k.incarnation {
		k.observe(c)
	}
}
