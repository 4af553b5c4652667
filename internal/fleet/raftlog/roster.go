package raftlog

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"olivebridge/internal/fleet/mutant"
)

// Roster says who keeps a log. One of a higher edition takes the place of one of a lower: the voters agree on it in the log
// itself, so that a process whose file is older changes nothing back.
type VoterSet struct {
	Edition int      `json:"edition"` // from 1
	Names   []string `json:"names"`
}

// rosterMark is the first byte of an entry, or of a snapshot, that has a roster. What a state's own entries are is JSON.
const rosterMark = 1

const (
	// tendEach is how often whoever leads looks whether the voters are those that were agreed on. A step takes one or two
	// messages, so that a voter is changed within some seconds.
	tendEach = 500 * time.Millisecond
	// reachWithin is how long a voter may take to let itself be reached, before it is counted on.
	reachWithin = 300 * time.Millisecond
	// goneAfter is for how long one that is no voter by its file goes on as one: the others may need it until they have
	// changed.
	goneAfter = 15 * time.Second
)

// state is the user's, with the roster that was agreed on last.
type state struct {
	raft.FSM
	mu     sync.Mutex
	roster VoterSet
}

// Apply implements raft.FSM.
func (s *state) Apply(l *raft.Log) any {
	if len(l.Data) == 0 || l.Data[0] != rosterMark {
		return s.FSM.Apply(l)
	}
	var r VoterSet
	if err := json.Unmarshal(l.Data[1:], &r); err != nil {
		return fmt.Errorf("log entry %d: roster: %w", l.Index, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Edition > s.roster.Edition && len(r.Names) > 0 {
		s.roster = r
	}
	return nil
}

// Snapshot implements raft.FSM.
func (s *state) Snapshot() (raft.FSMSnapshot, error) {
	inner, err := s.FSM.Snapshot()
	if err != nil {
		return nil, err
	}
	return rostered{inner, s.agreed()}, nil
}

// rostered is a snapshot with the roster before it.
type rostered struct {
	raft.FSMSnapshot
	roster VoterSet
}

// Persist implements raft.FSMSnapshot.
func (r rostered) Persist(sink raft.SnapshotSink) error {
	line, err := json.Marshal(r.roster)
	if err == nil {
		_, err = sink.Write(append(append([]byte{rosterMark}, line...), '\n'))
	}
	if err != nil {
		sink.Cancel()
		return err
	}
	return r.FSMSnapshot.Persist(sink)
}

// Restore implements raft.FSM. A snapshot without a roster is of a program that knew of none.
func (s *state) Restore(c io.ReadCloser) error {
	in := bufio.NewReader(c)
	var r VoterSet
	if first, err := in.Peek(1); err == nil && first[0] == rosterMark {
		line, err := in.ReadBytes('\n')
		if err == nil {
			err = json.Unmarshal(line[1:], &r)
		}
		if err != nil {
			return errors.Join(fmt.Errorf("snapshot of the roster: %w", err), c.Close())
		}
	}
	s.mu.Lock()
	s.roster = r
	s.mu.Unlock()
	return s.FSM.Restore(struct {
		io.Reader
		io.Closer
	}{in, c})
}

func (s *state) agreed() VoterSet {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster
}

// SetRoster is what this process's file says from now on.
func (b *Log) SetVoters(r VoterSet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.file.Edition < r.Edition {
		b.file, b.since = r, time.Now()
	}
}

// Gone is closed once this process is no voter any more, by its file and by the others' word, or for long by its file alone.
func (b *Log) Removed() <-chan struct{} { return b.gone }

// tend brings the voters to what was agreed on, one step at a time, for as long as this process leads.
func (b *Log) tend(name string) {
	each := time.NewTicker(tendEach)
	defer each.Stop()
	for {
		select {
		case <-each.C:
		case <-b.over:
			return
		}
		b.mu.Lock()
		file, since := b.file, b.since
		b.mu.Unlock()
		if b.IsLeader() && !mutant.Active("roster-ignored") {
			b.step(name, file)
		}
		if out := !slices.Contains(file.Names, name); out && (!b.votes(name) || time.Since(since) > goneAfter) {
			b.once.Do(func() { close(b.gone) })
		}
	}
}

// votes reports whether a voter has a vote, as far as this process knows.
func (b *Log) votes(name string) bool {
	for _, s := range b.servers() {
		if string(s.ID) == name && s.Suffrage == raft.Voter {
			return true
		}
	}
	return false
}

func (b *Log) servers() []raft.Server {
	f := b.raft.GetConfiguration()
	if f.Error() != nil {
		return nil
	}
	return f.Configuration().Servers
}

// Step is one step from the voters that there are to those that are wanted.
type Step struct {
	Remove string // takes a voter out
	Add    string // takes one in, without a vote yet
	Vote   string // gives it the vote
	Yield  string // lets another lead, since this one is to go
}

// Next is the next step: nothing is left to do if it is empty. At no time does it count on more voters that cannot be
// reached than it must: those that go and are not reached go first, whoever comes has the vote only once it is reached, and
// one that goes and is reached stays until the others have come.
func Next(self string, voters, others, want []string, reached func(string) bool) Step {
	for _, v := range voters {
		if !slices.Contains(want, v) && v != self && !reached(v) {
			return Step{Remove: v}
		}
	}
	for _, w := range want {
		switch {
		case slices.Contains(voters, w):
		case !slices.Contains(others, w):
			return Step{Add: w}
		case reached(w):
			return Step{Vote: w}
		}
	}
	for _, w := range want {
		if !slices.Contains(voters, w) {
			return Step{} // it cannot be reached yet; nobody else goes meanwhile
		}
	}
	for _, o := range slices.Concat(others, voters) {
		if !slices.Contains(want, o) && o != self {
			return Step{Remove: o}
		}
	}
	if !slices.Contains(want, self) {
		for _, w := range want {
			if reached(w) {
				return Step{Yield: w}
			}
		}
	}
	return Step{}
}

// step agrees on this process's roster, if that is newer, and takes the next step to the one that was agreed on.
func (b *Log) step(name string, file VoterSet) {
	r := b.state.agreed()
	if file.Edition > max(r.Edition, 1) {
		line, err := json.Marshal(file)
		if err != nil {
			return
		}
		b.await(b.raft.Apply(append([]byte{rosterMark}, line...), applyWithin)) // else at the next look
		return
	}
	if r.Edition == 0 { // the first edition is what the log began with
		return
	}
	var voters, others []string
	for _, s := range b.servers() {
		if s.Suffrage == raft.Voter {
			voters = append(voters, string(s.ID))
		} else {
			others = append(others, string(s.ID))
		}
	}
	b.take(Next(name, voters, others, r.Names, b.reaches))
}

// take takes a step. What comes of it shows at the next look.
func (b *Log) take(s Step) {
	switch {
	case s.Remove != "":
		b.await(b.raft.RemoveServer(raft.ServerID(s.Remove), 0, applyWithin))
	case s.Add != "":
		b.await(b.raft.AddNonvoter(raft.ServerID(s.Add), raft.ServerAddress(s.Add), 0, applyWithin))
	case s.Vote != "":
		b.await(b.raft.AddVoter(raft.ServerID(s.Vote), raft.ServerAddress(s.Vote), 0, applyWithin))
	case s.Yield != "":
		b.await(b.raft.LeadershipTransferToServer(raft.ServerID(s.Yield), raft.ServerAddress(s.Yield)))
	}
}

// reaches reports whether a voter's process lets itself be reached.
func (b *Log) reaches(name string) bool {
	c, err := b.layer.Dial(raft.ServerAddress(name), reachWithin)
	if err != nil {
		return false
	}
	c.Close()
	return true
}
