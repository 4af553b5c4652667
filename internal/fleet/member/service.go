package member

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Service is a process's membership of its fleet. At any time this process has the node's membership, or the
// node's other process does, or neither. Its methods are safe for concurrent use.
type Service struct {
	config   Config
	start    time.Time // origin of the table's time
	traffic  traffic
	counters counters

	// transitionMu is held while the membership is taken or given up. memberlist, which calls back with a lock of its own
	// held, is called with transition held, and never with mu: mu is taken within memberlist's lock.
	transitionMu sync.Mutex

	mu             sync.Mutex
	table          *Table
	changed        chan struct{}      // closed with the next view
	agent          *agent             // nil: this process does not have the membership
	absentReason   string             // why not
	cancelRetry    context.CancelFunc // ends the attempts to take the membership; nil: there are none
	retries        sync.WaitGroup     // goroutines of those attempts
	closed         bool
	releasedAt     time.Time // when this process released the membership to the node's other one; zero: never
	hasPredecessor bool      // it gets the membership from a predecessor that may still be finishing its work
}

// New makes a service, which does nothing until Join.
func New(c Config) *Service {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	s := &Service{config: c, start: time.Now(), absentReason: "not yet taken", changed: make(chan struct{})}
	s.table = NewTable(s.self(Incarnation{}), 0)
	return s
}

// self describes this node.
func (s *Service) self(i Incarnation) Member {
	return Member{Name: s.config.Name, Zone: s.config.Zone, Addr: s.config.Advertise.String(), Incarnation: i}
}

// now is the table's time.
func (s *Service) now() time.Duration { return time.Since(s.start) }

// View returns the newest view.
func (s *Service) View() *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.View()
}

// Next waits for a view later than the one of a number, and returns the newest: views come in order, and a slow reader
// misses those between. The error is that of the context.
func (s *Service) Next(ctx context.Context, after uint64) (*View, error) {
	for {
		s.mu.Lock()
		view := s.table.View()
		changed := s.changed
		s.mu.Unlock()
		if view.Number > after {
			return view, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// apply takes an event into the table, and publishes a new view.
func (s *Service) apply(event Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, _ := s.table.View().Lookup(event.Name)
	if !s.table.Apply(s.now(), event) {
		return
	}
	after, _ := s.table.View().Lookup(event.Name)
	switch after.State {
	case Suspect:
		s.counters.suspicions.Add(1)
	case Dead:
		s.counters.deaths.Add(1)
	}
	s.config.Log.Info("fleet member", "reason", changeReason(before, after), "member", after.Name,
		"zone", after.Zone, "addr", after.Addr, "life", after.Incarnation.String(), "view", s.table.View().Number)
	s.publish()
}

// changeReason is the reason code of a change of a member.
func changeReason(before, after Member) string {
	switch {
	case before.Name == "":
		return "joined"
	case before.Incarnation != after.Incarnation:
		return "began-anew"
	case before.State == after.State && before.Addr != after.Addr:
		return "moved"
	case before.State == Suspect && after.State == Alive:
		return "cleared"
	case !before.State.Present() && after.State.Present():
		return "back"
	}
	return string(after.State)
}

// publish wakes whoever waits for a view. It is called with mu held.
func (s *Service) publish() {
	s.counters.views.Add(1)
	s.config.Record.Write("view", s.table.View())
	close(s.changed)
	s.changed = make(chan struct{})
}

// tick lets time pass for the table.
func (s *Service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Tick(s.now()) {
		s.publish()
	}
}

func (s *Service) currentAgent() *agent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.agent
}
