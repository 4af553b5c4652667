package rules

import "time"

// When what discovery has to tell counts as told.
const (
	afterWait = 2 * time.Second // since the end of a call's wait
	afterCall = 6 * time.Second // since a call that may not wait
	afterMove = 4 * time.Second // since SIGHUP with another discovery
	afterAll  = 6 * time.Second // since discovery has it and can be reached, whatever fails
	oftener   = 4               // times AskEvery after a failed call
)

// told is what a node has been told, on the wire or by the rules.
type told struct {
	peers map[string]*knowledge

	source  string        // the discovery that it follows; "": it has called none yet
	calls   int           // on their way, or watches
	rested  time.Duration // since when there is none
	failed  bool          // the last one did
	idleFor int           // place in the book up to which idleness has told

	reaches bool // its calls to the discovery that it follows are served
	spell   int  // of the times in which they are: this one
}

// way is one to an address of discovery's, from a node; "": from any.
type way struct{ node, addr string }

// knowledge is what a node has been told of one peer.
type knowledge struct {
	addr    string
	place   int           // in the book, as of which this is
	started time.Duration // its last start since the run began; 0: none
	leaves  bool
	since   time.Duration // it was told so
	drained bool          // by Terminating, which binds where Gone alone may not
}

func newTold() told { return told{peers: map[string]*knowledge{}} }

func (t *told) peer(name string) *knowledge {
	k := t.peers[name]
	if k == nil {
		k = &knowledge{}
		t.peers[name] = k
	}
	return k
}

// start is a peer's last start that the node has been told of.
func (t *told) start(name string) time.Duration {
	if k := t.peers[name]; k != nil {
		return k.started
	}
	return 0
}

// leave notes that a peer is Terminating or Gone; the first telling counts.
func (k *knowledge) leave(state string, at time.Duration, droppedStay bool) {
	k.drained = k.drained || state == terminating
	if !k.leaves && (k.drained || !droppedStay) {
		k.leaves, k.since = true, at
	}
}

// begin tells a node that starts the list of a version.
func (j *Judge) begin(n *node, version int64) {
	n.told.rested = j.now
	j.reckon(n, j.book.placeOf(version), j.now)
	n.told.idleFor = 0
}

// reckon lets what is listed up to a place count as told, but for what the node
// has heard of later. It frees no peer that the node was told is leaving: a
// node that sends to it again has read so.
func (j *Judge) reckon(n *node, place int, at time.Duration) {
	for _, name := range j.book.names {
		i := j.book.last(name, place)
		if i < 0 {
			continue
		}
		l, k := &j.book.all[i], n.told.peer(name)
		if k.place > i {
			continue
		}
		k.place = i + 1
		if k.addr == "" {
			k.addr = l.addr
		}
		if l.state == ready {
			k.started = l.started
		} else {
			k.leave(l.state, at, j.c.Contract.DroppedStay)
		}
	}
}

// learn takes in a list that has come to a node; it shows the book up to a place.
func (j *Judge) learn(n *node, l list, place int) {
	named := map[string]bool{}
	for _, e := range *l.Servers {
		named[e.ID] = true
		k := n.told.peer(e.ID)
		k.place = place
		if e.Addr != "" {
			k.addr = e.Addr
		}
		if e.State != ready {
			k.leave(e.State, j.now, j.c.Contract.DroppedStay)
			continue
		}
		k.leaves, k.drained, k.started = false, false, 0
		if i := j.book.last(e.ID, place); i >= 0 && e.Started > 0 {
			k.started = j.book.all[i].started
		}
	}
	if *l.Full {
		for name, k := range n.told.peers {
			if !named[name] {
				k.place = max(k.place, place)
				k.leave(gone, j.now, j.c.Contract.DroppedStay)
			}
		}
	}
	if j.c.Known != nil {
		j.c.Known(*l.Version)
	}
}

// idle lets what was listed long ago count as told to a node that has neither
// called discovery nor watched it since.
func (j *Judge) idle(n *node) {
	t, every := &n.told, j.c.Contract.AskEvery.D()
	if t.failed {
		every *= oftener
	}
	if every <= 0 || t.calls > 0 || j.now-t.rested < every {
		return
	}
	for place := j.book.placeAt(j.now - every); t.idleFor < place; {
		l := &j.book.all[t.idleFor]
		t.idleFor++
		j.reckon(n, t.idleFor, max(l.at, t.rested)+every)
	}
}

// reach follows whether a node's calls are served. From when they are, all that
// discovery knows is owed to it.
func (j *Judge) reach(n *node) {
	t := &n.told
	served := t.source != "" && !j.barred[way{"", t.source}] && !j.barred[way{n.name, t.source}]
	if served == t.reaches {
		return
	}
	if t.reaches = served; served {
		t.spell++
		j.owe(n)
	}
}

// owe lets what discovery knows now count as told once a node could have asked for
// so long, whatever became of its calls.
func (j *Judge) owe(n *node) {
	life, spell, place, at := n.life, n.told.spell, len(j.book.all), j.now+afterAll
	j.once(at, func() {
		if n.life == life && n.told.reaches && n.told.spell == spell {
			j.reckon(n, place, at)
		}
	})
}

// moved follows a node to another discovery.
func (j *Judge) moved(n *node, discovery string) {
	if discovery == "" || discovery == n.told.source {
		return
	}
	n.told.source, n.told.reaches = discovery, false
	j.reach(n)
	life, at := n.life, j.now+afterMove
	j.once(at, func() {
		if n.life == life && n.told.source == discovery {
			j.reckon(n, j.book.placeAt(at), at)
		}
	})
}

// drained judges whether a try to a peer that leaves was begun in time. A peer
// that the node was told nothing of is known by its address.
func (j *Judge) drained(c *peerConn, t *try) {
	late := t.begunAt - j.c.Contract.DrainGrace.D() - j.c.Slack
	var since time.Duration
	if k := c.node.told.peers[c.name]; k != nil {
		if !k.leaves || k.since >= late {
			return
		}
		since = k.since
	} else {
		known := false
		for _, k := range c.node.told.peers {
			if k.addr != c.to {
				continue
			}
			if !k.leaves || k.since >= late {
				return
			}
			known, since = true, max(since, k.since)
		}
		if !known {
			return
		}
	}
	j.breaks(Drain, j.now, "%s: call %s is sent to peer %s %v after %s was told that it leaves",
		c.id, t.call.id, c.name, t.begunAt-since, c.node.name)
}
