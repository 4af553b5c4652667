package live

import (
	"syscall"
	"time"

	"olivebridge/internal/lab/world/client"
)

// Snapshot is a run as it stands.
type Snapshot struct {
	At       time.Duration // since the script's time began
	Interval time.Duration // since the snapshot before this one
	Now      Tally         // in that time
	Total    Tally
	// MaxLag is by how much the run's own loop was late in that time, at most: what
	// clients and peers did was late by as much, and no node is to blame for it.
	MaxLag time.Duration
	Nodes  []NodeRow
	Peers  []PeerRow
}

// Tally is what came of requests. Whole is the worth of those that have come to
// an end otherwise than by the client's leaving: all that could have been earned.
type Tally struct{ client.Tally }

// Share is the share that was earned of what could have been; 1 if that is nothing.
func (t Tally) Share() float64 {
	if t.Whole <= 0 {
		return 1
	}
	return t.Worth / t.Whole
}

// NodeRow is a node.
type NodeRow struct {
	Name, Addr string
	PID        int // 0: it does not run
	State      string
	Tries      int           // it has sent, up to the snapshot before this one
	Clients    int           // connections from clients then
	CPUTime    time.Duration // of processor, in all its lives
}

// PeerRow is a peer.
type PeerRow struct {
	Name, Addr string
	State      string // of its process
	Listed     string // at discovery
	InFlight   int    // calls that wait there, or are in work
	Served     int
	Effects    string // what Do has done to it
}

// States of nodes and peers.
const (
	Up       = "up"
	Starting = "starting"
	Leaving  = "leaving"
	Draining = "draining"
	Down     = "down"
)

// tableState is what the next snapshot is compared with.
type tableState struct {
	at    time.Duration
	tally Tally
}

// Table is the run as it stands; once it is over, as it stood at its end. Of
// the time since the last call it says what happened in it: one caller looks.
func (r *Run) Table() Snapshot {
	var s Snapshot
	if !r.runOnLoop(func() { s = r.table() }) {
		return r.finalSnapshot
	}
	return s
}

func (r *Run) table() Snapshot {
	s := Snapshot{At: r.loop.Now() - r.scriptStart, Total: r.tally()}
	s.Interval, s.Now = s.At-r.lastTable.at, s.Total.minus(r.lastTable.tally)
	r.lastTable = tableState{s.At, s.Total}
	s.MaxLag, r.maxLag = r.maxLag, 0
	for _, n := range r.nodes {
		row := NodeRow{Name: n.c.Name, Addr: n.listenAddr, State: Down, Tries: n.earlierTries + n.tries, Clients: n.open, CPUTime: n.cpuTime}
		if c := n.current; c != nil {
			row.PID = c.pid()
			row.CPUTime += cpuTimeOf(row.PID)
			switch {
			case c.terminating:
				row.State = Leaving
			case r.front.Admitted(n.c.Name):
				row.State = Up
			default:
				row.State = Starting
			}
			if c.serving {
				c.signal(syscall.SIGUSR1)
			}
		}
		s.Nodes = append(s.Nodes, row)
	}
	for _, p := range r.peers {
		if !p.started {
			continue
		}
		stats := p.Stats()
		row := PeerRow{Name: p.c.Name, Addr: r.net.Resolve(p.Addr()), State: Up, Listed: r.listed[p.c.Name],
			InFlight: stats.Held, Served: stats.Served, Effects: r.effects(p.c.Name)}
		switch {
		case p.Down():
			row.State = Down
		case p.draining:
			row.State = Draining
		}
		s.Peers = append(s.Peers, row)
	}
	return s
}

// lagInterval is how often a run looks how late it is.
const lagInterval = 10 * time.Millisecond

// measureLag notes by how much the loop runs behind.
func (r *Run) measureLag() {
	due := r.loop.Now() + lagInterval
	r.loop.At(due, func() {
		r.maxLag = max(r.maxLag, r.loop.Now()-due)
		r.measureLag()
	})
}

func (r *Run) tally() Tally {
	var all Tally
	for _, c := range r.crowds {
		for i, t := range c.ByClass() {
			t.Whole = r.script.World.Classes[i].Worth * float64(t.Served+t.Late+t.Refused+t.Failed+t.Unanswered)
			all.Add(t.Tally)
		}
	}
	for _, p := range r.peers {
		all.Tries += p.Stats().Arrived
	}
	return all
}

// minus is what came since another tally.
func (t Tally) minus(o Tally) Tally {
	t.Asked -= o.Asked
	t.Served -= o.Served
	t.Late -= o.Late
	t.Refused -= o.Refused
	t.Failed -= o.Failed
	t.Unanswered -= o.Unanswered
	t.Left -= o.Left
	t.Retries -= o.Retries
	t.Foreign -= o.Foreign
	t.Tries -= o.Tries
	t.Worth -= o.Worth
	t.Whole -= o.Whole
	return t
}
