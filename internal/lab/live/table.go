package live

import (
	"syscall"
	"time"

	"olivebridge/internal/lab/world/client"
)

// Snapshot is the state of a run at one instant.
type Snapshot struct {
	At       time.Duration // since the start of the script
	Interval time.Duration // since the previous snapshot
	Now      Tally         // during Interval
	Total    Tally
	// MaxLag is the largest delay of the run's own loop during Interval. Clients and
	// peers were late by the same amount, which no node caused.
	MaxLag time.Duration
	Nodes  []NodeRow
	Peers  []PeerRow
}

// Tally counts requests by outcome. Whole is the total worth of the finished
// requests whose client did not leave: the worth that could have been earned.
type Tally struct{ client.Tally }

// Share returns the earned share of the possible worth, or 1 if that is 0.
func (t Tally) Share() float64 {
	if t.OfferedWorth <= 0 {
		return 1
	}
	return t.ServedWorth / t.OfferedWorth
}

// NodeRow is the state of a node.
type NodeRow struct {
	Name, Addr string
	PID        int // 0: no process
	State      string
	Tries      int           // tries sent, up to the previous snapshot
	Clients    int           // client connections at the previous snapshot
	CPUTime    time.Duration // processor time of all its processes
}

// PeerRow is the state of a peer.
type PeerRow struct {
	Name, Addr string
	State      string // state of its process
	Listed     string // state in discovery's endpoint list
	InFlight   int    // calls queued or in progress
	Served     int
	Effects    string // effects of Do in force, separated by commas
}

// States of nodes and peers.
const (
	Up       = "up"
	Starting = "starting"
	Leaving  = "leaving"
	Draining = "draining"
	Down     = "down"
)

// tableState is the part of a snapshot from which the next one computes differences.
type tableState struct {
	at    time.Duration
	tally Tally
}

// Table returns the current state of the run, or the final state once the run has
// finished. Interval, Now and MaxLag refer to the time since the last call, so only
// one caller may use it.
func (r *Run) Table() Snapshot {
	var s Snapshot
	if !r.runOnLoop(func() { s = r.table() }) {
		return r.finalSnapshot
	}
	return s
}

// table returns the current state. It must be called on the loop. It also requests
// the nodes' counters (SIGUSR1) for the next snapshot.
func (r *Run) table() Snapshot {
	s := Snapshot{At: r.loop.Now() - r.scriptStart, Total: r.tally()}
	s.Interval, s.Now = s.At-r.lastTable.at, s.Total.minus(r.lastTable.tally)
	r.lastTable = tableState{s.At, s.Total}
	s.MaxLag, r.maxLag = r.maxLag, 0
	for _, n := range r.nodes {
		row := NodeRow{
			Name: n.c.Name, Addr: n.listenAddr, State: Down, Tries: n.earlierProcessTries + n.tries, Clients: n.open,
			CPUTime: n.cpuTime,
		}
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

// lagInterval is the interval at which the lag of the loop is measured.
const lagInterval = 10 * time.Millisecond

// measureLag updates maxLag every lagInterval.
func (r *Run) measureLag() {
	due := r.loop.Now() + lagInterval
	r.loop.At(due, func() {
		r.maxLag = max(r.maxLag, r.loop.Now()-due)
		r.measureLag()
	})
}

// tally returns the tally of all clients, with the tries that reached the peers.
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

// minus returns the difference to an earlier tally.
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
	t.ServedWorth -= o.ServedWorth
	t.OfferedWorth -= o.OfferedWorth
	return t
}
