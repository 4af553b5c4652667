package live

import (
	"syscall"
	"time"

	"olivebridge/internal/lab/world/client"
)

// Snapshot is a run as it stands.
type Snapshot struct {
	At    time.Duration // since the script's time began
	Over  time.Duration // since the snapshot before this one
	Now   Tally         // in that time
	Total Tally
	// Behind is by how much the run's own loop was late in that time, at most: what
	// clients and peers did was late by as much, and no node is to blame for it.
	Behind time.Duration
	Nodes  []NodeRow
	Peers  []PeerRow
}

// Tally is what came of requests. Whole is the worth of those that have come to
// an end otherwise than by the client's leaving: all that could have been earned.
type Tally struct{ client.Tally }

// Share is the share that was earned of what could have been; 1 if that is nothing.
func (t Tally) Share() float64 {
	if t.OfferedWorth <= 0 {
		return 1
	}
	return t.ServedWorth / t.OfferedWorth
}

// NodeRow is a node.
type NodeRow struct {
	Name, Addr string
	PID        int // 0: it does not run
	State      string
	Tries      int           // it has sent, up to the snapshot before this one
	Clients    int           // connections from clients then
	Used       time.Duration // of processor, in all its lives
}

// PeerRow is a peer.
type PeerRow struct {
	Name, Addr string
	State      string // of its process
	Listed     string // at discovery
	InFlight   int    // calls that wait there, or are in work
	Served     int
	Ails       string // what Do has done to it
}

// States of nodes and peers.
const (
	Up       = "up"
	Starting = "starting"
	Leaving  = "leaving"
	Draining = "draining"
	Down     = "down"
)

// watched is what the next snapshot is compared with.
type watched struct {
	at    time.Duration
	tally Tally
}

// Table is the run as it stands; once it is over, as it stood at its end. Of
// the time since the last call it says what happened in it: one caller looks.
func (r *Run) Table() Snapshot {
	var s Snapshot
	if !r.on(func() { s = r.table() }) {
		return r.last
	}
	return s
}

func (r *Run) table() Snapshot {
	s := Snapshot{At: r.loop.Now() - r.zero, Total: r.tally()}
	s.Over, s.Now = s.At-r.before.at, s.Total.less(r.before.tally)
	r.before = watched{s.At, s.Total}
	s.Behind, r.behind = r.behind, 0
	for _, n := range r.nodes {
		row := NodeRow{Name: n.c.Name, Addr: n.at, State: Down, Tries: n.earlier + n.tries, Clients: n.open, Used: n.used}
		if c := n.live; c != nil {
			row.PID = c.pid()
			row.Used += usedBy(row.PID)
			switch {
			case c.leaving:
				row.State = Leaving
			case r.front.Admitted(n.c.Name):
				row.State = Up
			default:
				row.State = Starting
			}
			if c.listens {
				c.signal(syscall.SIGUSR1)
			}
		}
		s.Nodes = append(s.Nodes, row)
	}
	for _, p := range r.peers {
		if !p.begun {
			continue
		}
		stats := p.Stats()
		row := PeerRow{Name: p.c.Name, Addr: r.net.Resolve(p.Addr()), State: Up, Listed: r.listed[p.c.Name],
			InFlight: stats.Held, Served: stats.Served, Ails: r.ails(p.c.Name)}
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

// looks is how often a run looks how late it is.
const looks = 10 * time.Millisecond

// measure notes by how much the loop runs behind.
func (r *Run) measure() {
	due := r.loop.Now() + looks
	r.loop.At(due, func() {
		r.behind = max(r.behind, r.loop.Now()-due)
		r.measure()
	})
}

func (r *Run) tally() Tally {
	var all Tally
	for _, c := range r.crowds {
		for i, t := range c.ByClass() {
			t.OfferedWorth = r.script.World.Classes[i].Weight * float64(t.Served+t.Late+t.Refused+t.Failed+t.Unanswered)
			all.Add(t.Tally)
		}
	}
	for _, p := range r.peers {
		all.Tries += p.Stats().Arrived
	}
	return all
}

// less is what came since another tally.
func (t Tally) less(o Tally) Tally {
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
	t.ServedWorth -= o.ServedWorth
	t.OfferedWorth -= o.OfferedWorth
	return t
}
