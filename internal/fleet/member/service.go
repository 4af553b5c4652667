package member

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Service manages the membership of a process in its fleet. At any time the node's membership is held by this process,
// by the node's other process, or by neither. Its methods are safe for concurrent use.
type Service struct {
	config   Config
	start    time.Time // time 0 of the member table's clock
	traffic  traffic
	counters counters

	// transitionMu is held while the membership is acquired or given up. memberlist holds a lock of its own during its
	// callbacks, and the callbacks lock mu. A caller of memberlist may therefore hold transitionMu but never mu.
	transitionMu sync.Mutex

	mu             sync.Mutex
	table          *Table
	changed        chan struct{}      // closed when the next view is published
	agent          *agent             // nil: this process does not hold the membership
	absentReason   string             // reason for a nil agent, shown to operators
	cancelRetry    context.CancelFunc // stops the attempts to acquire the membership; nil: there are none
	retries        sync.WaitGroup     // goroutines that make those attempts
	closed         bool
	releasedAt     time.Time // time of the last Release; zero: never
	hasPredecessor bool      // a predecessor may still be finishing requests when this process joins
}

// New returns a service that does nothing until Join.
func New(c Config) *Service {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	s := &Service{config: c, start: time.Now(), absentReason: "not yet taken", changed: make(chan struct{})}
	s.table = NewTable(s.self(Incarnation{}), 0)
	return s
}

// self returns this node as a member in an incarnation.
func (s *Service) self(i Incarnation) Member {
	return Member{Name: s.config.Name, Zone: s.config.Zone, Addr: s.config.Advertise.String(), Incarnation: i}
}

// now returns the time on the table's clock.
func (s *Service) now() time.Duration { return time.Since(s.start) }

// View returns the newest view.
func (s *Service) View() *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.View()
}

// Next waits for a view with a number greater than after, and returns the newest view. Views are returned in order; a
// slow caller misses the views in between. The error is that of the context.
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

// apply applies an event to the table and publishes a new view if the event changes a member.
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

// changeReason returns the reason attribute of the log line for a change of a member.
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

// publish records the new view and wakes the callers of Next. The caller holds mu.
func (s *Service) publish() {
	s.counters.views.Add(1)
	s.config.Record.Write("view", s.table.View())
	close(s.changed)
	s.changed = make(chan struct{})
}

// tick applies the timeouts of the table.
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
