package rules

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/world"
)

// Config is what a Judge goes by.
type Config struct {
	Contract  world.Contract
	Classes   []world.Class
	Nodes     []string             // host names; a node listens at NAME:9000
	Discovery []string             // its addresses
	Peers     map[string]string    // address at start -> name; more become known by the event PeerStarted
	Known     func(version int64)  // hears each version that a node is told on the wire; nil: nobody does
	Now       func() time.Duration // the time of events; nil: that of the last crossing or Tick
	Slack     time.Duration        // on every time limit; 0: 50 ms
}

const (
	nodePort = ":9000"
	slack    = 50 * time.Millisecond
	// instant is how far apart two things may lie that a node does at once: what
	// one decision sets off is spread by some nanoseconds.
	instant = time.Millisecond
	// remember is how long what is over is remembered, for bytes still under way.
	remember = 10 * time.Second
	// maxFound bounds the violations that are kept.
	maxFound = 20
)

// Judge sees all that crosses the network, and observes the events of the run. It belongs to the
// loop of the run.
type Judge struct {
	c       Config
	classes map[string]*world.Class
	dearest float64 // the most mean work of a class, in seconds
	longest time.Duration

	now    time.Duration
	dues   dues
	posted uint64 // dues so far
	found  []Violation
	more   int
	nodes  map[string]*node // by host
	conns  map[string]*conn
	gone   []ended                  // connections and calls that are over, the first first
	at     map[string]string        // peers by address
	starts map[string]*start        // of peers, by name
	sent   map[string][]*try        // written whole, and not yet matched by a PeerAttempt event, by call
	bad    map[string]badMark       // of connections not met yet
	book   book                     // what discovery knows
	barred map[way]bool             // where calls to discovery are not served
	used   map[string]time.Duration // when peers were last tried, by any node
	tries  int                      // so far
}

// node is one node; all but its name is of its present life.
type node struct {
	name   string
	calls  map[string]*call
	conns  map[*conn]struct{}
	told   told
	term   time.Duration // SIGTERM came; 0: it did not
	life   int
	alive  bool           // it has started, and was not killed
	banned map[string]ban // peers that operators keep out of use
	paused time.Duration  // since when operators have it emptied; 0: they have not
}

// New makes a Judge.
func New(c Config) *Judge {
	if c.Slack == 0 {
		c.Slack = slack
	}
	j := &Judge{
		c: c, classes: map[string]*world.Class{}, nodes: map[string]*node{}, conns: map[string]*conn{},
		at: map[string]string{}, starts: map[string]*start{}, sent: map[string][]*try{},
		bad: map[string]badMark{}, book: newBook(), used: map[string]time.Duration{},
		barred: map[way]bool{},
	}
	for addr, name := range c.Peers {
		j.at[addr] = name
	}
	for i := range c.Classes {
		k := &c.Classes[i]
		j.classes[k.Name] = k
		j.dearest = max(j.dearest, k.Work.D().Seconds())
		j.longest = max(j.longest, k.Deadline.D())
	}
	for _, name := range c.Nodes {
		n := &node{name: name}
		n.reset()
		j.nodes[name] = n
	}
	return j
}

// reset forgets all that belonged to a life of a node.
func (n *node) reset() {
	*n = node{
		name: n.name, life: n.life + 1,
		calls: map[string]*call{}, conns: map[*conn]struct{}{}, told: newTold(), banned: map[string]ban{},
	}
}

// breaks notes a violation.
func (j *Judge) breaks(rule string, at time.Duration, format string, args ...any) {
	if len(j.found) == maxFound {
		j.more++
		return
	}
	j.found = append(j.found, Violation{rule, at, fmt.Sprintf(format, args...)})
}

// Violations are the broken rules, the first 20 found, in order of time.
func (j *Judge) Violations() []Violation {
	v := slices.Clone(j.found)
	slices.SortStableFunc(v, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return v
}

// More is how many violations were found beyond those.
func (j *Judge) More() int { return j.more }

// Tick finds what is overdue.
func (j *Judge) Tick(now time.Duration) {
	j.advance(now)
	for len(j.gone) > 0 && j.gone[0].at < now-remember {
		g := j.gone[0]
		j.gone = j.gone[1:]
		switch {
		case g.conn != nil:
			delete(j.conns, g.conn.id)
			delete(g.conn.node.conns, g.conn)
		case g.call.busy():
			j.forget(now, ended{call: g.call})
		default:
			j.drop(g.call)
		}
	}
}

// ended is what is to be forgotten.
type ended struct {
	at   time.Duration
	conn *conn
	call *call
}

func (j *Judge) forget(now time.Duration, e ended) {
	e.at = now
	j.gone = append(j.gone, e)
}

// Finish ends the judging: nothing may be open any more.
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
				j.breaks(Lost, now, "%s: call %s unaccounted for at the end", k.id, r.id)
			}
		}
	}
}

// See implements link.Tap.
func (j *Judge) See(c link.Crossing) {
	j.advance(c.At)
	k := j.conns[c.Conn]
	if k == nil {
		if c.What != link.Dial && c.What != link.Open {
			return // of a connection long over, or of no concern
		}
		if k = j.meet(c); k == nil {
			return
		}
	}
	if k.node.life == k.life {
		k.see(c)
	}
}

// advance lets time pass: whatever was due before now is judged first.
func (j *Judge) advance(now time.Duration) {
	for len(j.dues) > 0 && j.dues[0].at < now {
		d := j.dues.pop()
		j.now = max(j.now, d.at)
		d.f()
	}
	j.now = max(j.now, now)
}

// clock is the time of an event.
func (j *Judge) clock() time.Duration {
	if j.c.Now != nil {
		j.advance(j.c.Now())
	}
	return j.now
}
